package cottonlock.membership;

/** Counters of one process's part in the membership protocol, since it started. */
public enum MembershipMetric {
    /** Datagrams sent. */
    SENT("sent"),
    /** Datagrams not sent because the bandwidth limit was reached. */
    THROTTLED("held"),
    /** Received bytes that are no datagram of this protocol. */
    MALFORMED("malformed"),
    /** Datagrams from an address that no member has, or that name another sender's address. */
    UNKNOWN_SENDERS("strangers"),
    /** Datagrams received twice, or too late to tell. */
    DUPLICATES("repeated"),
    /** Datagrams of an earlier generation of their sender. */
    STALE("outdated"),
    /** Datagrams without a valid authentication tag. */
    UNAUTHENTICATED("forged"),
    /** Members not added because the table was full. */
    REJECTED_WHEN_FULL("full"),
    /** Suspicions started by this process. */
    SUSPICIONS("suspicions"),
    /** Suspicions that became failures here. */
    FAILURES("failures"),
    /** Suspicions of this process that it has refuted. */
    REFUTATIONS("refutations"),
    /** Stalls of this process that it noticed itself. */
    LOCAL_STALLS("standstills"),
    /** Anti-entropy exchanges started. */
    EXCHANGES("exchanges");

    private final String label;

    MembershipMetric(String label) {
        this.label = label;
    }

    /** The metric's name in management lines and in the figures. */
    public String label() {
        return label;
    }
}

package cottonlock.membership;

/** Counters of the membership protocol in one process, since it started. */
public enum MembershipMetric {
    /** Datagrams sent. */
    SENT("sent"),
    /** Datagrams not sent because the bandwidth limit was reached. */
    THROTTLED("held"),
    /** Received datagrams that are not valid in this protocol. */
    MALFORMED("malformed"),
    /**
     * Datagrams from an address that can't be a member's, or whose sender claims another address
     * than the one they came from.
     */
    UNKNOWN_SENDERS("strangers"),
    /** Datagrams received twice, or too late to detect a duplicate. */
    DUPLICATES("repeated"),
    /** Datagrams of an earlier generation of their sender, or queued during a long stall. */
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
    /** Stalls of this process that it has detected itself. */
    LOCAL_STALLS("standstills"),
    /** Anti-entropy exchanges started. */
    EXCHANGES("exchanges");

    private final String label;

    MembershipMetric(String label) {
        this.label = label;
    }

    /** The metric's name in the replies to MEMBERS, and within its key in the metrics. */
    public String label() {
        return label;
    }
}

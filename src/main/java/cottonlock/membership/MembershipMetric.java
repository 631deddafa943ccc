package cottonlock.membership;

/** What one process counts of its part in the fleet since it started. */
public enum MembershipMetric {
    SENT,
    /** Datagrams that were not sent for want of allowance. */
    HELD,
    /** Bytes that are no datagram of this program's. */
    MALFORMED,
    /** From an address that is none of the fleet's, or that says it is another's. */
    STRANGERS,
    /** What came twice, or too late. */
    REPEATED,
    /** Of a former life. */
    OUTDATED,
    /** With a tag that no key makes. */
    FORGED,
    /** Members that found no room. */
    FULL,
    SUSPICIONS,
    FAILURES,
    /** Doubts of this process that it has contradicted. */
    REFUTATIONS,
    /** Standstills of this process, noticed by itself. */
    STANDSTILLS,
    /** Exchanges of views begun. */
    EXCHANGES
}

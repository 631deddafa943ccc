package cottonlock.setup;

/**
 * The timing and limits of the membership protocol. Durations are {@linkplain cottonlock.core.Ticks
 * ticks} of 0.1 ms. The operator's example file lists each value with its default and range, and
 * docs/membership.md describes the cost of each.
 *
 * @param periodTicks the time between the starts of two probes by a member; 500 to 600,000
 * @param answerTimeoutTicks how long a member waits for a direct answer before it asks other
 *     members to probe; less than the period
 * @param indirectProbeCount how many other members are asked to probe a member that has not
 *     answered; 0 for none
 * @param suspicionMultiplier the shortest duration of a suspicion, in periods per tenfold increase
 *     of the number of members; at least 0.5
 * @param maxSuspicionMultiplier the duration of a suspicion that no other member confirms, as a
 *     multiple of the shortest one; at least 1
 * @param confirmationCount the number of independent suspicions by other members that reduce a
 *     suspicion to the shortest duration; with 0 it always has the shortest
 * @param stallTimeoutTicks how long the thread that makes decisions may stall before its proxy
 *     counts as failed
 * @param retransmitMultiplier how many times an update is sent, per doubling of the number of
 *     members
 * @param maxMembers the maximum number of known members, including those that recently failed or
 *     left; at least 2
 * @param deadMemberRetentionTicks how long a member that has failed or left is remembered
 * @param maxBytesPerSecond the maximum number of bytes sent in any second, without UDP and IP
 *     headers
 * @param maxLocalHealthScore the maximum of a member's local health score; its probe period and
 *     answer timeout are multiplied by 1 plus the score, so that 0 never extends them
 * @param joinTimeoutTicks how long a joining member waits for an answer before it assumes that it
 *     is the first member
 * @param contactIntervalPeriods the number of periods between two attempts to reach an address at
 *     which no live member is known
 */
public record MembershipProtocolConfig(
        long periodTicks,
        long answerTimeoutTicks,
        int indirectProbeCount,
        double suspicionMultiplier,
        double maxSuspicionMultiplier,
        int confirmationCount,
        long stallTimeoutTicks,
        double retransmitMultiplier,
        int maxMembers,
        long deadMemberRetentionTicks,
        int maxBytesPerSecond,
        int maxLocalHealthScore,
        long joinTimeoutTicks,
        int contactIntervalPeriods) {

    /** The defaults for values that the operator's file does not set. */
    public static final MembershipProtocolConfig DEFAULTS =
            new MembershipProtocolConfig(
                    5_000, 1_500, 3, 3, 3, 3, 20_000, 2, 4_096, 6_000_000, 4_096, 3, 20_000, 2);
}

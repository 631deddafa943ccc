package cottonlock.setup;

/**
 * The timing and the limits of the membership protocol. Lengths of time are {@linkplain
 * cottonlock.core.Ticks ticks} of 0.1 ms. The operator's example file has each value with its
 * default and range, and docs/membership.md says what each costs.
 *
 * @param periodTicks between two probes that a member begins; 500 to 600,000
 * @param answerTimeoutTicks how long it waits for a direct answer before it asks other members to
 *     probe; below the period
 * @param indirectProbeCount how many other members are asked to probe one that has not answered; 0:
 *     none
 * @param suspicionMultiplier the shortest suspicion, in periods for each tenfold of the number of
 *     members; 0.5 at least
 * @param maxSuspicionMultiplier how many times the shortest a suspicion lasts that no other member
 *     confirms; 1 at least
 * @param confirmationCount independent suspicions by other members that bring a suspicion down to
 *     the shortest; 0: it is always the shortest
 * @param stallTimeoutTicks how long the thread that decides may stall before its proxy counts as
 *     failed
 * @param retransmitMultiplier how often an update is sent, for each doubling of the number of
 *     members
 * @param maxMembers members known at most, those that failed or left lately among them; 2 at least
 * @param deadMemberRetentionTicks how long a member that has failed or left is remembered
 * @param maxBytesPerSecond sent in any second at most, without the headers of UDP and IP
 * @param maxLocalHealthScore the limit of a member's score of its own health, which stretches its
 *     timeouts by as much; 0: they are never stretched
 * @param joinTimeoutTicks how long a joining member waits for an answer before it takes itself for
 *     the first
 * @param contactIntervalPeriods periods between two attempts to reach an address at which no live
 *     member is known
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

    /** The values that hold where the operator's file gives none. */
    public static final MembershipProtocolConfig DEFAULTS =
            new MembershipProtocolConfig(
                    5_000, 1_500, 3, 3, 3, 3, 20_000, 2, 4_096, 6_000_000, 4_096, 3, 20_000, 2);
}

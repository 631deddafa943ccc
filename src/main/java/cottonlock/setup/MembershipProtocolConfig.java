package cottonlock.setup;

/**
 * How closely proxies watch one another. Times are tenths of a millisecond; the operator's example
 * file has each with its default and range, and docs/membership.md says what each costs.
 *
 * @param period between two probes that a proxy begins; 500 to 600,000
 * @param answer how long it waits for a direct answer before it asks others; below the period
 * @param helpers how many others are asked to probe one that has not answered; 0: none
 * @param suspicion the shortest suspicion, in periods for each tenfold of the fleet; 0.5 at least
 * @param longest how many times the shortest a suspicion lasts that nobody else confirms; 1 at
 *     least
 * @param confirmations of others that bring a suspicion down to the shortest; 0: it is always the
 *     shortest
 * @param hung for so long the module's thread may stand still before its proxy counts as failed
 * @param repeats how often a change is told on, for each doubling of the fleet
 * @param most members at most, those that have failed or left of late among them; 2 at least
 * @param forget how long one that has failed or left is remembered
 * @param bytes that a proxy sends in any second at most, without the headers of UDP and IP
 * @param doubts how far it doubts itself at most: all then takes so many times longer; 0: never
 * @param join how long it waits for an answer before it takes itself for the first
 * @param contact periods between two calls at an address where nobody is known to live
 */
public record MembershipProtocolConfig(
        long period,
        long answer,
        int helpers,
        double suspicion,
        double longest,
        int confirmations,
        long hung,
        double repeats,
        int most,
        long forget,
        int bytes,
        int doubts,
        long join,
        int contact) {

    /** What holds where the operator's file says nothing else. */
    public static final MembershipProtocolConfig USUAL =
            new MembershipProtocolConfig(
                    5_000, 1_500, 3, 3, 3, 3, 20_000, 2, 4_096, 6_000_000, 4_096, 3, 20_000, 2);
}

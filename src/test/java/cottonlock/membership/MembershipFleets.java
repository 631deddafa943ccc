package cottonlock.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.lab.world.Fleet;
import cottonlock.lab.world.World;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.function.Predicate;

/** Fleets in virtual time, for tests of the membership protocol. */
final class MembershipFleets {
    static final long SECOND = 10_000;

    static final MembershipProtocolConfig USUAL = MembershipProtocolConfig.DEFAULTS;

    static MembershipProtocolConfig rules(
            int indirectProbeCount,
            double suspicionMultiplier,
            long stallTimeoutTicks,
            int maxMembers,
            long deadMemberRetentionTicks,
            int maxLocalHealthScore,
            int contactIntervalPeriods) {
        return new MembershipProtocolConfig(
                USUAL.periodTicks(),
                USUAL.answerTimeoutTicks(),
                indirectProbeCount,
                suspicionMultiplier,
                USUAL.maxSuspicionMultiplier(),
                USUAL.confirmationCount(),
                stallTimeoutTicks,
                USUAL.retransmitMultiplier(),
                maxMembers,
                deadMemberRetentionTicks,
                USUAL.maxBytesPerSecond(),
                maxLocalHealthScore,
                USUAL.joinTimeoutTicks(),
                contactIntervalPeriods);
    }

    static MembershipProtocolConfig usual() {
        return rules(3, 3, 20_000, 1_024, 6_000_000, 3, 2);
    }

    static Fleet fleet(
            long seed, int size, MembershipProtocolConfig rules, ProtocolVariants variants) {
        Fleet fleet =
                new Fleet(
                        new World(seed),
                        size,
                        rules,
                        (config, out, self, tag, random) ->
                                new Membership(config, out, self, tag, random, variants));
        fleet.startAll(SECOND);
        fleet.world.until(6 * SECOND);
        return fleet;
    }

    static Fleet fleet(long seed, int size) {
        return fleet(seed, size, usual(), new ProtocolVariants());
    }

    static void pass(Fleet fleet, double seconds) {
        fleet.world.until(fleet.world.now() + (long) (seconds * SECOND));
    }

    /**
     * Plays a case with three seeds: right in all with the defence, wrong in one at least without.
     */
    static void defended(Predicate<Long> with, Predicate<Long> without) {
        boolean ill = false;
        for (long seed = 1; seed <= 3; seed++) {
            assertTrue(with.test(seed), "with the defence, seed " + seed);
            ill |= !without.test(seed);
        }
        assertTrue(ill, "without the defence nothing goes wrong: the case shows nothing");
    }

    static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }

    private MembershipFleets() {}
}

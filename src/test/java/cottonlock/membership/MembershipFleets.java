package cottonlock.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.lab.world.Fleet;
import cottonlock.lab.world.World;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.function.Predicate;

/** Creates fleets in virtual time for tests of the membership protocol. */
final class MembershipFleets {
    static final long SECOND = 10_000;

    static final MembershipProtocolConfig DEFAULT_CONFIG = MembershipProtocolConfig.DEFAULTS;

    static MembershipProtocolConfig config(
            int indirectProbeCount,
            double suspicionMultiplier,
            long stallTimeoutTicks,
            int maxMembers,
            long deadMemberRetentionTicks,
            int maxLocalHealthScore,
            int contactIntervalPeriods) {
        return new MembershipProtocolConfig(
                DEFAULT_CONFIG.periodTicks(),
                DEFAULT_CONFIG.answerTimeoutTicks(),
                indirectProbeCount,
                suspicionMultiplier,
                DEFAULT_CONFIG.maxSuspicionMultiplier(),
                DEFAULT_CONFIG.confirmationCount(),
                stallTimeoutTicks,
                DEFAULT_CONFIG.retransmitMultiplier(),
                maxMembers,
                deadMemberRetentionTicks,
                DEFAULT_CONFIG.maxBytesPerSecond(),
                maxLocalHealthScore,
                DEFAULT_CONFIG.joinTimeoutTicks(),
                contactIntervalPeriods);
    }

    static MembershipProtocolConfig testConfig() {
        return config(3, 3, 20_000, 1_024, 6_000_000, 3, 2);
    }

    static Fleet fleet(
            long seed, int size, MembershipProtocolConfig rules, ProtocolVariants variants) {
        Fleet fleet =
                new Fleet(
                        new World(seed),
                        size,
                        rules,
                        (config, out, self, reservedBytes, random) ->
                                new Membership(config, out, self, reservedBytes, random, variants));
        fleet.startAll(SECOND);
        fleet.world.until(6 * SECOND);
        return fleet;
    }

    static Fleet fleet(long seed, int size) {
        return fleet(seed, size, testConfig(), new ProtocolVariants());
    }

    static void advance(Fleet fleet, double seconds) {
        fleet.world.until(fleet.world.now() + (long) (seconds * SECOND));
    }

    /**
     * Asserts for three seeds that a case passes with a defence of the protocol, and that it fails
     * without the defence for at least one of them.
     */
    static void assertDefended(Predicate<Long> withDefence, Predicate<Long> withoutDefence) {
        boolean failedWithout = false;
        for (long seed = 1; seed <= 3; seed++) {
            assertTrue(withDefence.test(seed), "with the defence, seed " + seed);
            failedWithout |= !withoutDefence.test(seed);
        }
        assertTrue(
                failedWithout,
                "passed without the defence for all seeds, so this test shows nothing");
    }

    static int nodeNumber(String name) {
        return Integer.parseInt(name.substring(1));
    }

    private MembershipFleets() {}
}

package cottonlock.membership;

import static cottonlock.membership.MembershipFleets.SECOND;
import static cottonlock.membership.MembershipFleets.DEFAULT_CONFIG;
import static cottonlock.membership.MembershipFleets.assertDefended;
import static cottonlock.membership.MembershipFleets.fleet;
import static cottonlock.membership.MembershipFleets.advance;
import static cottonlock.membership.MembershipFleets.config;
import static cottonlock.membership.MembershipFleets.testConfig;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.lab.world.Fleet;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Losses, delays and stalls, which must not end in the failure of a member that runs. */
class FalseSuspicionTest {
    @Property(seed = "20261201", tries = 4)
    void lossAndDuplicationOfAThirdCauseNoFalseFailure(
            @ForAll @IntRange(min = 4, max = 16) int size,
            @ForAll @IntRange(max = 99_999) int seed) {
        Fleet fleet = fleet(seed, size);
        fleet.world.trouble(0.3, 0.3, 0);
        fleet.world.delay(5, 800);
        advance(fleet, 90);
        assertEquals(List.of(), fleet.falseFailures);
        Fleet.Node killed = fleet.nodes.get(size / 2);
        killed.kill();
        assertTrue(
                fleet.untilFailed(killed, true, 15 * SECOND) >= 0, "a death is found all the same");
        killed.start(0);
        assertTrue(fleet.untilAgreed(10 * SECOND) >= 0);
        for (Fleet.Node node : fleet.nodes) {
            assertTrue(
                    node.worstSecond <= DEFAULT_CONFIG.maxBytesPerSecond(),
                    node.worstSecond + " bytes in a second");
        }
    }

    /**
     * Doubts of others are shown by probes of one's own: they end too soon where they are very
     * short.
     */
    @Example
    void aSuspicionNeedsItsTimeoutUnderLoss() {
        assertDefended(seed -> noFalseFailureUnderLoss(seed, 3), seed -> noFalseFailureUnderLoss(seed, 0.1));
    }

    private static boolean noFalseFailureUnderLoss(long seed, double suspicionMultiplier) {
        Fleet fleet =
                fleet(
                        seed,
                        12,
                        config(3, suspicionMultiplier, 20_000, 1_024, 6_000_000, 3, 2),
                        new ProtocolVariants());
        fleet.world.trouble(0.3, 0, 0);
        advance(fleet, 120);
        return fleet.falseFailures.isEmpty();
    }

    /**
     * Stopped for ten seconds it wakes with all its suspicions expired, for which it is itself the
     * cause.
     */
    @Example
    void aStalledProcessDeclaresNoMemberFailed() {
        // Looking again at whom it is about to call failed would do too, and is not looked at here.
        assertDefended(
                seed -> noFalseFailureAfterPauses(seed, new NoConfirmingProbe()),
                seed ->
                        noFalseFailureAfterPauses(
                                seed,
                                new NoConfirmingProbe() {
                                    @Override
                                    boolean tracksLocalHealth() {
                                        return false;
                                    }
                                }));
    }

    /** Declares members failed that others suspect, without a probe of its own. */
    private static class NoConfirmingProbe extends ProtocolVariants {
        @Override
        boolean probesBeforeFailing() {
            return false;
        }
    }

    /**
     * At others' word alone those are called failed who have cleared themselves where it was not
     * heard.
     */
    @Example
    void noMemberIsDeclaredFailedWithoutAProbe() {
        assertDefended(seed -> noFalseFailureInLargeFleet(seed, new ProtocolVariants()), seed -> noFalseFailureInLargeFleet(seed, new NoConfirmingProbe()));
    }

    private static boolean noFalseFailureInLargeFleet(long seed, ProtocolVariants variants) {
        Fleet fleet = fleet(seed, 50, testConfig(), variants);
        fleet.world.trouble(0.3, 0, 0);
        advance(fleet, 200);
        return fleet.falseFailures.isEmpty();
    }

    private static boolean noFalseFailureAfterPauses(long seed, ProtocolVariants variants) {
        // Datagrams are lost, so that there are suspicions at any time.
        Fleet fleet = fleet(seed, 10, testConfig(), variants);
        fleet.world.trouble(0.25, 0, 0);
        for (int i = 0; i < 10; i++) {
            int pausedNode = i;
            advance(fleet, 2 + i * 0.13);
            // Nothing waits for it in its socket: its whole machine was stopped.
            fleet.world.cut((from, to) -> to == pausedNode);
            fleet.nodes.get(i).pause(10 * SECOND);
            advance(fleet, 10);
            fleet.world.cut((from, to) -> false);
            advance(fleet, 8);
        }
        return fleet.falseFailures.isEmpty() && fleet.untilAgreed(10 * SECOND) >= 0;
    }
}

package cottonlock.membership;

import static cottonlock.membership.MembershipFleets.DEFAULT_CONFIG;
import static cottonlock.membership.MembershipFleets.SECOND;
import static cottonlock.membership.MembershipFleets.advance;
import static cottonlock.membership.MembershipFleets.assertDefended;
import static cottonlock.membership.MembershipFleets.config;
import static cottonlock.membership.MembershipFleets.fleet;
import static cottonlock.membership.MembershipFleets.testConfig;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.lab.world.Fleet;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Loss, delay and stalls must not lead to a running member being declared failed. */
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
                fleet.untilFailed(killed, true, 15 * SECOND) >= 0,
                "a killed member is still detected");
        killed.start(0);
        assertTrue(fleet.untilAgreed(10 * SECOND) >= 0);
        for (Fleet.Node node : fleet.nodes) {
            assertTrue(
                    node.worstSecond <= DEFAULT_CONFIG.maxBytesPerSecond(),
                    node.worstSecond + " bytes in a second");
        }
    }

    /**
     * Under loss a refutation may take a while to arrive. With a suspicion timeout that is too
     * short a running member is declared failed before.
     */
    @Example
    void aSuspicionNeedsItsTimeoutUnderLoss() {
        assertDefended(
                seed -> noFalseFailureUnderLoss(seed, 3),
                seed -> noFalseFailureUnderLoss(seed, 0.1));
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
     * After a pause of ten seconds all suspicions of a process have expired, but only because it
     * did not read the refutations. It must not declare their members failed.
     */
    @Example
    void aStalledProcessDeclaresNoMemberFailed() {
        // The probe before a member is declared failed would prevent this as well, so it is off
        // here.
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

    /** Lets processes declare members failed that others suspect without probing them first. */
    private static class NoConfirmingProbe extends ProtocolVariants {
        @Override
        boolean probesBeforeFailing() {
            return false;
        }
    }

    /**
     * A refutation may reach some processes and not others. Without a probe of its own, a process
     * that missed it would declare a running member failed.
     */
    @Example
    void noMemberIsDeclaredFailedWithoutAProbe() {
        assertDefended(
                seed -> noFalseFailureInLargeFleet(seed, new ProtocolVariants()),
                seed -> noFalseFailureInLargeFleet(seed, new NoConfirmingProbe()));
    }

    private static boolean noFalseFailureInLargeFleet(long seed, ProtocolVariants variants) {
        Fleet fleet = fleet(seed, 50, testConfig(), variants);
        fleet.world.trouble(0.3, 0, 0);
        advance(fleet, 200);
        return fleet.falseFailures.isEmpty();
    }

    private static boolean noFalseFailureAfterPauses(long seed, ProtocolVariants variants) {
        // With loss there are suspicions at any time.
        Fleet fleet = fleet(seed, 10, testConfig(), variants);
        fleet.world.trouble(0.25, 0, 0);
        for (int i = 0; i < 10; i++) {
            int pausedNode = i;
            advance(fleet, 2 + i * 0.13);
            // As if the whole machine were paused: no datagrams queue in its socket.
            fleet.world.cut((from, to) -> to == pausedNode);
            fleet.nodes.get(i).pause(10 * SECOND);
            advance(fleet, 10);
            fleet.world.cut((from, to) -> false);
            advance(fleet, 8);
        }
        return fleet.falseFailures.isEmpty() && fleet.untilAgreed(10 * SECOND) >= 0;
    }
}

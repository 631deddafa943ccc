package cottonlock.membership;

import static cottonlock.membership.MembershipFleets.SECOND;
import static cottonlock.membership.MembershipFleets.USUAL;
import static cottonlock.membership.MembershipFleets.defended;
import static cottonlock.membership.MembershipFleets.fleet;
import static cottonlock.membership.MembershipFleets.pass;
import static cottonlock.membership.MembershipFleets.rules;
import static cottonlock.membership.MembershipFleets.usual;
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
    void aThirdLostLateAndDuplicatedCausesNoFailure(
            @ForAll @IntRange(min = 4, max = 16) int size,
            @ForAll @IntRange(max = 99_999) int seed) {
        Fleet fleet = fleet(seed, size);
        fleet.world.trouble(0.3, 0.3, 0);
        fleet.world.delay(5, 800);
        pass(fleet, 90);
        assertEquals(List.of(), fleet.falseFailures);
        Fleet.Node dead = fleet.nodes.get(size / 2);
        dead.kill();
        assertTrue(
                fleet.untilFailed(dead, true, 15 * SECOND) >= 0, "a death is found all the same");
        dead.start(0);
        assertTrue(fleet.untilAgreed(10 * SECOND) >= 0);
        for (Fleet.Node node : fleet.nodes) {
            assertTrue(
                    node.worstSecond <= USUAL.maxBytesPerSecond(),
                    node.worstSecond + " bytes in a second");
        }
    }

    /**
     * Doubts of others are shown by probes of one's own: they end too soon where they are very
     * short.
     */
    @Example
    void withLossesASuspicionNeedsItsTimeout() {
        defended(seed -> lossy(seed, 3), seed -> lossy(seed, 0.1));
    }

    private static boolean lossy(long seed, double suspicion) {
        Fleet fleet =
                fleet(
                        seed,
                        12,
                        rules(3, suspicion, 20_000, 1_024, 6_000_000, 3, 2),
                        new ProtocolVariants());
        fleet.world.trouble(0.3, 0, 0);
        pass(fleet, 120);
        return fleet.falseFailures.isEmpty();
    }

    /**
     * Stopped for ten seconds it wakes with all its suspicions expired, for which it is itself the
     * cause.
     */
    @Example
    void aStalledProcessDeclaresNoMemberFailed() {
        // Looking again at whom it is about to call failed would do too, and is not looked at here.
        defended(
                seed -> wakes(seed, new Hasty()),
                seed ->
                        wakes(
                                seed,
                                new Hasty() {
                                    @Override
                                    boolean tracksLocalHealth() {
                                        return false;
                                    }
                                }));
    }

    /** Declares members failed that others suspect, without a probe of its own. */
    private static class Hasty extends ProtocolVariants {
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
        defended(seed -> looks(seed, new ProtocolVariants()), seed -> looks(seed, new Hasty()));
    }

    private static boolean looks(long seed, ProtocolVariants variants) {
        Fleet fleet = fleet(seed, 50, usual(), variants);
        fleet.world.trouble(0.3, 0, 0);
        pass(fleet, 200);
        return fleet.falseFailures.isEmpty();
    }

    private static boolean wakes(long seed, ProtocolVariants variants) {
        // Datagrams are lost, so that there are suspicions at any time.
        Fleet fleet = fleet(seed, 10, usual(), variants);
        fleet.world.trouble(0.25, 0, 0);
        for (int i = 0; i < 10; i++) {
            int stopped = i;
            pass(fleet, 2 + i * 0.13);
            // Nothing waits for it in its socket: its whole machine was stopped.
            fleet.world.cut((from, to) -> to == stopped);
            fleet.nodes.get(i).pause(10 * SECOND);
            pass(fleet, 10);
            fleet.world.cut((from, to) -> false);
            pass(fleet, 8);
        }
        return fleet.falseFailures.isEmpty() && fleet.untilAgreed(10 * SECOND) >= 0;
    }
}

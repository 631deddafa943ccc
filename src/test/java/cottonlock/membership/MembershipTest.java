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
import cottonlock.lab.world.World;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Fleets in virtual time under various faults. If a case depends on one defence of the protocol, it
 * is also run with the defence off and must then fail.
 */
class MembershipTest {
    @Property(seed = "20261201", tries = 12)
    void killedMembersAreDetectedWithoutFalseFailures(
            @ForAll @IntRange(min = 4, max = 24) int size,
            @ForAll @IntRange(max = 99_999) int seed) {
        Fleet fleet = fleet(seed, size);
        assertTrue(fleet.agree(), "all members have found each other");
        List<Fleet.Node> killed =
                new ArrayList<>(fleet.nodes.subList(0, Math.max(1, size * 3 / 8)));
        killed.forEach(Fleet.Node::kill);
        advance(fleet, 0.3);
        killed.get(0).start(0);
        for (Fleet.Node killedNode : killed.subList(1, killed.size())) {
            assertTrue(
                    fleet.untilFailed(killedNode, true, 10 * SECOND) >= 0,
                    killedNode.name + " is detected as failed");
        }
        assertTrue(fleet.untilAgreed(3 * SECOND) >= 0, "the member that restarted at once is live");
        killed.subList(1, killed.size()).forEach(node -> node.start(0));
        assertTrue(fleet.untilAgreed(4 * SECOND) >= 0, "all restarted members are live");
        assertEquals(List.of(), fleet.falseFailures);
    }

    @Example
    void viewsAgreeAfterRollingAndSimultaneousRestarts() {
        Fleet fleet = fleet(7, 20);
        for (Fleet.Node node : fleet.nodes) {
            node.leave();
            advance(fleet, 1.2);
            node.start(0);
            advance(fleet, 0.2);
        }
        assertTrue(fleet.untilAgreed(3 * SECOND) >= 0);
        fleet.nodes.subList(0, 14).forEach(Fleet.Node::kill);
        advance(fleet, 0.1);
        fleet.nodes.subList(0, 14).forEach(node -> node.start(0));
        assertTrue(fleet.untilAgreed(4 * SECOND) >= 0);
        assertEquals(List.of(), fleet.falseFailures);
    }

    @Example
    void aLeavingMemberIsSeenAsLeftByAll() {
        Fleet fleet = fleet(3, 6);
        fleet.nodes.get(2).leave();
        advance(fleet, 2);
        for (Fleet.Node node : fleet.nodes) {
            if (node.up) {
                assertEquals(MemberState.LEFT, node.machine.stateOf("n2"), node.name);
            }
        }
    }

    /**
     * A process whose worker is stalled must be detected although its socket still answers probes,
     * and be live again when the worker goes on.
     */
    @Example
    void aProcessWithAStalledWorkerIsFoundFailed() {
        assertDefended(
                seed -> stalledWorkerIsDetectedAndRecovers(seed, testConfig()),
                seed ->
                        stalledWorkerIsDetectedAndRecovers(
                                seed, config(3, 3, Long.MAX_VALUE, 1_024, 6_000_000, 3, 2)));
    }

    private static boolean stalledWorkerIsDetectedAndRecovers(
            long seed, MembershipProtocolConfig config) {
        Fleet fleet = fleet(seed, 5, config, new ProtocolVariants());
        fleet.nodes.get(3).hang(20 * SECOND);
        boolean detected = fleet.untilFailed(fleet.nodes.get(3), true, 15 * SECOND) >= 0;
        advance(fleet, 20);
        return detected && fleet.untilAgreed(2 * SECOND) >= 0;
    }

    /**
     * The member table has a fixed capacity. Further members are not added, and many short-lived
     * names do not make it grow.
     */
    @Example
    void theMemberTableIsBounded() {
        Fleet fleet =
                fleet(2, 12, config(3, 3, 20_000, 8, 6_000_000, 3, 2), new ProtocolVariants());
        advance(fleet, 30);
        long rejectedWhenFull = 0;
        for (Fleet.Node node : fleet.nodes) {
            assertTrue(node.view().members().size() <= 8, "members of " + node.name);
            rejectedWhenFull += node.view().metrics().get(MembershipMetric.REJECTED_WHEN_FULL);
        }
        assertTrue(rejectedWhenFull > 0, "members rejected by a full table are counted");
        Membership membership =
                new Membership(
                        config(3, 3, 20_000, 64, 20 * SECOND, 3, 2),
                        new MembershipActions() {
                            @Override
                            public void send(String to, byte[] datagram) {}

                            @Override
                            public void memberStateChanged(
                                    String name, MemberState state, String reason) {}
                        },
                        new LocalMember("me", "127.0.0.1:1", List.of("127.0.0.1:2"), false, 1_000),
                        0,
                        new SplittableRandom(1));
        membership.start(0);
        long now = 0;
        for (int i = 0; i < 5_000; i++) {
            MemberUpdate other =
                    new MemberUpdate(
                            "x" + i, "127.0.0.1:" + (2 + i), 1_000, 0, MemberState.ALIVE, 0);
            DatagramWriter ping =
                    DatagramCodec.writerFor(
                            new Message(Message.Kind.PING, other, 1, 0, 0),
                            DatagramCodec.MAX_DATAGRAM_BYTES);
            membership.datagramReceived(now, other.address(), ping.toBytes(), ping.size());
            MemberUpdate left = other.withState(MemberState.LEFT, 0);
            DatagramWriter leaveAnnouncement =
                    DatagramCodec.writerFor(
                            new Message(Message.Kind.UPDATES, left, 2, 0, 0),
                            DatagramCodec.MAX_DATAGRAM_BYTES);
            membership.datagramReceived(
                    now, other.address(), leaveAnnouncement.toBytes(), leaveAnnouncement.size());
            now += 100;
            membership.timerFired(now);
        }
        assertTrue(membership.view(now).members().size() <= 64);
        membership.timerFired(now + 60 * SECOND);
        assertEquals(
                1,
                membership.view(now + 60 * SECOND).members().size(),
                "members that have left are removed");
    }

    /**
     * The configured contacts are down while processes join. When one of them starts later, all
     * processes find each other through it.
     */
    @Example
    void failedContactsArePingedAgain() {
        Fleet fleet =
                new Fleet(
                        new World(9),
                        5,
                        testConfig(),
                        (config, out, self, reservedBytes, random) ->
                                new Membership(
                                        config,
                                        out,
                                        new LocalMember(
                                                self.name(),
                                                self.address(),
                                                self.contacts().subList(0, 2),
                                                false,
                                                self.generation()),
                                        reservedBytes,
                                        random));
        for (int i = 2; i < 5; i++) {
            fleet.nodes.get(i).start(0);
        }
        advance(fleet, 10);
        assertEquals(0, fleet.nodes.get(3).machine.liveOthers(), "no member can be found");
        assertEquals(
                MemberState.ALIVE,
                fleet.nodes.get(3).view().members().get(0).state(),
                "it becomes alive all the same");
        fleet.nodes.get(0).start(0);
        assertTrue(fleet.untilAgreed(6 * SECOND) >= 0);
        fleet.nodes.get(0).kill();
        fleet.nodes.get(4).kill();
        advance(fleet, 10);
        assertTrue(fleet.agree());
    }

    /**
     * Updates about members that restart often keep to the limits of bandwidth and retransmissions.
     * Without the retransmission limit they would fill all datagrams.
     */
    @Example
    void updatesAboutMembersThatRestartEverySecondAreBounded() {
        assertDefended(
                seed -> tenfoldBytesPerSecondAfterChurn(seed, new ProtocolVariants()) < 2_000,
                seed ->
                        tenfoldBytesPerSecondAfterChurn(
                                        seed,
                                        new ProtocolVariants() {
                                            @Override
                                            int transmitLimit(int defaultLimit) {
                                                return 1_000_000;
                                            }
                                        })
                                < 2_000);
    }

    /**
     * Returns ten times the mean bytes per second of one process in a minute without changes, after
     * a minute with a restart or a kill in each second.
     */
    private static long tenfoldBytesPerSecondAfterChurn(long seed, ProtocolVariants variants) {
        Fleet fleet = fleet(seed, 16, testConfig(), variants);
        for (int i = 0; i < 60; i++) {
            Fleet.Node node = fleet.nodes.get(4 + i % 12);
            if (node.up) {
                node.kill();
            } else {
                node.start(0);
            }
            advance(fleet, 1);
        }
        for (Fleet.Node node : fleet.nodes) {
            assertTrue(
                    node.worstSecond <= DEFAULT_CONFIG.maxBytesPerSecond(),
                    node.worstSecond + " bytes in a second");
            if (!node.up) {
                node.start(0);
            }
        }
        assertTrue(fleet.untilAgreed(8 * SECOND) >= 0);
        advance(fleet, 10);
        long sentBefore = fleet.nodes.get(0).sent;
        advance(fleet, 60);
        assertEquals(List.of(), fleet.falseFailures);
        return (fleet.nodes.get(0).sent - sentBefore) / 60 * 10;
    }
}

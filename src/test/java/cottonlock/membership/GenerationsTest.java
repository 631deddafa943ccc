package cottonlock.membership;

import static cottonlock.membership.MembershipFleets.SECOND;
import static cottonlock.membership.MembershipFleets.advance;
import static cottonlock.membership.MembershipFleets.assertDefended;
import static cottonlock.membership.MembershipFleets.config;
import static cottonlock.membership.MembershipFleets.fleet;
import static cottonlock.membership.MembershipFleets.nodeNumber;
import static cottonlock.membership.MembershipFleets.testConfig;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.lab.world.Fleet;
import cottonlock.lab.world.World;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;

/** Processes that share a name, with different addresses, clocks or generations. */
class GenerationsTest {
    /**
     * A process restarts with a clock that is ten minutes behind, so that the other members take
     * its earlier generation for the later one.
     */
    @Example
    void aClockBehindDoesNotPreventRejoining() {
        assertDefended(
                seed -> rejoinsWithClockBehind(seed, new ProtocolVariants()),
                seed ->
                        rejoinsWithClockBehind(
                                seed,
                                new ProtocolVariants() {
                                    @Override
                                    long nextGeneration(long generation) {
                                        return generation - 1;
                                    }
                                }));
    }

    private static boolean rejoinsWithClockBehind(long seed, ProtocolVariants variants) {
        Fleet fleet = fleet(seed, 5, testConfig(), variants);
        fleet.nodes.get(1).kill();
        advance(fleet, 0.5);
        fleet.nodes.get(1).start(-600 * SECOND);
        boolean rejoined = fleet.untilAgreed(8 * SECOND) >= 0;
        advance(fleet, 20);
        return rejoined && fleet.agree();
    }

    /**
     * Delayed datagrams of an earlier generation arrive repeatedly and must not affect the later
     * one.
     */
    @Example
    void datagramsOfAnEarlierGenerationAreStale() {
        List<byte[]> earlierDatagrams = new ArrayList<>();
        Fleet fleet = fleet(4, 4);
        fleet.world.cut((from, to) -> false);
        Fleet.Node restarted = fleet.nodes.get(2);
        World world = fleet.world;
        MembershipActions[] spy = new MembershipActions[1];
        assertNull(spy[0]);
        // Datagrams as an earlier generation would have sent them.
        Membership earlierProcess =
                new Membership(
                        testConfig(),
                        new MembershipActions() {
                            @Override
                            public void send(String to, byte[] datagram) {
                                earlierDatagrams.add(datagram);
                            }

                            @Override
                            public void memberStateChanged(
                                    String name, MemberState state, String reason) {}
                        },
                        new LocalMember(
                                restarted.name,
                                restarted.address,
                                List.of(fleet.nodes.get(0).address),
                                true,
                                1_000),
                        0,
                        new SplittableRandom(1));
        earlierProcess.start(0);
        earlierProcess.timerFired(0);
        earlierProcess.leave(10);
        assertFalse(earlierDatagrams.isEmpty());
        for (int i = 0; i < 20; i++) {
            for (byte[] datagram : earlierDatagrams) {
                fleet.nodes
                        .get(0)
                        .machine
                        .datagramReceived(
                                world.now(), restarted.address, datagram, datagram.length);
            }
            advance(fleet, 0.3);
        }
        assertTrue(fleet.agree());
        assertTrue(fleet.nodes.get(0).view().metrics().get(MembershipMetric.STALE) >= 20);
        assertEquals(List.of(), fleet.falseFailures);
    }

    /**
     * Of two processes with one name the later one takes part. The other one reports that it is
     * displaced, and takes part again when the later one has ended.
     */
    @Example
    void theLaterOfTwoProcessesWithOneNameTakesPart() {
        World world = new World(5);
        List<Membership> memberships = new ArrayList<>();
        List<String> reports = new ArrayList<>();
        String[] names = {"a", "b", "twin", "twin"};
        List<String> addresses =
                List.of("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4");
        boolean[] running = {true, true, true, false};
        for (int i = 0; i < 4; i++) {
            int sender = i;
            memberships.add(
                    new Membership(
                            testConfig(),
                            new MembershipActions() {
                                @Override
                                public void send(String to, byte[] datagram) {
                                    int receiver = addresses.indexOf(to);
                                    world.send(
                                            sender,
                                            receiver,
                                            datagram,
                                            bytes -> {
                                                if (running[receiver]) {
                                                    Membership receiverMembership =
                                                            memberships.get(receiver);
                                                    scheduleTimer(
                                                            world,
                                                            receiverMembership,
                                                            running,
                                                            receiver,
                                                            receiverMembership.datagramReceived(
                                                                    world.now(),
                                                                    addresses.get(sender),
                                                                    bytes,
                                                                    bytes.length));
                                                }
                                            });
                                }

                                @Override
                                public void memberStateChanged(
                                        String name, MemberState state, String reason) {
                                    reports.add(sender + " " + name + " " + state + " " + reason);
                                }
                            },
                            new LocalMember(
                                    names[i], addresses.get(i), addresses, true, 1_000_000 - i),
                            0,
                            new SplittableRandom(i)));
        }
        for (int i = 0; i < 3; i++) {
            scheduleTimer(world, memberships.get(i), running, i, memberships.get(i).start(0));
        }
        world.until(5 * SECOND);
        running[3] = true;
        scheduleTimer(world, memberships.get(3), running, 3, memberships.get(3).start(world.now()));
        world.until(15 * SECOND);
        assertTrue(
                reports.stream().anyMatch(report -> report.startsWith("2 twin LEFT displaced")),
                reports.toString());
        assertEquals(
                "127.0.0.1:4",
                address(memberships.get(0), world),
                "the later process holds the name");
        assertEquals(2, memberships.get(0).liveOthers());
        running[3] = false;
        world.until(40 * SECOND);
        assertEquals(
                "127.0.0.1:3",
                address(memberships.get(0), world),
                "the first process holds the name again");
        assertEquals(MemberState.ALIVE, memberships.get(0).stateOf("twin"));
    }

    private static void scheduleTimer(
            World world,
            Membership membership,
            boolean[] running,
            int nodeNumber,
            long dueAtTicks) {
        world.at(
                dueAtTicks,
                () -> {
                    if (running[nodeNumber] && membership.isDue(world.now())) {
                        scheduleTimer(
                                world,
                                membership,
                                running,
                                nodeNumber,
                                membership.timerFired(world.now()));
                    }
                });
    }

    private static String address(Membership membership, World world) {
        return membership.view(world.now()).members().stream()
                .filter(entry -> entry.name().equals("twin"))
                .findFirst()
                .orElseThrow()
                .address();
    }

    /**
     * A process that was paused for longer than failed members are retained still holds a failed
     * member as alive. It must not spread that to members that have removed the failed one.
     */
    @Example
    void aLongStoppedProcessDoesNotReviveADeadMember() {
        Fleet fleet =
                fleet(6, 5, config(3, 3, 20_000, 1_024, 20 * SECOND, 3, 2), new ProtocolVariants());
        fleet.nodes.get(1).pause(60 * SECOND);
        advance(fleet, 8);
        fleet.nodes.get(2).kill();
        advance(fleet, 51);
        List<String> reports = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            advance(fleet, 0.1);
            for (int other : new int[] {0, 3, 4}) {
                MemberState state = fleet.nodes.get(other).machine.stateOf("n2");
                if (state != null && state.isLive()) {
                    reports.add("n" + other + " has n2 as " + state);
                }
            }
        }
        assertEquals(List.of(), reports);
        assertTrue(fleet.untilAgreed(3 * SECOND) >= 0);
    }

    /** Views follow a name that moves to another address and a new name at its former address. */
    @Example
    void viewsFollowMovedNamesAndAddresses() {
        String[] names = new String[4];
        Fleet fleet =
                new Fleet(
                        new World(11),
                        4,
                        testConfig(),
                        (config, out, self, reservedBytes, random) ->
                                new Membership(
                                        config,
                                        out,
                                        new LocalMember(
                                                names[nodeNumber(self.name())] == null
                                                        ? self.name()
                                                        : names[nodeNumber(self.name())],
                                                self.address(),
                                                self.contacts(),
                                                self.membersAreFixed(),
                                                self.generation()),
                                        reservedBytes,
                                        random));
        fleet.startAll(SECOND);
        fleet.world.until(6 * SECOND);
        fleet.nodes.get(2).kill();
        fleet.nodes.get(3).kill();
        names[2] = "n3";
        names[3] = "other";
        fleet.nodes.get(2).start(5 * SECOND);
        fleet.nodes.get(3).start(5 * SECOND);
        advance(fleet, 12);
        for (int viewer : new int[] {0, 1}) {
            MembershipView view = fleet.nodes.get(viewer).view();
            assertEquals("127.0.0.1:10002", member(view, "n3").address());
            assertEquals(MemberState.ALIVE, member(view, "n3").state());
            assertEquals("127.0.0.1:10003", member(view, "other").address());
            assertFalse(member(view, "n2").state().isLive(), "no process has this name any more");
        }
    }

    private static MembershipView.Member member(MembershipView view, String name) {
        return view.members().stream()
                .filter(entry -> entry.name().equals(name))
                .findFirst()
                .orElseThrow();
    }
}

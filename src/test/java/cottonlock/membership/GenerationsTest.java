package cottonlock.membership;

import static cottonlock.membership.MembershipFleets.SECOND;
import static cottonlock.membership.MembershipFleets.defended;
import static cottonlock.membership.MembershipFleets.fleet;
import static cottonlock.membership.MembershipFleets.number;
import static cottonlock.membership.MembershipFleets.pass;
import static cottonlock.membership.MembershipFleets.rules;
import static cottonlock.membership.MembershipFleets.usual;
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

/** Several processes, addresses and clocks of one name. */
class GenerationsTest {
    /**
     * It starts again with a clock that is minutes behind: others hold its earlier generation for
     * the later one.
     */
    @Example
    void aWrongClockDoesNotKeepAProcessOut() {
        defended(
                seed -> backInTime(seed, new ProtocolVariants()),
                seed ->
                        backInTime(
                                seed,
                                new ProtocolVariants() {
                                    @Override
                                    long nextGeneration(long generation) {
                                        return generation - 1;
                                    }
                                }));
    }

    private static boolean backInTime(long seed, ProtocolVariants variants) {
        Fleet fleet = fleet(seed, 5, usual(), variants);
        fleet.nodes.get(1).kill();
        pass(fleet, 0.5);
        fleet.nodes.get(1).start(-600 * SECOND);
        boolean back = fleet.untilAgreed(8 * SECOND) >= 0;
        pass(fleet, 20);
        return back && fleet.agree();
    }

    /**
     * Datagrams of an earlier generation come late again and again: they have no effect on the
     * later one.
     */
    @Example
    void datagramsOfAnEarlierGenerationAreStale() {
        List<byte[]> old = new ArrayList<>();
        Fleet fleet = fleet(4, 4);
        fleet.world.cut((from, to) -> false);
        Fleet.Node moved = fleet.nodes.get(2);
        World world = fleet.world;
        MembershipActions[] spy = new MembershipActions[1];
        assertNull(spy[0]);
        // Datagrams as its earlier generation made them, by a machine of the same name.
        Membership former =
                new Membership(
                        usual(),
                        new MembershipActions() {
                            @Override
                            public void send(String to, byte[] datagram) {
                                old.add(datagram);
                            }

                            @Override
                            public void memberStateChanged(
                                    String who, MemberState state, String reason) {}
                        },
                        new LocalMember(
                                moved.name,
                                moved.address,
                                List.of(fleet.nodes.get(0).address),
                                true,
                                1_000),
                        0,
                        new SplittableRandom(1));
        former.start(0);
        former.timerFired(0);
        former.leave(10);
        assertFalse(old.isEmpty());
        for (int i = 0; i < 20; i++) {
            for (byte[] datagram : old) {
                fleet.nodes
                        .get(0)
                        .machine
                        .datagramReceived(world.now(), moved.address, datagram, datagram.length);
            }
            pass(fleet, 0.3);
        }
        assertTrue(fleet.agree());
        assertTrue(fleet.nodes.get(0).view().metrics().get(MembershipMetric.STALE) >= 20);
        assertEquals(List.of(), fleet.falseFailures);
    }

    /**
     * Of two processes of one name the later one speaks; the other says so, and speaks again after
     * it.
     */
    @Example
    void twoProcessesOfOneName() {
        World world = new World(5);
        List<Membership> machines = new ArrayList<>();
        List<String> reports = new ArrayList<>();
        String[] names = {"a", "b", "twin", "twin"};
        List<String> addresses =
                List.of("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4");
        boolean[] up = {true, true, true, false};
        for (int i = 0; i < 4; i++) {
            int me = i;
            machines.add(
                    new Membership(
                            usual(),
                            new MembershipActions() {
                                @Override
                                public void send(String to, byte[] datagram) {
                                    int there = addresses.indexOf(to);
                                    world.send(
                                            me,
                                            there,
                                            datagram,
                                            bytes -> {
                                                if (up[there]) {
                                                    Membership it = machines.get(there);
                                                    wake(
                                                            world,
                                                            it,
                                                            up,
                                                            there,
                                                            it.datagramReceived(
                                                                    world.now(),
                                                                    addresses.get(me),
                                                                    bytes,
                                                                    bytes.length));
                                                }
                                            });
                                }

                                @Override
                                public void memberStateChanged(
                                        String who, MemberState state, String reason) {
                                    reports.add(me + " " + who + " " + state + " " + reason);
                                }
                            },
                            new LocalMember(
                                    names[i], addresses.get(i), addresses, true, 1_000_000 - i),
                            0,
                            new SplittableRandom(i)));
        }
        for (int i = 0; i < 3; i++) {
            wake(world, machines.get(i), up, i, machines.get(i).start(0));
        }
        world.until(5 * SECOND);
        up[3] = true;
        wake(world, machines.get(3), up, 3, machines.get(3).start(world.now()));
        world.until(15 * SECOND);
        assertTrue(
                reports.stream().anyMatch(t -> t.startsWith("2 twin LEFT displaced")),
                reports.toString());
        assertEquals(
                "127.0.0.1:4",
                address(machines.get(0), world),
                "the later one speaks for the name");
        assertEquals(2, machines.get(0).liveOthers());
        up[3] = false;
        world.until(40 * SECOND);
        assertEquals(
                "127.0.0.1:3", address(machines.get(0), world), "and the first one again after it");
        assertEquals(MemberState.ALIVE, machines.get(0).stateOf("twin"));
    }

    private static void wake(World world, Membership machine, boolean[] up, int number, long at) {
        world.at(
                at,
                () -> {
                    if (up[number] && machine.isDue(world.now())) {
                        wake(world, machine, up, number, machine.timerFired(world.now()));
                    }
                });
    }

    private static String address(Membership machine, World world) {
        return machine.view(world.now()).members().stream()
                .filter(l -> l.name().equals("twin"))
                .findFirst()
                .orElseThrow()
                .address();
    }

    /**
     * One that has been stopped for longer than the dead are remembered takes nothing it knew for
     * news.
     */
    @Example
    void aLongStoppedProcessDoesNotReviveADeadMember() {
        Fleet fleet =
                fleet(6, 5, rules(3, 3, 20_000, 1_024, 20 * SECOND, 3, 2), new ProtocolVariants());
        fleet.nodes.get(1).pause(60 * SECOND);
        pass(fleet, 8);
        fleet.nodes.get(2).kill();
        pass(fleet, 51);
        List<String> reports = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            pass(fleet, 0.1);
            for (int other : new int[] {0, 3, 4}) {
                MemberState state = fleet.nodes.get(other).machine.stateOf("n2");
                if (state != null && state.isLive()) {
                    reports.add("n" + other + " holds n2 for " + state);
                }
            }
        }
        assertEquals(List.of(), reports);
        assertTrue(fleet.untilAgreed(3 * SECOND) >= 0);
    }

    /** A name at another address, and another name at the old address, are both right soon. */
    @Example
    void namesAndAddressesMove() {
        String[] names = new String[4];
        Fleet fleet =
                new Fleet(
                        new World(11),
                        4,
                        usual(),
                        (config, out, self, tag, random) ->
                                new Membership(
                                        config,
                                        out,
                                        new LocalMember(
                                                names[number(self.name())] == null
                                                        ? self.name()
                                                        : names[number(self.name())],
                                                self.address(),
                                                self.contacts(),
                                                self.membersAreFixed(),
                                                self.generation()),
                                        tag,
                                        random));
        fleet.startAll(SECOND);
        fleet.world.until(6 * SECOND);
        fleet.nodes.get(2).kill();
        fleet.nodes.get(3).kill();
        names[2] = "n3";
        names[3] = "other";
        fleet.nodes.get(2).start(5 * SECOND);
        fleet.nodes.get(3).start(5 * SECOND);
        pass(fleet, 12);
        for (int viewer : new int[] {0, 1}) {
            MembershipView view = fleet.nodes.get(viewer).view();
            assertEquals("127.0.0.1:10002", line(view, "n3").address());
            assertEquals(MemberState.ALIVE, line(view, "n3").state());
            assertEquals("127.0.0.1:10003", line(view, "other").address());
            assertFalse(line(view, "n2").state().isLive(), "nobody goes by that name any more");
        }
    }

    private static MembershipView.Member line(MembershipView view, String name) {
        return view.members().stream().filter(l -> l.name().equals(name)).findFirst().orElseThrow();
    }
}

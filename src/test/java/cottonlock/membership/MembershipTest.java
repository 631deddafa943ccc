package cottonlock.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.lab.world.Fleet;
import cottonlock.lab.world.World;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Fleets in virtual time under each hard case. Where a case hangs on one defence, the same is
 * played with the defence off, and must go wrong.
 */
class MembershipTest {
    private static final long SECOND = 10_000;
    private static final MembershipProtocolConfig USUAL = MembershipProtocolConfig.DEFAULTS;

    private static MembershipProtocolConfig rules(
            int helpers,
            double suspicion,
            long hung,
            int most,
            long forget,
            int doubts,
            int contact) {
        return new MembershipProtocolConfig(
                USUAL.periodTicks(),
                USUAL.answerTimeoutTicks(),
                helpers,
                suspicion,
                USUAL.maxSuspicionMultiplier(),
                USUAL.confirmationCount(),
                hung,
                USUAL.retransmitMultiplier(),
                most,
                forget,
                USUAL.maxBytesPerSecond(),
                doubts,
                USUAL.joinTimeoutTicks(),
                contact);
    }

    private static MembershipProtocolConfig usual() {
        return rules(3, 3, 20_000, 1_024, 6_000_000, 3, 2);
    }

    private static Fleet fleet(
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

    private static Fleet fleet(long seed, int size) {
        return fleet(seed, size, usual(), new ProtocolVariants());
    }

    private static void pass(Fleet fleet, double seconds) {
        fleet.world.until(fleet.world.now() + (long) (seconds * SECOND));
    }

    /** Played with three seeds: well in all with the defence, ill in one at least without. */
    private static void defended(Predicate<Long> with, Predicate<Long> without) {
        boolean ill = false;
        for (long seed = 1; seed <= 3; seed++) {
            assertTrue(with.test(seed), "with the defence, seed " + seed);
            ill |= !without.test(seed);
        }
        assertTrue(ill, "without the defence nothing goes wrong: the case shows nothing");
    }

    @Property(seed = "20261201", tries = 12)
    void deathsAreFoundByAllAndNoOtherFailure(
            @ForAll @IntRange(min = 4, max = 24) int size,
            @ForAll @IntRange(max = 99_999) int seed) {
        Fleet fleet = fleet(seed, size);
        assertTrue(fleet.agree(), "all have found one another");
        List<Fleet.Node> killed =
                new ArrayList<>(fleet.nodes.subList(0, Math.max(1, size * 3 / 8)));
        killed.forEach(Fleet.Node::kill);
        pass(fleet, 0.3);
        killed.get(0).start(0);
        for (Fleet.Node dead : killed.subList(1, killed.size())) {
            assertTrue(fleet.untilFailed(dead, true, 10 * SECOND) >= 0, dead.name + " is found");
        }
        assertTrue(
                fleet.untilAgreed(3 * SECOND) >= 0, "and the one that came back at once is there");
        killed.subList(1, killed.size()).forEach(node -> node.start(0));
        assertTrue(fleet.untilAgreed(4 * SECOND) >= 0, "all are back");
        assertEquals(List.of(), fleet.falseFailures);
    }

    @Example
    void restartsInARowAndSevenInTenAtOnce() {
        Fleet fleet = fleet(7, 20);
        for (Fleet.Node node : fleet.nodes) {
            node.leave();
            pass(fleet, 1.2);
            node.start(0);
            pass(fleet, 0.2);
        }
        assertTrue(fleet.untilAgreed(3 * SECOND) >= 0);
        fleet.nodes.subList(0, 14).forEach(Fleet.Node::kill);
        pass(fleet, 0.1);
        fleet.nodes.subList(0, 14).forEach(node -> node.start(0));
        assertTrue(fleet.untilAgreed(4 * SECOND) >= 0);
        assertEquals(List.of(), fleet.falseFailures);
    }

    @Example
    void aLeavingMemberIsSeenAsLeftByAll() {
        Fleet fleet = fleet(3, 6);
        fleet.nodes.get(2).leave();
        pass(fleet, 2);
        for (Fleet.Node node : fleet.nodes) {
            if (node.up) {
                assertEquals(MemberState.LEFT, node.machine.stateOf("n2"), node.name);
            }
        }
    }

    /**
     * Both halves call each other failed; calls at addresses of the failed are what finds them
     * again.
     */
    @Example
    void halvesAndThirdsFindEachOtherAgain() {
        for (int groups : new int[] {2, 3}) {
            defended(
                    seed -> healed(seed, groups, usual()),
                    seed ->
                            healed(
                                    seed,
                                    groups,
                                    rules(3, 3, 20_000, 1_024, 6_000_000, 3, 1_000_000)));
        }
    }

    private static boolean healed(long seed, int groups, MembershipProtocolConfig rules) {
        Fleet fleet = fleet(seed, 9, rules, new ProtocolVariants());
        fleet.split(groups);
        pass(fleet, 6);
        fleet.split(1);
        pass(fleet, 0.7);
        fleet.split(groups + 1);
        pass(fleet, 20);
        if (!fleet.agree()) {
            return false;
        }
        fleet.split(1);
        return fleet.untilAgreed(6 * SECOND) >= 0 && fleet.falseFailures.isEmpty();
    }

    /**
     * Without being looked at first, whom the other half has called failed is called so by its own.
     */
    @Example
    void aHealedPartitionCausesNoFailureOnTheOwnSide() {
        defended(
                seed -> ownFailures(seed, new ProtocolVariants()) == 0,
                seed ->
                        ownFailures(
                                        seed,
                                        new ProtocolVariants() {
                                            @Override
                                            boolean acceptsFailureReport(
                                                    MemberRecord k, MemberUpdate failed, long now) {
                                                return true;
                                            }
                                        })
                                == 0);
    }

    private static int ownFailures(long seed, ProtocolVariants variants) {
        int[] own = {0};
        Fleet[] at = new Fleet[1];
        at[0] =
                new Fleet(
                        new World(seed),
                        12,
                        usual(),
                        (config, out, self, tag, random) ->
                                new Membership(
                                        config,
                                        new MembershipActions() {
                                            @Override
                                            public void send(String to, byte[] datagram) {
                                                out.send(to, datagram);
                                            }

                                            @Override
                                            public void memberStateChanged(
                                                    String who, MemberState state, String reason) {
                                                boolean same =
                                                        (number(who) + number(self.name())) % 2
                                                                == 0;
                                                own[0] +=
                                                        state == MemberState.FAILED
                                                                        && same
                                                                        && at[0].world.now()
                                                                                > 30 * SECOND
                                                                ? 1
                                                                : 0;
                                            }
                                        },
                                        self,
                                        tag,
                                        random,
                                        variants));
        at[0].startAll(SECOND);
        at[0].world.until(6 * SECOND);
        at[0].split(2);
        at[0].world.until(30 * SECOND);
        at[0].split(1);
        at[0].world.until(40 * SECOND);
        return own[0];
    }

    private static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }

    /**
     * One hears another and is not heard by it: others' probes show that both live, and which way
     * is cut.
     */
    @Example
    void aOneWayCutCausesNoFailure() {
        defended(
                seed -> oneWay(seed, usual()),
                seed -> oneWay(seed, rules(0, 3, 20_000, 1_024, 6_000_000, 3, 2)));
    }

    private static boolean oneWay(long seed, MembershipProtocolConfig rules) {
        Fleet fleet = fleet(seed, 6, rules, new ProtocolVariants());
        fleet.world.cut((from, to) -> from == 0 && to == 1);
        pass(fleet, 60);
        return fleet.falseFailures.isEmpty()
                && reach(fleet, 0, "n1") == MembershipView.Reach.INBOUND_ONLY
                && reach(fleet, 1, "n0") == MembershipView.Reach.OUTBOUND_ONLY;
    }

    private static MembershipView.Reach reach(Fleet fleet, int viewer, String name) {
        return fleet.nodes.get(viewer).view().members().stream()
                .filter(l -> l.name().equals(name))
                .findFirst()
                .orElseThrow()
                .reach();
    }

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

    /**
     * A module that stands still is found although the sockets answer; it comes back when it goes
     * on.
     */
    @Example
    void aProcessWithAStalledWorkerIsFoundFailed() {
        defended(
                seed -> hung(seed, usual()),
                seed -> hung(seed, rules(3, 3, Long.MAX_VALUE, 1_024, 6_000_000, 3, 2)));
    }

    private static boolean hung(long seed, MembershipProtocolConfig rules) {
        Fleet fleet = fleet(seed, 5, rules, new ProtocolVariants());
        fleet.nodes.get(3).hang(20 * SECOND);
        boolean found = fleet.untilFailed(fleet.nodes.get(3), true, 15 * SECOND) >= 0;
        pass(fleet, 20);
        return found && fleet.untilAgreed(2 * SECOND) >= 0;
    }

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
     * A view of as many as it may hold: no other is added, and no names that come and go make it
     * grow.
     */
    @Example
    void theGreatestFleetIsABound() {
        Fleet fleet = fleet(2, 12, rules(3, 3, 20_000, 8, 6_000_000, 3, 2), new ProtocolVariants());
        pass(fleet, 30);
        long full = 0;
        for (Fleet.Node node : fleet.nodes) {
            assertTrue(node.view().members().size() <= 8, "members of " + node.name);
            full += node.view().metrics().get(MembershipMetric.REJECTED_WHEN_FULL);
        }
        assertTrue(full > 0, "who found no room is counted");
        Membership one =
                new Membership(
                        rules(3, 3, 20_000, 64, 20 * SECOND, 3, 2),
                        new MembershipActions() {
                            @Override
                            public void send(String to, byte[] datagram) {}

                            @Override
                            public void memberStateChanged(
                                    String who, MemberState state, String reason) {}
                        },
                        new LocalMember("me", "127.0.0.1:1", List.of("127.0.0.1:2"), false, 1_000),
                        0,
                        new SplittableRandom(1));
        one.start(0);
        long now = 0;
        for (int i = 0; i < 5_000; i++) {
            MemberUpdate other =
                    new MemberUpdate(
                            "x" + i, "127.0.0.1:" + (2 + i), 1_000, 0, MemberState.ALIVE, 0);
            DatagramWriter hello =
                    DatagramCodec.writerFor(
                            new Message(Message.Kind.PING, other, 1, 0, 0),
                            DatagramCodec.MAX_DATAGRAM_BYTES);
            one.datagramReceived(now, other.address(), hello.toBytes(), hello.size());
            MemberUpdate left = other.withState(MemberState.LEFT, 0);
            DatagramWriter bye =
                    DatagramCodec.writerFor(
                            new Message(Message.Kind.UPDATES, left, 2, 0, 0),
                            DatagramCodec.MAX_DATAGRAM_BYTES);
            one.datagramReceived(now, other.address(), bye.toBytes(), bye.size());
            now += 100;
            one.timerFired(now);
        }
        assertTrue(one.view(now).members().size() <= 64);
        one.timerFired(now + 60 * SECOND);
        assertEquals(1, one.view(now + 60 * SECOND).members().size(), "who has left is forgotten");
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

    /**
     * The seeds that a file names are dead when it joins; one that comes later brings them
     * together.
     */
    @Example
    void deadSeedsAreCalledAgain() {
        Fleet fleet =
                new Fleet(
                        new World(9),
                        5,
                        usual(),
                        (config, out, self, tag, random) ->
                                new Membership(
                                        config,
                                        out,
                                        new LocalMember(
                                                self.name(),
                                                self.address(),
                                                self.contacts().subList(0, 2),
                                                false,
                                                self.generation()),
                                        tag,
                                        random));
        for (int i = 2; i < 5; i++) {
            fleet.nodes.get(i).start(0);
        }
        pass(fleet, 10);
        assertEquals(0, fleet.nodes.get(3).machine.liveOthers(), "no member can be found");
        assertEquals(
                MemberState.ALIVE,
                fleet.nodes.get(3).view().members().get(0).state(),
                "and it serves");
        fleet.nodes.get(0).start(0);
        assertTrue(fleet.untilAgreed(6 * SECOND) >= 0);
        fleet.nodes.get(0).kill();
        fleet.nodes.get(4).kill();
        pass(fleet, 10);
        assertTrue(fleet.agree());
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

    /**
     * Updates keep to their bounds of bytes and retransmissions; without a bound they fill all
     * datagrams.
     */
    @Example
    void membersThatComeAndGoEverySecond() {
        defended(
                seed -> churn(seed, new ProtocolVariants()) < 2_000,
                seed ->
                        churn(
                                        seed,
                                        new ProtocolVariants() {
                                            @Override
                                            int transmitLimit(int usual) {
                                                return 1_000_000;
                                            }
                                        })
                                < 2_000);
    }

    /** Bytes a second in the mean of the quiet minute after a minute of comings and goings. */
    private static long churn(long seed, ProtocolVariants variants) {
        Fleet fleet = fleet(seed, 16, usual(), variants);
        for (int i = 0; i < 60; i++) {
            Fleet.Node node = fleet.nodes.get(4 + i % 12);
            if (node.up) {
                node.kill();
            } else {
                node.start(0);
            }
            pass(fleet, 1);
        }
        for (Fleet.Node node : fleet.nodes) {
            assertTrue(
                    node.worstSecond <= USUAL.maxBytesPerSecond(),
                    node.worstSecond + " bytes in a second");
            if (!node.up) {
                node.start(0);
            }
        }
        assertTrue(fleet.untilAgreed(8 * SECOND) >= 0);
        pass(fleet, 10);
        long before = fleet.nodes.get(0).sent;
        pass(fleet, 60);
        assertEquals(List.of(), fleet.falseFailures);
        return (fleet.nodes.get(0).sent - before) / 60 * 10;
    }

    /** Bytes of any kind are read as nothing or as a message, and never thrown on. */
    @Property(seed = "20261201", tries = 2_000)
    void hostileBytesAreDropped(@ForAll int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        MemberUpdate me =
                new MemberUpdate(
                        "n" + random.nextInt(99),
                        random.nextBoolean() ? "10.0.0.1:7946" : "[::1]:7946",
                        random.nextLong(1L << 46),
                        random.nextInt(1 << 30),
                        MemberState.ALIVE,
                        0);
        Message.Kind kind = Message.Kind.ofWireNumber(random.nextInt(Message.Kind.values().length));
        Message m =
                new Message(
                        kind,
                        me,
                        random.nextLong(1L << 32),
                        random.nextLong(),
                        random.nextInt(1 << 16));
        m.sequenceNumber = random.nextInt();
        m.target = "n1";
        m.targetAddress = "10.0.0.2:1";
        m.partitions = 4;
        m.partition = random.nextInt(4);
        m.partitionDigests = new int[] {random.nextInt(), 2, 3, 4};
        m.payload = new byte[random.nextInt(20)];
        DatagramWriter out = DatagramCodec.writerFor(m, DatagramCodec.MAX_DATAGRAM_BYTES);
        MemberUpdate word =
                new MemberUpdate(
                        "other",
                        "10.0.0.3:65535",
                        5,
                        6,
                        MemberState.ofWireNumber(random.nextInt(5)),
                        7);
        boolean fits = out.addUpdate(word);
        Message read = DatagramCodec.decode(out.toBytes(), out.size());
        assertNotNull(read);
        assertEquals(me, read.sender);
        assertEquals(fits ? 1 : 0, read.updates.size());
        assertEquals(kind, read.kind);
        byte[] bytes = out.toBytes();
        for (int i = 0; i < 1 + random.nextInt(6); i++) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        }
        int length = random.nextInt(bytes.length + 1);
        DatagramCodec.decode(bytes, length);
        Membership victim = fleet(1, 2).nodes.get(0).machine;
        victim.datagramReceived(7 * SECOND, "10.0.0.1:7946", bytes, length);
        byte[] noise = new byte[random.nextInt(300)];
        for (int i = 0; i < noise.length; i++) {
            noise[i] = (byte) random.nextInt(256);
        }
        victim.datagramReceived(7 * SECOND, "127.0.0.1:10001", noise, noise.length);
    }

    /**
     * Bytes changed on the way, without a key to tell them: whatever they made it believe does not
     * last.
     */
    @Example
    void effectsOfCorruptDatagramsDoNotLast() {
        for (int seed = 0; seed < 3; seed++) {
            Fleet fleet = fleet(seed, 8);
            fleet.world.trouble(0, 0, 0.3);
            pass(fleet, 30);
            fleet.world.trouble(0, 0, 0);
            pass(fleet, 60);
            for (Fleet.Node node : fleet.nodes) {
                for (Fleet.Node other : fleet.nodes) {
                    MemberState state =
                            node == other ? MemberState.ALIVE : node.machine.stateOf(other.name);
                    assertEquals(
                            MemberState.ALIVE,
                            state,
                            node.name + " of " + other.name + ", seed " + seed);
                }
            }
        }
    }
}

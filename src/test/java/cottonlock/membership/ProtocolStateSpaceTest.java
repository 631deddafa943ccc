package cottonlock.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.setup.MembershipProtocolConfig;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/**
 * Explores all orders of events among three processes to a given depth: each datagram in flight may
 * arrive at any time or never, each clock runs independently, and a process may be killed,
 * restarted or stalled. After each step, updates must only have been superseded by higher ones.
 * From every state, views must become right once there are no further faults.
 */
class ProtocolStateSpaceTest {
    private static final MembershipProtocolConfig CONFIG =
            new MembershipProtocolConfig(
                    5_000, 1_500, 1, 1, 1, 1, 20_000, 1, 16, 6_000_000, 4_096, 3, 3_000, 1);

    /** Maximum number of steps after the initial state. */
    private static final int DEPTH = Integer.getInteger("cottonlock.depth", 6);

    /** Maximum number of datagrams in flight; beyond it the oldest one is lost. */
    private static final int MAX_IN_FLIGHT = 5;

    /** The states from which the exploration starts. */
    private enum InitialState {
        JOINED,
        JOINING_BY_ONE_CONTACT,
        ONE_KILLED,
        RESTARTED,
        SUSPECTED,
        PARTITIONED
    }

    /** A datagram in flight, with the indexes of its sender and its receiver. */
    private static final class Datagram {
        final int from;
        final int to;
        final byte[] bytes;

        Datagram(int from, int to, byte[] bytes) {
            this.from = from;
            this.to = to;
            this.bytes = bytes;
        }
    }

    /** A violated invariant, or views that do not become right. */
    private static final class Violation extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Violation(String what) {
            super(what);
        }
    }

    /** Three processes and their datagrams, driven by a sequence of steps. */
    private static final class Simulation {
        final ProtocolVariants variants;
        final boolean singleContact;
        final Membership[] memberships = new Membership[3];
        final long[] now = {0, 0, 0};
        final long[] timerDueAt = new long[3];
        final boolean[] running = new boolean[3];
        final int[] startCounts = new int[3];
        final List<Datagram> inFlight = new ArrayList<>();
        final List<Map<String, MemberUpdate>> lastViews = new ArrayList<>();

        /** The highest claim of each process about itself, over all of its generations. */
        final Map<String, MemberUpdate> ownClaims = new TreeMap<>();

        boolean[][] cut = new boolean[3][3];
        int kills;
        int stalls;
        String failedInCall;

        Simulation(InitialState initialState, ProtocolVariants variants) {
            this.variants = variants;
            this.singleContact = initialState == InitialState.JOINING_BY_ONE_CONTACT;
            for (int process = 0; process < 3; process++) {
                lastViews.add(new TreeMap<>());
                start(process);
            }
            if (singleContact) {
                // All updates that the contact sends to the others about each other are lost, until
                // it
                // no longer retransmits them.
                runWithoutFaults(
                        100_000,
                        datagram ->
                                datagram.to == 0 ? datagram : withoutUpdatesAboutOthers(datagram));
                checkInvariants();
                inFlight.clear();
                return;
            }
            runWithoutFaults(8_000);
            checkInvariants();
            if (initialState == InitialState.ONE_KILLED) {
                kill(2);
            } else if (initialState == InitialState.RESTARTED) {
                kill(2);
                runWithoutFaults(60_000);
                start(2);
            } else if (initialState == InitialState.SUSPECTED) {
                cut[0][1] = true;
                cut[2][1] = true;
                cut[1][0] = true;
                cut[1][2] = true;
                runUntil(() -> memberships[0].stateOf("b") == MemberState.SUSPECT);
                cut = new boolean[3][3];
            } else if (initialState == InitialState.PARTITIONED) {
                cut[0][1] = true;
                cut[1][0] = true;
                cut[0][2] = true;
                cut[2][0] = true;
                runUntil(
                        () ->
                                memberships[0].liveOthers() == 0
                                        && memberships[1].stateOf("a") == MemberState.FAILED
                                        && memberships[2].stateOf("a") == MemberState.FAILED);
                cut = new boolean[3][3];
            }
            inFlight.clear();
            kills = 0;
        }

        private static String name(int process) {
            return String.valueOf((char) ('a' + process));
        }

        private static String address(int process) {
            return "127.0.0.1:" + (1 + process);
        }

        void start(int process) {
            int start = ++startCounts[process];
            running[process] = true;
            lastViews.get(process).clear();
            List<String> contacts =
                    singleContact
                            ? List.of(address(0))
                            : List.of(address(0), address(1), address(2));
            // The clock of each start is behind that of the start before.
            memberships[process] =
                    new Membership(
                            CONFIG,
                            new MembershipActions() {
                                @Override
                                public void send(String to, byte[] datagram) {
                                    inFlight.add(
                                            new Datagram(
                                                    process,
                                                    to.charAt(to.length() - 1) - '1',
                                                    datagram));
                                }

                                @Override
                                public void memberStateChanged(
                                        String memberName, MemberState state, String reason) {
                                    failedInCall =
                                            state == MemberState.FAILED ? memberName : failedInCall;
                                }
                            },
                            new LocalMember(
                                    name(process),
                                    address(process),
                                    contacts,
                                    !singleContact,
                                    1_000_000 - 1_000L * start),
                            0,
                            new SplittableRandom(process + 10L * start),
                            variants);
            timerDueAt[process] = memberships[process].start(now[process]);
        }

        void kill(int process) {
            running[process] = false;
            kills++;
        }

        /** All steps that may happen next. */
        List<Integer> steps() {
            List<Integer> steps = new ArrayList<>();
            Set<String> seen = new HashSet<>();
            for (int i = 0; i < inFlight.size(); i++) {
                if (running[inFlight.get(i).to] && seen.add(describe(inFlight.get(i)))) {
                    steps.add(i);
                }
            }
            for (int process = 0; process < 3; process++) {
                if (running[process]) {
                    steps.add(100 + process);
                    if (kills == 0) {
                        steps.add(200 + process);
                    }
                    if (stalls == 0) {
                        steps.add(400 + process);
                    }
                } else {
                    steps.add(300 + process);
                }
            }
            return steps;
        }

        void apply(int step) {
            int process = step % 100;
            switch (step / 100) {
                case 0 -> {
                    Datagram datagram = inFlight.remove(step);
                    deliver(datagram);
                }
                case 1 -> {
                    now[process] = Math.max(now[process], timerDueAt[process]);
                    timerDueAt[process] = memberships[process].timerFired(now[process]);
                }
                case 2 -> kill(process);
                case 3 -> start(process);
                default -> {
                    stalls++;
                    now[process] = Math.max(now[process], timerDueAt[process]) + 100_000;
                    failedInCall = null;
                    timerDueAt[process] = memberships[process].timerFired(now[process]);
                    if (failedInCall != null) {
                        throw new Violation(
                                name(process)
                                        + " declared "
                                        + failedInCall
                                        + " failed after its own stall");
                    }
                }
            }
            while (inFlight.size() > MAX_IN_FLIGHT) {
                inFlight.remove(0);
            }
            checkInvariants();
        }

        private void deliver(Datagram datagram) {
            timerDueAt[datagram.to] =
                    memberships[datagram.to].datagramReceived(
                            now[datagram.to],
                            address(datagram.from),
                            datagram.bytes,
                            datagram.bytes.length);
        }

        /**
         * Checks that each view's updates are only superseded by higher ones, and that none has a
         * higher generation or incarnation than its subject has claimed.
         */
        private void checkInvariants() {
            for (int process = 0; process < 3; process++) {
                MembershipView.Member own =
                        memberships[process].view(now[process]).members().get(0);
                MemberUpdate update =
                        new MemberUpdate(
                                own.name(),
                                own.address(),
                                own.generation(),
                                own.incarnation(),
                                MemberState.JOINING,
                                0);
                ownClaims.merge(
                        own.name(), update, (one, other) -> one.supersedes(other) ? one : other);
            }
            for (int process = 0; process < 3; process++) {
                if (!running[process]) {
                    continue;
                }
                for (MembershipView.Member member :
                        memberships[process].view(now[process]).members()) {
                    MemberUpdate update =
                            new MemberUpdate(
                                    member.name(),
                                    member.address(),
                                    member.generation(),
                                    member.incarnation(),
                                    member.state(),
                                    0);
                    MemberUpdate before = lastViews.get(process).put(update.name(), update);
                    if (before != null && before.supersedes(update)) {
                        throw new Violation(
                                name(process) + " replaced " + before + " by the lower " + update);
                    }
                    MemberUpdate own = ownClaims.get(member.name());
                    if (member.generation() > own.generation()
                            || (member.generation() == own.generation()
                                    && member.incarnation() > own.incarnation())) {
                        throw new Violation(
                                name(process)
                                        + " holds "
                                        + update
                                        + ", which "
                                        + member.name()
                                        + " has never claimed");
                    }
                }
            }
        }

        /** Runs for a time without faults: datagrams arrive soon and all clocks agree. */
        void runWithoutFaults(long length) {
            runWithoutFaults(length, datagram -> datagram);
        }

        private void runWithoutFaults(long length, UnaryOperator<Datagram> transform) {
            long from = Math.max(now[0], Math.max(now[1], now[2]));
            java.util.Arrays.fill(now, from);
            while (now[0] < from + length) {
                deliverQueued(50, transform);
                long next = from + length;
                for (int process = 0; process < 3; process++) {
                    next =
                            running[process]
                                    ? Math.min(next, Math.max(now[0] + 5, timerDueAt[process]))
                                    : next;
                }
                java.util.Arrays.fill(now, next);
                for (int process = 0; process < 3; process++) {
                    if (running[process] && timerDueAt[process] <= next) {
                        timerDueAt[process] = memberships[process].timerFired(next);
                    }
                }
            }
        }

        private void runUntil(java.util.function.BooleanSupplier reached) {
            for (int i = 0; i < 200 && !reached.getAsBoolean(); i++) {
                runWithoutFaults(1_000);
            }
            if (!reached.getAsBoolean()) {
                throw new Violation("the initial state was not reached");
            }
        }

        private void deliverQueued(int maxDatagrams, UnaryOperator<Datagram> transform) {
            for (int i = 0; i < maxDatagrams && !inFlight.isEmpty(); i++) {
                Datagram datagram = transform.apply(inFlight.remove(0));
                if (running[datagram.to] && !cut[datagram.from][datagram.to]) {
                    deliver(datagram);
                }
            }
        }

        /** A copy with only those updates that are about the receiver. */
        private static Datagram withoutUpdatesAboutOthers(Datagram datagram) {
            Message message = decode(datagram);
            DatagramWriter out = DatagramCodec.writerFor(message, DatagramCodec.MAX_DATAGRAM_BYTES);
            message.updates.stream()
                    .filter(update -> update.name().equals(name(datagram.to)))
                    .forEach(out::addUpdate);
            return new Datagram(datagram.from, datagram.to, out.toBytes());
        }

        /**
         * Checks that without faults every view becomes right and retransmissions of updates end.
         */
        void checkConvergence() {
            runWithoutFaults(200_000);
            for (int process = 0; process < 3; process++) {
                for (int other = 0; other < 3; other++) {
                    MemberState state =
                            process == other
                                    ? MemberState.ALIVE
                                    : memberships[process].stateOf(name(other));
                    boolean live = state != null && state.isLive();
                    // With the only contact down, two processes that never met can't find each
                    // other.
                    boolean neverMet = singleContact && !running[0] && state == null;
                    if (running[process] && live != running[other] && !neverMet) {
                        throw new Violation(
                                "in the end "
                                        + name(process)
                                        + " has "
                                        + name(other)
                                        + " as "
                                        + state
                                        + ", which "
                                        + (running[other] ? "runs" : "is down"));
                    }
                }
                // One update may remain: an update about the only possible receiver is never sent
                // to it.
                String queuedUpdates =
                        memberships[process]
                                .fingerprint(now[process])
                                .replaceAll("(?s).*telling ", "");
                if (running[process]
                        && memberships[process].liveOthers() > 0
                        && Integer.parseInt(queuedUpdates) > 1) {
                    throw new Violation(
                            "in the end " + name(process) + " still retransmits old updates");
                }
            }
        }

        private static Message decode(Datagram datagram) {
            return DatagramCodec.decode(datagram.bytes, datagram.bytes.length);
        }

        private static String describe(Datagram datagram) {
            Message message = decode(datagram);
            return datagram.from
                    + ">"
                    + datagram.to
                    + message.kind
                    + message.sender
                    + message.viewDigest
                    + message.stallCentis
                    + message.target
                    + message.onBehalfOf
                    + message.heardRecently
                    + message.sequenceNumber
                    + message.updates;
        }

        String stateKey() {
            StringBuilder stateKey = new StringBuilder();
            for (int process = 0; process < 3; process++) {
                stateKey.append(running[process]).append(startCounts[process]).append('|');
                stateKey.append(
                                running[process]
                                        ? memberships[process].fingerprint(now[process])
                                        : "")
                        .append('|');
            }
            inFlight.stream()
                    .map(Simulation::describe)
                    .sorted()
                    .forEach(description -> stateKey.append(description).append('\n'));
            return stateKey.append(kills).append(stalls).toString();
        }
    }

    /** Explores all states that can be reached from one initial state. */
    private static final class Explorer {
        final InitialState initialState;
        final ProtocolVariants variants;
        final Set<String> visitedStates = new HashSet<>();
        final int depth;

        Explorer(InitialState initialState, ProtocolVariants variants, int depth) {
            this.initialState = initialState;
            this.variants = variants;
            this.depth = depth;
        }

        private Simulation replay(List<Integer> path) {
            Simulation simulation = new Simulation(initialState, variants);
            for (int step : path) {
                simulation.apply(step);
            }
            return simulation;
        }

        /** Throws an exception with the path that leads to a violation. */
        void explore() {
            // Breadth first, so that the first path found is a shortest one.
            List<List<Integer>> paths = List.of(List.of());
            for (int length = 0; length <= depth; length++) {
                List<List<Integer>> nextPaths = new ArrayList<>();
                for (List<Integer> path : paths) {
                    try {
                        Simulation simulation = replay(path);
                        if (!visitedStates.add(simulation.stateKey())) {
                            continue;
                        }
                        for (int step : simulation.steps()) {
                            List<Integer> nextPath = new ArrayList<>(path);
                            nextPath.add(step);
                            nextPaths.add(nextPath);
                        }
                        simulation.checkConvergence();
                    } catch (Violation e) {
                        throw new Violation(initialState + " " + path + ": " + e.getMessage());
                    }
                }
                paths = nextPaths;
            }
        }
    }

    private static long explore(ProtocolVariants variants, int depth) {
        AtomicLong states = new AtomicLong();
        Stream.of(InitialState.values())
                .parallel()
                .forEach(
                        initialState -> {
                            Explorer explorer = new Explorer(initialState, variants, depth);
                            explorer.explore();
                            states.addAndGet(explorer.visitedStates.size());
                        });
        return states.get();
    }

    @Example
    void viewsConvergeAfterEveryOrderOfEvents() {
        long from = System.nanoTime();
        long states = explore(new ProtocolVariants(), DEPTH);
        System.out.printf(
                "state space: %d states to a depth of %d from %d initial states, %.1f s%n",
                states, DEPTH, InitialState.values().length, (System.nanoTime() - from) / 1e9);
        assertTrue(states > 5_000, states + " states");
    }

    /** Each faulty variant of the protocol must be found, with a shortest path to a violation. */
    @Example
    void findsEachFaultyVariant() {
        Map<String, ProtocolVariants> faults = new TreeMap<>();
        faults.put(
                "an old update is accepted",
                new ProtocolVariants() {
                    @Override
                    boolean supersedes(MemberUpdate one, MemberUpdate other) {
                        return !one.equals(other);
                    }
                });
        faults.put(
                "the incarnation is not raised",
                new ProtocolVariants() {
                    @Override
                    int nextIncarnation(int incarnation) {
                        return incarnation;
                    }
                });
        faults.put(
                "the generation is not raised",
                new ProtocolVariants() {
                    @Override
                    long nextGeneration(long generation) {
                        return generation - 1;
                    }
                });
        faults.put(
                "views are not repaired",
                new ProtocolVariants() {
                    @Override
                    boolean repairsDivergence() {
                        return false;
                    }
                });
        faults.put(
                "a suspicion never expires",
                new ProtocolVariants() {
                    @Override
                    long suspicionExpiryTicks(SuspicionTimer suspicion) {
                        return Long.MAX_VALUE / 8;
                    }
                });
        faults.put(
                "a process ignores its own stall",
                new ProtocolVariants() {
                    @Override
                    boolean tracksLocalHealth() {
                        return false;
                    }

                    @Override
                    boolean probesBeforeFailing() {
                        return false;
                    }
                });
        faults.put(
                "updates are retransmitted forever",
                new ProtocolVariants() {
                    @Override
                    int transmitLimit(int defaultLimit) {
                        return 1_000_000;
                    }
                });
        List<String> undetected = new ArrayList<>();
        faults.forEach(
                (name, variants) -> {
                    try {
                        explore(variants, 3);
                        undetected.add(name);
                    } catch (Violation e) {
                        System.out.println("faulty variant: " + name + ": " + e.getMessage());
                    }
                });
        assertEquals(List.of(), undetected, "faults that were not found");
    }
}

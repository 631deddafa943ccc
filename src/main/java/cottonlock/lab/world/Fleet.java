package cottonlock.lab.world;

import cottonlock.core.Deterministic;
import cottonlock.membership.LocalMember;
import cottonlock.membership.MemberState;
import cottonlock.membership.Membership;
import cottonlock.membership.MembershipActions;
import cottonlock.membership.MembershipView;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.IntPredicate;
import java.util.function.IntUnaryOperator;
import java.util.function.LongSupplier;

/**
 * A simulated fleet of processes that run the membership protocol in a {@link World}. Tests and
 * studies start, kill, pause, hang and partition them, and compare their views with the truth.
 */
@Deterministic
public final class Fleet {
    /**
     * The datagrams that the socket of a paused process buffers: about 200 KB by the kernel's
     * accounting.
     */
    private static final int MAX_QUEUED_DATAGRAMS = 256;

    private static final long TICKS_PER_SECOND = 10_000;

    /**
     * Protocol periods after a change from outside within which reports of failures may still be
     * due to the state before it.
     */
    private static final int SETTLE_PERIODS = 14;

    /**
     * CPU time is measured at every eighth node only: reading the CPU clock takes as long as
     * handling a datagram.
     */
    private static final int METERED_INTERVAL = 8;

    /** A viewer called another member failed although that member was up and reachable. */
    public record FalseFailure(long at, String viewer, String member, String reason) {}

    /** Creates the membership state machine of one process; tests provide variants. */
    public interface MembershipFactory {
        Membership create(
                MembershipProtocolConfig rules,
                MembershipActions actions,
                LocalMember self,
                int reservedBytes,
                SplittableRandom random);
    }

    /** One proxy, over all its restarts. */
    public final class Node {
        final int number;
        public final String name;
        public final String address;
        public Membership machine;
        public boolean up;
        boolean paused;
        private boolean hung;
        private long changedAt;
        private long hungSince;
        private long clockOffset;
        private int startCount;
        private final Deque<Runnable> queuedDatagrams = new ArrayDeque<>();
        private boolean timerMissed;
        private long bytesInSecond;
        private long currentSecond;
        public long worstSecond;
        public long sent;

        Node(int number) {
            this.number = number;
            this.name = "n" + number;
            this.address = "127.0.0.1:" + (10_000 + number);
        }

        private void send(String to, byte[] datagram) {
            // The simulated network's CPU time does not count for the process.
            meter(false);
            transmit(to, datagram);
            meter(true);
        }

        /**
         * Measures CPU time: the clock is read when the process starts to work and again when it is
         * done.
         */
        private void meter(boolean starting) {
            if (cpuClock != null && number % METERED_INTERVAL == 0) {
                long time = cpuClock.getAsLong();
                cpuNanos += starting ? -time : time;
                clockReadings++;
            }
        }

        private void transmit(String to, byte[] datagram) {
            long s = world.now() / TICKS_PER_SECOND;
            bytesInSecond = s == currentSecond ? bytesInSecond + datagram.length : datagram.length;
            currentSecond = s;
            worstSecond = Math.max(worstSecond, bytesInSecond);
            sent += datagram.length;
            int other = Integer.parseInt(to.substring(to.indexOf(':') + 1)) - 10_000;
            if (other >= 0 && other < nodes.size()) {
                world.send(number, other, datagram, b -> nodes.get(other).receive(address, b));
            }
        }

        void receive(String from, byte[] datagram) {
            if (!up) {
                return;
            }
            if (paused) {
                if (queuedDatagrams.size() < MAX_QUEUED_DATAGRAMS) {
                    queuedDatagrams.add(() -> receive(from, datagram));
                }
                return;
            }
            int startNumber = startCount;
            reportProgress();
            meter(true);
            long time = machine.datagramReceived(world.now(), from, datagram, datagram.length);
            meter(false);
            scheduleTimer(time, startNumber);
        }

        private void reportProgress() {
            machine.workerProgressedAt(hung ? hungSince : world.now());
        }

        private long plannedTimerAt;

        private void scheduleTimer(long time, int startNumber) {
            if (time != plannedTimerAt) {
                plannedTimerAt = time;
                world.at(time, () -> onTimer(time, startNumber));
            }
        }

        private void onTimer(long time, int startNumber) {
            if (!up || startNumber != startCount || time != plannedTimerAt) {
                return;
            }
            if (paused) {
                // On resumption queued datagrams are handled before the timer.
                timerMissed = true;
                return;
            }
            plannedTimerAt = -1;
            reportProgress();
            meter(true);
            long next = machine.timerFired(world.now());
            meter(false);
            scheduleTimer(next, startNumber);
        }

        /** Starts a process whose clock is off by {@code clockOffset} ticks. */
        public void start(long clockOffset) {
            up = true;
            changedAt = world.now();
            paused = false;
            hung = false;
            queuedDatagrams.clear();
            timerMissed = false;
            this.clockOffset = clockOffset;
            int startNumber = ++startCount;
            machine =
                    factory.create(
                            rules,
                            new MembershipActions() {
                                @Override
                                public void send(String address, byte[] datagram) {
                                    if (startNumber == startCount) {
                                        Node.this.send(address, datagram);
                                    }
                                }

                                @Override
                                public void memberStateChanged(
                                        String who, MemberState state, String reason) {
                                    Node other = nodeNamed(who);
                                    if (state == MemberState.FAILED
                                            && other != null
                                            && other != Node.this
                                            && reachable(Node.this, other.number)) {
                                        falseFailures.add(
                                                new FalseFailure(world.now(), name, who, reason));
                                    }
                                }
                            },
                            new LocalMember(
                                    name,
                                    address,
                                    contacts,
                                    membersAreFixed,
                                    1_700_000_000_000L + (world.now() + this.clockOffset) / 10),
                            0,
                            new SplittableRandom(world.chance().nextLong()));
            reportProgress();
            plannedTimerAt = -1;
            meter(true);
            long time = machine.start(world.now());
            meter(false);
            scheduleTimer(time, startNumber);
        }

        public void kill() {
            up = false;
        }

        /** Leaves the membership, and ends a second later; until then the process still answers. */
        public void leave() {
            int startNumber = startCount;
            scheduleTimer(machine.leave(world.now()), startNumber);
            world.at(world.now() + TICKS_PER_SECOND, () -> up &= startNumber != startCount);
        }

        public void pause(long length) {
            paused = true;
            changedAt = world.now() + length;
            int startNumber = startCount;
            world.at(
                    world.now() + length,
                    () -> {
                        if (startNumber == startCount) {
                            paused = false;
                            List<Runnable> queue = new ArrayList<>(queuedDatagrams);
                            queuedDatagrams.clear();
                            queue.forEach(Runnable::run);
                            if (timerMissed) {
                                timerMissed = false;
                                plannedTimerAt = -1;
                                scheduleTimer(world.now(), startNumber);
                            }
                        }
                    });
        }

        public void hang(long length) {
            hung = true;
            changedAt = world.now() + length;
            hungSince = world.now();
            int startNumber = startCount;
            world.at(world.now() + length, () -> hung &= startNumber != startCount);
        }

        public MembershipView view() {
            return machine.view(world.now());
        }
    }

    public final World world;
    public final List<Node> nodes = new ArrayList<>();

    /** All false failures so far. */
    public final List<FalseFailure> falseFailures = new ArrayList<>();

    private final MembershipProtocolConfig rules;
    private final MembershipFactory factory;
    private final List<String> contacts = new ArrayList<>();
    private final Map<String, Node> byName = new HashMap<>();
    private final boolean membersAreFixed;

    /** The side of each node while the fleet is split. */
    private final int[] sides;

    private boolean split;

    /** When the sides were last changed. */
    private long splitAt;

    /** Whether failures that are reported within one side of a split count as false ones, too. */
    private boolean judgesWithinSides;

    private long settleTicks;

    /** The node whose view was wrong in the last comparison: the next one starts with it. */
    private int lastWrongNode;

    private LongSupplier cpuClock;
    private long cpuNanos;
    private long clockReadings;

    public Fleet(World world, int size, MembershipProtocolConfig rules, MembershipFactory factory) {
        this(world, size, rules, factory, size);
    }

    /**
     * Creates a fleet.
     *
     * @param known number of evenly spread contact addresses that each member knows; if these are
     *     all members, no other address is accepted
     */
    public Fleet(
            World world,
            int size,
            MembershipProtocolConfig rules,
            MembershipFactory factory,
            int known) {
        this.world = world;
        this.rules = rules;
        this.factory = factory;
        sides = new int[size];
        settleTicks = SETTLE_PERIODS * rules.periodTicks();
        membersAreFixed = known >= size;
        for (int i = 0; i < size; i++) {
            nodes.add(new Node(i));
            byName.put(nodes.get(i).name, nodes.get(i));
        }
        for (int i = 0; i < known; i++) {
            contacts.add(nodes.get((int) ((long) i * size / known)).address);
        }
    }

    public Fleet(World world, int size, MembershipProtocolConfig rules) {
        this(world, size, rules, Membership::new);
    }

    /** Starts all nodes at random times within so many ticks. */
    public void startAll(long within) {
        for (Node node : nodes) {
            world.at(world.now() + world.chance().nextLong(within + 1), () -> node.start(0));
        }
    }

    /** Finds a node by name; null for a name that only a corrupted datagram can contain. */
    private Node nodeNamed(String name) {
        return byName.get(name);
    }

    /**
     * Measures the CPU time of every eighth node from now on.
     *
     * @param clock the CPU time of this thread, in nanoseconds
     */
    public void meter(LongSupplier clock) {
        cpuClock = clock;
        cpuNanos = 0;
        clockReadings = 0;
    }

    /** CPU time in nanoseconds that the measured nodes have used since {@link #meter}. */
    public long cpuNanos() {
        return cpuNanos;
    }

    /** How often the CPU clock was read since {@link #meter}. */
    public long clockReadings() {
        return clockReadings;
    }

    public int meteredCount() {
        return (nodes.size() + METERED_INTERVAL - 1) / METERED_INTERVAL;
    }

    /** Splits the fleet: node i is on side {@code i % groups}. One group ends the split. */
    public void split(int groups) {
        setSides(i -> i % groups);
    }

    /**
     * Splits the fleet into sides, each fully connected within itself. All nodes on one side end
     * the split.
     */
    public void setSides(IntUnaryOperator side) {
        split = false;
        for (int i = 0; i < sides.length; i++) {
            sides[i] = side.applyAsInt(i);
            split |= sides[i] != sides[0];
        }
        splitAt = world.now();
        world.cut((from, to) -> sides[from] != sides[to]);
    }

    /**
     * Also counts false failures within each side of a split, from when the longest suspicion on
     * that side has ended.
     */
    public void judgeWithinSides() {
        judgesWithinSides = true;
        double longest =
                rules.suspicionMultiplier()
                        * rules.maxSuspicionMultiplier()
                        * Math.max(1, Math.log10(nodes.size()));
        settleTicks = Math.max(SETTLE_PERIODS, Math.round(longest) + 2) * rules.periodTicks();
    }

    /**
     * Whether a node has been up, serving and reachable by all for so long that calling it failed
     * is wrong.
     */
    public boolean reachable(int number) {
        return !split && isSettled(nodes.get(number));
    }

    private boolean reachable(Node viewer, int number) {
        return (split && judgesWithinSides)
                ? sides[viewer.number] == sides[number]
                        && isSettled(nodes.get(number))
                        && isSettled(viewer)
                : reachable(number);
    }

    private boolean isSettled(Node n) {
        return n.up
                && !n.paused
                && !n.hung
                && world.now() - Math.max(n.changedAt, splitAt) > settleTicks;
    }

    /**
     * Counts the members that were wrongly called failed, from an entry of {@link #falseFailures}
     * on. Several reports about a member within the same half minute count once.
     */
    public int wrongedCount(int from) {
        Set<String> wronged = new TreeSet<>();
        for (FalseFailure f : falseFailures.subList(from, falseFailures.size())) {
            wronged.add(f.member + " " + f.at / (30 * TICKS_PER_SECOND));
        }
        return wronged.size();
    }

    /** Whether this node's view has every live process that it can reach, and no other. */
    public boolean isViewCorrect(Node node) {
        int present = 0;
        for (Node other : nodes) {
            present += other != node && isPresent(node, other) ? 1 : 0;
        }
        if (node.machine.liveOthers() != present) {
            return false;
        }
        for (Node other : nodes) {
            MemberState state = other == node ? null : node.machine.stateOf(other.name);
            if (other != node && (state != null && state.isLive()) != isPresent(node, other)) {
                return false;
            }
        }
        return true;
    }

    private boolean isPresent(Node node, Node other) {
        return other.up
                && !other.hung
                && !other.paused
                && sides[other.number] == sides[node.number];
    }

    /** Whether all views are right, and therefore the same. */
    public boolean agree() {
        return agree(i -> true);
    }

    /** Whether the views of these nodes are right. */
    public boolean agree(IntPredicate selected) {
        // Per side: the number of processes, and the digest of a view that was found right. Another
        // view with the
        // same digest has the same members and need not be compared in full.
        Map<Integer, Integer> present = new HashMap<>();
        Map<Integer, Long> correctDigests = new HashMap<>();
        for (Node n : nodes) {
            present.merge(sides[n.number], n.up && !n.hung && !n.paused ? 1 : 0, Integer::sum);
        }
        for (int i = 0; i < nodes.size(); i++) {
            Node n = nodes.get((lastWrongNode + i) % nodes.size());
            if (!n.up || n.paused || !selected.test(n.number)) {
                continue;
            }
            int side = sides[n.number];
            boolean wrong = n.machine.liveOthers() != present.get(side) - (n.hung ? 0 : 1);
            if (!wrong
                    && (correctDigests.get(side) == null
                            || correctDigests.get(side) != n.machine.digest())) {
                wrong = !isViewCorrect(n);
                correctDigests.put(side, n.machine.digest());
            }
            if (wrong) {
                lastWrongNode = n.number;
                return false;
            }
        }
        return true;
    }

    /**
     * Runs until all views are right; returns the ticks that took, or -1 after {@code maxTicks}.
     */
    public long untilAgreed(long maxTicks) {
        return untilAgreed(i -> true, maxTicks);
    }

    /** Runs until the views of the selected nodes are right; returns the ticks that took, or -1. */
    public long untilAgreed(IntPredicate selected, long maxTicks) {
        long from = world.now();
        while (world.now() - from <= maxTicks) {
            if (agree(selected)) {
                return world.now() - from;
            }
            world.until(world.now() + 500);
        }
        return -1;
    }

    /**
     * Runs until one, or all, of the live nodes consider a node gone; returns the ticks that took,
     * or -1 after {@code maxTicks}.
     */
    public long untilFailed(Node dead, boolean all, long maxTicks) {
        long from = world.now();
        while (world.now() - from <= maxTicks) {
            int noticed = 0;
            int present = 0;
            for (Node n : nodes) {
                if (n.up && n != dead && !n.paused) {
                    MemberState state = n.machine.stateOf(dead.name);
                    present++;
                    noticed += state == null || !state.isLive() ? 1 : 0;
                }
            }
            if (all ? noticed == present : noticed > 0) {
                return world.now() - from;
            }
            world.until(world.now() + 500);
        }
        return -1;
    }
}

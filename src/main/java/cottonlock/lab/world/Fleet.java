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
 * Processes that know one another, in a world: started, killed, paused, hung and cut off from
 * outside, and judged by what is true of them.
 */
@Deterministic
public final class Fleet {
    /** Datagrams that a paused process's socket holds: some 200 KB as the kernel counts them. */
    private static final int HELD = 256;

    private static final long SECOND = 10_000;

    /**
     * Periods within which a change from outside may still lead to a failure that is none by then.
     */
    private static final int SETTLED = 14;

    /**
     * One in so many nodes is metered: reading the processor's clock takes as long as a datagram.
     */
    private static final int METERED = 8;

    /** One called another failed, which lived and could be reached. */
    public record False(long at, String viewer, String who, String reason) {}

    /** Makes the machine of one process; tests put other ones in its place. */
    public interface Maker {
        Membership make(
                MembershipProtocolConfig rules,
                MembershipActions actions,
                LocalMember self,
                int reservedBytes,
                SplittableRandom random);
    }

    /** One proxy, over its lives. */
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
        private long clock;
        private int start;
        private final Deque<Runnable> held = new ArrayDeque<>();
        private boolean late;
        private long bytes;
        private long second;
        public long worstSecond;
        public long sent;

        Node(int number) {
            this.number = number;
            this.name = "n" + number;
            this.address = "127.0.0.1:" + (10_000 + number);
        }

        private void send(String to, byte[] datagram) {
            // What the world does with a datagram is no cost of the process.
            meter(false);
            carry(to, datagram);
            meter(true);
        }

        /** The processor's clock is read where the process begins, and again where it is done. */
        private void meter(boolean begins) {
            if (clockOfProcessor != null && number % METERED == 0) {
                long time = clockOfProcessor.getAsLong();
                spent += begins ? -time : time;
                readings++;
            }
        }

        private void carry(String to, byte[] datagram) {
            long s = world.now() / SECOND;
            bytes = s == second ? bytes + datagram.length : datagram.length;
            second = s;
            worstSecond = Math.max(worstSecond, bytes);
            sent += datagram.length;
            int other = Integer.parseInt(to.substring(to.indexOf(':') + 1)) - 10_000;
            if (other >= 0 && other < nodes.size()) {
                world.send(number, other, datagram, b -> nodes.get(other).arrives(address, b));
            }
        }

        void arrives(String from, byte[] datagram) {
            if (!up) {
                return;
            }
            if (paused) {
                if (held.size() < HELD) {
                    held.add(() -> arrives(from, datagram));
                }
                return;
            }
            int life = start;
            progress();
            meter(true);
            long time = machine.datagramReceived(world.now(), from, datagram, datagram.length);
            meter(false);
            wakeAt(time, life);
        }

        private void progress() {
            machine.workerProgressedAt(hung ? hungSince : world.now());
        }

        private long planned;

        private void wakeAt(long time, int life) {
            if (time != planned) {
                planned = time;
                world.at(time, () -> wake(time, life));
            }
        }

        private void wake(long time, int life) {
            if (!up || life != start || time != planned) {
                return;
            }
            if (paused) {
                // Once it goes on, what has queued up is read first.
                late = true;
                return;
            }
            planned = -1;
            progress();
            meter(true);
            long next = machine.timerFired(world.now());
            meter(false);
            wakeAt(next, life);
        }

        /** A process starts, with a clock that is off by so much. */
        public void start(long clockOff) {
            up = true;
            changedAt = world.now();
            paused = false;
            hung = false;
            held.clear();
            late = false;
            clock = clockOff;
            int life = ++start;
            machine =
                    maker.make(
                            rules,
                            new MembershipActions() {
                                @Override
                                public void send(String address, byte[] datagram) {
                                    if (life == start) {
                                        Node.this.send(address, datagram);
                                    }
                                }

                                @Override
                                public void memberStateChanged(
                                        String who, MemberState state, String reason) {
                                    Node other = named(who);
                                    if (state == MemberState.FAILED
                                            && other != null
                                            && other != Node.this
                                            && reachable(Node.this, other.number)) {
                                        falseFailures.add(
                                                new False(world.now(), name, who, reason));
                                    }
                                }
                            },
                            new LocalMember(
                                    name,
                                    address,
                                    contacts,
                                    closed,
                                    1_700_000_000_000L + (world.now() + clock) / 10),
                            0,
                            new SplittableRandom(world.chance().nextLong()));
            progress();
            planned = -1;
            meter(true);
            long time = machine.start(world.now());
            meter(false);
            wakeAt(time, life);
        }

        public void kill() {
            up = false;
        }

        /** It ends by its own word, and answers for a second more. */
        public void leave() {
            int life = start;
            wakeAt(machine.leave(world.now()), life);
            world.at(world.now() + SECOND, () -> up &= life != start);
        }

        public void pause(long length) {
            paused = true;
            changedAt = world.now() + length;
            int life = start;
            world.at(
                    world.now() + length,
                    () -> {
                        if (life == start) {
                            paused = false;
                            List<Runnable> queue = new ArrayList<>(held);
                            held.clear();
                            queue.forEach(Runnable::run);
                            if (late) {
                                late = false;
                                planned = -1;
                                wakeAt(world.now(), life);
                            }
                        }
                    });
        }

        public void hang(long length) {
            hung = true;
            changedAt = world.now() + length;
            hungSince = world.now();
            int life = start;
            world.at(world.now() + length, () -> hung &= life != start);
        }

        public MembershipView view() {
            return machine.view(world.now());
        }
    }

    public final World world;
    public final List<Node> nodes = new ArrayList<>();

    /** Who called whom failed while it lived and could be reached. */
    public final List<False> falseFailures = new ArrayList<>();

    private final MembershipProtocolConfig rules;
    private final Maker maker;
    private final List<String> contacts = new ArrayList<>();
    private final Map<String, Node> byName = new HashMap<>();
    private final boolean closed;

    /** The side of each node while the fleet is split, and when that was last changed. */
    private final int[] sides;

    private boolean split;
    private long splitAt;

    /** Whether a failure told within one side of a split counts as a false one, too. */
    private boolean judgesSides;

    private long settled;

    /** Whose view was not right when all were last asked: it is asked first. */
    private int lastWrong;

    private LongSupplier clockOfProcessor;
    private long spent;
    private long readings;

    public Fleet(World world, int size, MembershipProtocolConfig rules, Maker maker) {
        this(world, size, rules, maker, size);
    }

    /**
     * Known: how many addresses each is told, evenly spread; where they are all, it takes no
     * other's.
     */
    public Fleet(World world, int size, MembershipProtocolConfig rules, Maker maker, int known) {
        this.world = world;
        this.rules = rules;
        this.maker = maker;
        sides = new int[size];
        settled = SETTLED * rules.periodTicks();
        closed = known >= size;
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

    /** All start within a time. */
    public void startAll(long within) {
        for (Node node : nodes) {
            world.at(world.now() + world.chance().nextLong(within + 1), () -> node.start(0));
        }
    }

    /** A node; null for a name that no datagram but a spoilt one can bear. */
    private Node named(String name) {
        return byName.get(name);
    }

    /**
     * Meters one in eight nodes from now on.
     *
     * @param clock the processor time of this thread, in nanoseconds
     */
    public void meter(LongSupplier clock) {
        clockOfProcessor = clock;
        spent = 0;
        readings = 0;
    }

    /**
     * Nanoseconds that the metered nodes have spent since the meter was set, and how many these
     * are.
     */
    public long spent() {
        return spent;
    }

    /** How often the processor's clock was read for it. */
    public long readings() {
        return readings;
    }

    public int metered() {
        return (nodes.size() + METERED - 1) / METERED;
    }

    /** Splits it: node i is on side {@code i % groups}; one group is none. */
    public void split(int groups) {
        sides(i -> i % groups);
    }

    /** Splits it into sides, each whole in itself; all on one side is none. */
    public void sides(IntUnaryOperator side) {
        split = false;
        for (int i = 0; i < sides.length; i++) {
            sides[i] = side.applyAsInt(i);
            split |= sides[i] != sides[0];
        }
        splitAt = world.now();
        world.cut((from, to) -> sides[from] != sides[to]);
    }

    /**
     * Judges failures told within each side of a split, too, once the longest doubt there has
     * ended.
     */
    public void judgeSides() {
        judgesSides = true;
        double longest =
                rules.suspicionMultiplier()
                        * rules.maxSuspicionMultiplier()
                        * Math.max(1, Math.log10(nodes.size()));
        settled = Math.max(SETTLED, Math.round(longest) + 2) * rules.periodTicks();
    }

    /**
     * Whether a node has lived, served and been in reach of all for a while: who calls it failed
     * errs.
     */
    public boolean reachable(int number) {
        return !split && settled(nodes.get(number));
    }

    private boolean reachable(Node viewer, int number) {
        return (split && judgesSides)
                ? sides[viewer.number] == sides[number]
                        && settled(nodes.get(number))
                        && settled(viewer)
                : reachable(number);
    }

    private boolean settled(Node n) {
        return n.up
                && !n.paused
                && !n.hung
                && world.now() - Math.max(n.changedAt, splitAt) > settled;
    }

    /**
     * How many were called failed wrongly, from an entry on; by several within half a minute is
     * once.
     */
    public int wronged(int from) {
        Set<String> wronged = new TreeSet<>();
        for (False f : falseFailures.subList(from, falseFailures.size())) {
            wronged.add(f.who + " " + f.at / (30 * SECOND));
        }
        return wronged.size();
    }

    /** Whether this node's view has every live process that it can reach, and none that is gone. */
    public boolean right(Node node) {
        int there = 0;
        for (Node other : nodes) {
            there += other != node && isThere(node, other) ? 1 : 0;
        }
        if (node.machine.liveOthers() != there) {
            return false;
        }
        for (Node other : nodes) {
            MemberState state = other == node ? null : node.machine.stateOf(other.name);
            if (other != node && (state != null && state.isLive()) != isThere(node, other)) {
                return false;
            }
        }
        return true;
    }

    private boolean isThere(Node node, Node other) {
        return other.up
                && !other.hung
                && !other.paused
                && sides[other.number] == sides[node.number];
    }

    /** Whether all views are right, and so alike. */
    public boolean agree() {
        return agree(i -> true);
    }

    /** Whether the views of these nodes are right. */
    public boolean agree(IntPredicate whose) {
        // Per side: how many are there, and the digest of a view that was found right. Another view
        // with the
        // same digest has the same members, and need not be compared one by one.
        Map<Integer, Integer> there = new HashMap<>();
        Map<Integer, Long> right = new HashMap<>();
        for (Node n : nodes) {
            there.merge(sides[n.number], n.up && !n.hung && !n.paused ? 1 : 0, Integer::sum);
        }
        for (int i = 0; i < nodes.size(); i++) {
            Node n = nodes.get((lastWrong + i) % nodes.size());
            if (!n.up || n.paused || !whose.test(n.number)) {
                continue;
            }
            int side = sides[n.number];
            boolean wrong = n.machine.liveOthers() != there.get(side) - (n.hung ? 0 : 1);
            if (!wrong && (right.get(side) == null || right.get(side) != n.machine.digest())) {
                wrong = !right(n);
                right.put(side, n.machine.digest());
            }
            if (wrong) {
                lastWrong = n.number;
                return false;
            }
        }
        return true;
    }

    /** Goes on until all views are right; returns the time it took, or -1 after {@code most}. */
    public long untilAgreed(long most) {
        return untilAgreed(i -> true, most);
    }

    /** The same for the views of some. */
    public long untilAgreed(IntPredicate whose, long most) {
        long from = world.now();
        while (world.now() - from <= most) {
            if (agree(whose)) {
                return world.now() - from;
            }
            world.until(world.now() + 500);
        }
        return -1;
    }

    /** Goes on until one, or all, of the living hold a node for gone; -1 after {@code most}. */
    public long untilFailed(Node dead, boolean all, long most) {
        long from = world.now();
        while (world.now() - from <= most) {
            int know = 0;
            int there = 0;
            for (Node n : nodes) {
                if (n.up && n != dead && !n.paused) {
                    MemberState state = n.machine.stateOf(dead.name);
                    there++;
                    know += state == null || !state.isLive() ? 1 : 0;
                }
            }
            if (all ? know == there : know > 0) {
                return world.now() - from;
            }
            world.until(world.now() + 500);
        }
        return -1;
    }
}

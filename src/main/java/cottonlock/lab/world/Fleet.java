package cottonlock.lab.world;

import cottonlock.decision.Decides;
import cottonlock.membership.Membership;
import cottonlock.membership.State;
import cottonlock.membership.View;
import cottonlock.setup.MembershipRules;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Processes that know one another, in a world: started, killed, paused, hung and cut off from outside, and
 * judged by what is true of them.
 */
@Decides
public final class Fleet {
    /** Datagrams that a paused process's socket holds: some 200 KB as the kernel counts them. */
    private static final int HELD = 256;
    private static final long SECOND = 10_000;

    /** Makes the machine of one process; tests put other ones in its place. */
    public interface Maker {
        Membership make(MembershipRules rules, Membership.Outlet outlet, String name, String address,
                        List<String> contacts, boolean closed, long life, int tag, SplittableRandom random);
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
        private long hungSince;
        private long clock;
        private int start;
        private final Deque<Runnable> held = new ArrayDeque<>();
        private long bytes;
        private long second;
        public long worstSecond;
        public long sent;
        /** When each other was last called failed here while it lived and could be reached. */
        public int falseFailed;

        Node(int number) {
            this.number = number;
            this.name = "n" + number;
            this.address = "127.0.0.1:" + (10_000 + number);
        }

        private void send(String to, byte[] datagram) {
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
            wakeAt(machine.heard(world.now(), from, datagram, datagram.length), life);
        }

        private void progress() {
            machine.module(hung ? hungSince : world.now());
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
                held.addLast(() -> wake(time, life));
                return;
            }
            planned = -1;
            progress();
            wakeAt(machine.wake(world.now()), life);
        }

        /** A process starts, with a clock that is off by so much. */
        public void start(long clockOff) {
            up = true;
            paused = false;
            hung = false;
            held.clear();
            clock = clockOff;
            int life = ++start;
            machine = maker.make(rules, new Membership.Outlet() {
                @Override
                public void send(String address, byte[] datagram) {
                    if (life == start) {
                        Node.this.send(address, datagram);
                    }
                }

                @Override
                public void changed(String who, State state, String reason) {
                    if (state == State.FAILED && !who.equals(name) && reachable(number(who))) {
                        falseFailed++;
                        falseLines.add(world.now() / 10 + " ms: " + name + " calls " + who + " failed: "
                            + reason);
                    }
                }
            }, name, address, contacts, true, 1_700_000_000_000L + (world.now() + clock) / 10, 0,
                new SplittableRandom(world.chance().nextLong()));
            progress();
            planned = -1;
            wakeAt(machine.start(world.now()), life);
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
            int life = start;
            world.at(world.now() + length, () -> {
                if (life == start) {
                    paused = false;
                    List<Runnable> late = new ArrayList<>(held);
                    held.clear();
                    late.forEach(Runnable::run);
                }
            });
        }

        public void hang(long length) {
            hung = true;
            hungSince = world.now();
            int life = start;
            world.at(world.now() + length, () -> hung &= life != start);
        }

        public View view() {
            return machine.view(world.now());
        }
    }

    public final World world;
    public final List<Node> nodes = new ArrayList<>();
    public final List<String> falseLines = new ArrayList<>();
    private final MembershipRules rules;
    private final Maker maker;
    private final List<String> contacts = new ArrayList<>();
    /** The side of each node while the fleet is split, and when that was last changed. */
    private final int[] sides;
    private long splitAt;

    public Fleet(World world, int size, MembershipRules rules, Maker maker) {
        this.world = world;
        this.rules = rules;
        this.maker = maker;
        sides = new int[size];
        for (int i = 0; i < size; i++) {
            nodes.add(new Node(i));
            contacts.add(nodes.get(i).address);
        }
    }

    public Fleet(World world, int size, MembershipRules rules) {
        this(world, size, rules, Membership::new);
    }

    /** All start within a time. */
    public void startAll(long within) {
        for (Node node : nodes) {
            world.at(world.now() + world.chance().nextLong(within + 1), () -> node.start(0));
        }
    }

    private int number(String name) {
        return Integer.parseInt(name.substring(1));
    }

    /** Splits it: node i is on side {@code i % groups}; one group is none. */
    public void split(int groups) {
        for (int i = 0; i < sides.length; i++) {
            sides[i] = i % groups;
        }
        splitAt = world.now();
        world.cut((from, to) -> sides[from] != sides[to]);
    }

    /** Whether a node lives, serves, and others on most sides reach it: who calls it failed errs. */
    public boolean reachable(int number) {
        Node n = nodes.get(number);
        for (int side : sides) {
            if (side != sides[0]) {
                return false;
            }
        }
        return n.up && !n.paused && !n.hung && n.machine != null;
    }

    /** Whether this node's view has every live process as alive, and none that is gone. */
    public boolean right(Node node) {
        View view = node.view();
        int alive = 0;
        for (View.Line line : view.lines()) {
            Node other = nodes.get(number(line.name()));
            boolean there = other.up && !other.hung && sides[other.number] == sides[node.number];
            if (line.state().lives() != there) {
                return false;
            }
            alive += there ? 1 : 0;
        }
        return alive == nodes.stream()
            .filter(n -> n.up && !n.hung && sides[n.number] == sides[node.number]).count();
    }

    /** Whether all views are right, and so alike. */
    public boolean agree() {
        return nodes.stream().filter(n -> n.up && !n.paused).allMatch(this::right);
    }

    /** Goes on until all views are right; returns the time it took, or -1 after {@code most}. */
    public long untilAgreed(long most) {
        long from = world.now();
        while (world.now() - from <= most) {
            if (agree()) {
                return world.now() - from;
            }
            world.until(world.now() + 500);
        }
        return -1;
    }

    /** Goes on until one, or all, of the living hold a node for failed; -1 after {@code most}. */
    public long untilFailed(Node dead, boolean all, long most) {
        long from = world.now();
        while (world.now() - from <= most) {
            long know = nodes.stream().filter(n -> n.up && n != dead && !n.paused).filter(n -> n.view()
                .lines().stream().noneMatch(l -> l.name().equals(dead.name) && l.state().lives())).count();
            long there = nodes.stream().filter(n -> n.up && n != dead && !n.paused).count();
            if (all ? know == there : know > 0) {
                return world.now() - from;
            }
            world.until(world.now() + 500);
        }
        return -1;
    }
}

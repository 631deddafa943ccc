package cottonlock.lab.world;

import cottonlock.core.Deterministic;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.zip.CRC32;

/**
 * Virtual time, and a simulated network between numbered nodes that loses, delays, duplicates and
 * corrupts datagrams and can be partitioned. Times are in ticks of 0.1 ms. Tasks that are due at
 * the same time run in the order in which they were scheduled.
 */
@Deterministic
public final class World {
    /** Decides whether all datagrams from one node to another are dropped. */
    public interface Cut {
        boolean cuts(int from, int to);
    }

    /** How long datagrams between two nodes take, in ticks. */
    public interface Delay {
        /** The shortest delay. */
        long minTicks(int from, int to);

        /** The largest extra delay; it is drawn uniformly. */
        long spreadTicks(int from, int to);
    }

    private record Task(long at, long order, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final SplittableRandom chance;
    private long now;
    private long nextOrder;
    private double lossProbability;
    private double duplicationProbability;
    private double corruptionProbability;
    private Delay delay = uniform(2, 8);
    private Cut cut = (from, to) -> false;
    private final CRC32 checksum = new CRC32();
    private long fingerprint;

    public World(long seed) {
        chance = new SplittableRandom(seed);
    }

    public long now() {
        return now;
    }

    /** The random numbers of everything in this world. */
    public SplittableRandom chance() {
        return chance;
    }

    /** Sets the probabilities that a datagram is lost, is duplicated, or has a byte changed. */
    public void trouble(double lost, double doubled, double changed) {
        lossProbability = lost;
        duplicationProbability = doubled;
        corruptionProbability = changed;
    }

    /**
     * Sets the delay of all datagrams: a minimum, and an extra delay that is drawn uniformly up to
     * a maximum, so that some datagrams overtake others.
     */
    public void delay(long minTicks, long spreadTicks) {
        delay = uniform(minTicks, spreadTicks);
    }

    /** Sets the delay for each pair of nodes. */
    public void delay(Delay newDelay) {
        delay = newDelay;
    }

    private static Delay uniform(long minTicks, long spreadTicks) {
        return new Delay() {
            @Override
            public long minTicks(int from, int to) {
                return minTicks;
            }

            @Override
            public long spreadTicks(int from, int to) {
                return spreadTicks;
            }
        };
    }

    /**
     * A hash of all datagrams so far with their times, senders and receivers: equal simulations
     * have equal fingerprints.
     */
    public long fingerprint() {
        return fingerprint;
    }

    public void cut(Cut newCut) {
        cut = newCut;
    }

    /** Schedules a task for a time, at the earliest now. */
    public void at(long time, Runnable task) {
        tasks.add(new Task(Math.max(now, time), nextOrder++, task));
    }

    /** Sends a datagram; {@code arrives} receives it once, twice or never. */
    public void send(
            int from, int to, byte[] datagram, java.util.function.Consumer<byte[]> arrives) {
        checksum.reset();
        checksum.update(datagram, 0, datagram.length);
        fingerprint =
                (fingerprint * 31 + now) * 31
                        + ((long) from << 44 ^ (long) to << 32 ^ checksum.getValue());
        if (cut.cuts(from, to)) {
            return;
        }
        int copies =
                duplicationProbability > 0 && chance.nextDouble() < duplicationProbability ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (lossProbability > 0 && chance.nextDouble() < lossProbability) {
                continue;
            }
            byte[] bytes = datagram;
            if (corruptionProbability > 0 && chance.nextDouble() < corruptionProbability) {
                bytes = datagram.clone();
                bytes[chance.nextInt(bytes.length)] ^= (byte) (1 + chance.nextInt(255));
            }
            byte[] carried = bytes;
            long spread = delay.spreadTicks(from, to);
            at(
                    now + delay.minTicks(from, to) + (spread > 0 ? chance.nextLong(spread + 1) : 0),
                    () -> {
                        if (!cut.cuts(from, to)) {
                            arrives.accept(carried);
                        }
                    });
        }
    }

    /** Runs all tasks that are due by a time, which then is the current time. */
    public void until(long time) {
        while (!tasks.isEmpty() && tasks.peek().at <= time) {
            Task task = tasks.poll();
            now = task.at;
            task.action.run();
        }
        now = time;
    }
}

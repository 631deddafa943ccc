package cottonlock.lab.world;

import cottonlock.core.Deterministic;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.zip.CRC32;

/**
 * Virtual time, and the way of datagrams between numbered places: what is lost, late, doubled or
 * spoilt, and what is cut. Times are tenths of a millisecond. Tasks of one moment run in the order
 * of their setting.
 */
@Deterministic
public final class World {
    /** Whether nothing gets through from one place to another. */
    public interface Cut {
        boolean cuts(int from, int to);
    }

    /** How long datagrams between two places take, in tenths of a millisecond. */
    public interface Delay {
        /** The shortest. */
        long minTicks(int from, int to);

        /** Evenly drawn up to so much more. */
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

    /** Chance for whoever lives in this world. */
    public SplittableRandom chance() {
        return chance;
    }

    /** The parts of datagrams that are lost, that come twice, and of which a byte is changed. */
    public void trouble(double lost, double doubled, double changed) {
        lossProbability = lost;
        duplicationProbability = doubled;
        corruptionProbability = changed;
    }

    /**
     * How long a datagram takes: this at least, and evenly drawn up to so much more, so some
     * overtake.
     */
    public void delay(long minTicks, long spreadTicks) {
        delay = uniform(minTicks, spreadTicks);
    }

    /** The same, by pair of places. */
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
     * Of all datagrams so far, with their times and ways, byte by byte: two worlds alike have the
     * same.
     */
    public long fingerprint() {
        return fingerprint;
    }

    public void cut(Cut newCut) {
        cut = newCut;
    }

    /** Runs a task at a time, now at the earliest. */
    public void at(long time, Runnable task) {
        tasks.add(new Task(Math.max(now, time), nextOrder++, task));
    }

    /** Sends a datagram; {@code arrives} is given it when it comes, once, twice or never. */
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

    /** Goes on until a time; what is set for later stays. */
    public void until(long time) {
        while (!tasks.isEmpty() && tasks.peek().at <= time) {
            Task task = tasks.poll();
            now = task.at;
            task.action.run();
        }
        now = time;
    }
}

package cottonlock.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The network between the proxies and one backend: what it does to what goes over it just now.
 * Faults set and reset its fields; each may come several times over, the last one set counts.
 */
final class NetworkPath {
    /**
     * Nanoseconds between two pieces of a split write: more than a proxy needs to read the first.
     */
    static final long BETWEEN = 300_000;

    /** Nanoseconds that everything takes longer, each way. */
    long delay;

    /** Bytes a second each way on each connection; 0 for no limit. */
    long bytesPerSecond;

    /** Nothing passes, nothing is told: no FIN, no RST, and no new connection comes up. */
    boolean cut;

    /** The chance that an answer is cut off at a random byte by a reset. */
    double resets;

    /** The chance that an answer is written in pieces, at random bytes. */
    double splits;

    /** The chance that one byte of an answer's head is changed. */
    double garbles;

    private final SplittableRandom random;

    NetworkPath(SplittableRandom random) {
        this.random = random;
    }

    /** What becomes of one answer on its way to the proxy. */
    record Passage(List<byte[]> pieces, boolean thenReset) {}

    Passage answer(byte[] whole) {
        byte[] bytes = whole;
        if (garbles > 0 && random.nextDouble() < garbles) {
            bytes = whole.clone();
            // The status line and the names of fields: a changed body would pass for a right one
            // anywhere.
            int at = random.nextInt(Math.min(bytes.length, 24));
            bytes[at] = (byte) (bytes[at] ^ 1 << random.nextInt(7));
        }
        if (resets > 0 && random.nextDouble() < resets) {
            byte[] part = java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length));
            return new Passage(List.of(part), true);
        }
        if (splits > 0 && random.nextDouble() < splits && bytes.length > 3) {
            List<byte[]> pieces = new ArrayList<>();
            int from = 0;
            while (from < bytes.length && pieces.size() < 4) {
                int to = from + 1 + random.nextInt(bytes.length - from);
                pieces.add(java.util.Arrays.copyOfRange(bytes, from, to));
                from = to;
            }
            if (from < bytes.length) {
                pieces.add(java.util.Arrays.copyOfRange(bytes, from, bytes.length));
            }
            return new Passage(pieces, false);
        }
        return new Passage(List.of(bytes), false);
    }

    /** Nanoseconds that so many bytes take. */
    long takes(int bytes) {
        return bytesPerSecond <= 0 ? 0 : bytes * 1_000_000_000L / bytesPerSecond;
    }

    /** Whether bytes pass at once, so that nothing needs to be queued. */
    boolean plain() {
        return delay == 0 && bytesPerSecond == 0 && !cut;
    }
}

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
    static final long SPLIT_PAUSE_NANOS = 300_000;

    /** Nanoseconds that everything takes longer, each way. */
    long delayNanos;

    /** Bytes a second each way on each connection; 0 for no limit. */
    long bytesPerSecond;

    /** Nothing passes, nothing is told: no FIN, no RST, and no new connection comes up. */
    boolean cut;

    /** The chance that an answer is cut off at a random byte by a reset. */
    double resetProbability;

    /** The chance that an answer is written in pieces, at random bytes. */
    double splitProbability;

    /** The chance that one byte of an answer's head is changed. */
    double corruptionProbability;

    private final SplittableRandom random;

    NetworkPath(SplittableRandom random) {
        this.random = random;
    }

    /** What becomes of one answer on its way to the proxy. */
    record Transmission(List<byte[]> pieces, boolean thenReset) {}

    Transmission transmit(byte[] response) {
        byte[] bytes = response;
        if (corruptionProbability > 0 && random.nextDouble() < corruptionProbability) {
            bytes = response.clone();
            // The status line and the names of fields: a changed body would pass for a right one
            // anywhere.
            int position = random.nextInt(Math.min(bytes.length, 24));
            bytes[position] = (byte) (bytes[position] ^ 1 << random.nextInt(7));
        }
        if (resetProbability > 0 && random.nextDouble() < resetProbability) {
            byte[] part = java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length));
            return new Transmission(List.of(part), true);
        }
        if (splitProbability > 0 && random.nextDouble() < splitProbability && bytes.length > 3) {
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
            return new Transmission(pieces, false);
        }
        return new Transmission(List.of(bytes), false);
    }

    /** Nanoseconds that so many bytes take. */
    long transferNanos(int bytes) {
        return bytesPerSecond <= 0 ? 0 : bytes * 1_000_000_000L / bytesPerSecond;
    }

    /** Whether bytes pass at once, so that nothing needs to be queued. */
    boolean isUnrestricted() {
        return delayNanos == 0 && bytesPerSecond == 0 && !cut;
    }
}

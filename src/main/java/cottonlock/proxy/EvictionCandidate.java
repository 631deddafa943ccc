package cottonlock.proxy;

import java.util.Comparator;

/**
 * A connection that may be evicted, with what decides in which order, as it was at one moment: all
 * of it may change while candidates are sorted.
 *
 * @param isAwaitingSpace whether it waits for space for a body
 * @param isBusy whether it reads a request
 * @param hasSubmittedRequest whether it has ever submitted a request
 * @param lastActivityNanos when it was last active, by the monotonic clock
 */
record EvictionCandidate(
        ClientConnection client,
        boolean isAwaitingSpace,
        boolean isBusy,
        boolean hasSubmittedRequest,
        long lastActivityNanos)
        implements Comparable<EvictionCandidate> {
    private static final Comparator<EvictionCandidate> ORDER =
            Comparator.comparing(EvictionCandidate::isAwaitingSpace)
                    .thenComparing(EvictionCandidate::isBusy)
                    .thenComparing(EvictionCandidate::hasSubmittedRequest)
                    .thenComparingLong(EvictionCandidate::lastActivityNanos);

    static EvictionCandidate of(ClientConnection client) {
        return new EvictionCandidate(
                client,
                client.isAwaitingSpace(),
                client.isBusy(),
                client.hasSubmittedRequest(),
                client.lastActivityNanos());
    }

    /** Orders those to be evicted first before the others. */
    @Override
    public int compareTo(EvictionCandidate other) {
        return ORDER.compare(this, other);
    }
}

package cottonlock.membership;

import cottonlock.core.Deterministic;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Updates to be piggybacked on datagrams: the least transmitted first, each a bounded number of
 * times. Confined to the thread of its {@link Membership}.
 */
@Deterministic
final class UpdateBroadcastQueue {
    /** An update in the queue, until a newer one about the same member replaces it. */
    private static final class Broadcast {
        final MemberUpdate update;
        int transmits;
        boolean superseded;

        Broadcast(MemberUpdate update) {
            this.update = update;
        }
    }

    /** The newest update about each member, by name. */
    private final Map<String, Broadcast> newestByName = new HashMap<>();

    /** The queued updates by their number of transmissions; superseded ones are removed lazily. */
    private final List<Deque<Broadcast>> byTransmits = new ArrayList<>();

    private final int capacity;

    /** Number of queued updates, including superseded ones. */
    private int queuedCount;

    /**
     * Creates an empty queue.
     *
     * @param capacity maximum number of members; if more than twice as many updates are queued, the
     *     most transmitted ones are discarded
     */
    UpdateBroadcastQueue(int capacity) {
        this.capacity = capacity;
    }

    /** Queues an update, which replaces an earlier one about the same member. */
    void add(MemberUpdate update) {
        Broadcast broadcast = new Broadcast(update);
        Broadcast previous = newestByName.put(update.name(), broadcast);
        if (previous != null) {
            previous.superseded = true;
        }
        queueFor(0).addFirst(broadcast);
        queuedCount++;
        discardExcess();
    }

    private void discardExcess() {
        int transmits = byTransmits.size() - 1;
        while (transmits >= 0 && queuedCount > 2 * capacity) {
            Broadcast last = byTransmits.get(transmits).pollLast();
            if (last == null) {
                transmits--;
            } else {
                onDiscarded(last);
            }
        }
    }

    private void onDiscarded(Broadcast broadcast) {
        queuedCount--;
        if (!broadcast.superseded) {
            newestByName.remove(broadcast.update.name());
        }
    }

    private Deque<Broadcast> queueFor(int transmits) {
        while (byTransmits.size() <= transmits) {
            byTransmits.add(new ArrayDeque<>());
        }
        return byTransmits.get(transmits);
    }

    /**
     * Fills a datagram with updates.
     *
     * @param transmitLimit maximum number of transmissions of each update
     * @param excludedName name of the receiver, whose update is not added: any accusation against
     *     it is already in the datagram; empty if the receiver is not known
     */
    void fill(DatagramWriter out, int transmitLimit, String excludedName) {
        boolean hasSpace = true;
        List<Broadcast> sent = new ArrayList<>();
        for (int transmits = 0; transmits < byTransmits.size() && hasSpace; transmits++) {
            Iterator<Broadcast> iterator = byTransmits.get(transmits).iterator();
            while (iterator.hasNext() && hasSpace) {
                Broadcast broadcast = iterator.next();
                if (broadcast.superseded || transmits >= transmitLimit) {
                    iterator.remove();
                    onDiscarded(broadcast);
                } else if (!broadcast.update.name().equals(excludedName)) {
                    hasSpace = out.addUpdate(broadcast.update);
                    if (hasSpace) {
                        iterator.remove();
                        broadcast.transmits = transmits + 1;
                        sent.add(broadcast);
                    }
                }
            }
        }
        sent.forEach(broadcast -> queueFor(broadcast.transmits).addLast(broadcast));
    }

    /** Number of members about which an update is queued. */
    int size() {
        return newestByName.size();
    }
}

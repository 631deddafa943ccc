package cottonlock.lab.scale;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A change of the endpoint list or of the configuration, and how long it took to be in force at
 * each proxy.
 */
final class Change {
    final long version;

    /**
     * When the change was sent ({@link System#nanoTime}, which all processes of a machine share).
     */
    final long sentAt;

    /**
     * Earliest time at which the change could reach the proxies that were cut off; 0 if none was.
     */
    long reachableAt;

    /** Delay until the change was in force, one value for each proxy that holds it. */
    final List<Long> delaysNanos = new ArrayList<>();

    /** Number of proxies that do not hold the change. */
    int missing;

    /** Number of cut-off proxies that held the change before it could reach them. */
    int earlyCount;

    Change(long version, long sentAt) {
        this.version = version;
        this.sentAt = sentAt;
    }

    void recordInForce(long heldAt, boolean wasCutOff) {
        if (heldAt < 0) {
            missing++;
        } else {
            earlyCount += wasCutOff && heldAt < reachableAt ? 1 : 0;
            delaysNanos.add(Math.max(0, heldAt - (wasCutOff ? reachableAt : sentAt)));
        }
    }

    /**
     * Returns the milliseconds until the change was in force at a fraction of the proxies; -1 if it
     * never was at that many.
     */
    double inForceMillis(double fraction) {
        int all = delaysNanos.size() + missing;
        int index = (int) Math.ceil(fraction * all) - 1;
        if (all == 0 || index >= delaysNanos.size()) {
            return -1;
        }
        List<Long> sorted = new ArrayList<>(delaysNanos);
        Collections.sort(sorted);
        return sorted.get(Math.max(0, index)) / 1e6;
    }
}

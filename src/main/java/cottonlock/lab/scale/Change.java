package cottonlock.lab.scale;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** One change of the list, and when it was in force at each proxy. */
final class Change {
    final long version;

    /** Nanoseconds, by the clock that all processes share, when control was told. */
    final long sentAt;

    /**
     * For some, it could not come before then: those that were cut off, or not there; 0: nobody.
     */
    long reachableAt;

    /** Nanoseconds that it took, one for each proxy that has it, and how many have not. */
    final List<Long> delaysNanos = new ArrayList<>();

    int missing;

    /** How many had it before it could come to them. */
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

    /** Milliseconds until in force at a part of all; -1 where it never was at so many. */
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

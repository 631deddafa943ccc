package cottonlock.lab.scale;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** One change of the list, and when it was in force at each proxy. */
final class Change {
    final long version;

    /** Nanoseconds, by the clock that all processes share, when control was told. */
    final long at;

    /**
     * For some, it could not come before then: those that were cut off, or not there; 0: nobody.
     */
    long reachableAt;

    /** Nanoseconds that it took, one for each proxy that has it, and how many have not. */
    final List<Long> took = new ArrayList<>();

    int missing;

    /** How many had it before it could come to them. */
    int early;

    Change(long version, long at) {
        this.version = version;
        this.at = at;
    }

    void inForce(long heldAt, boolean late) {
        if (heldAt < 0) {
            missing++;
        } else {
            early += late && heldAt < reachableAt ? 1 : 0;
            took.add(Math.max(0, heldAt - (late ? reachableAt : at)));
        }
    }

    /** Milliseconds until in force at a part of all; -1 where it never was at so many. */
    double ms(double part) {
        int all = took.size() + missing;
        int place = (int) Math.ceil(part * all) - 1;
        if (all == 0 || place >= took.size()) {
            return -1;
        }
        List<Long> sorted = new ArrayList<>(took);
        Collections.sort(sorted);
        return sorted.get(Math.max(0, place)) / 1e6;
    }
}

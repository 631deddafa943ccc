package cottonlock.lab.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One part of the timeline as it was played. */
final class ScaleEvent {
    final String name;

    /** Seconds of the shared clock. */
    final long from;

    long to;
    final List<Change> changes = new ArrayList<>();

    /** What else is told of it. */
    final Map<String, Double> figures = new LinkedHashMap<>();

    ScaleEvent(String name, long from) {
        this.name = name;
        this.from = from;
        this.to = from;
    }

    /** Whether it was played to its end; of one that was not, nothing is told. */
    boolean whole() {
        return to > from;
    }

    /**
     * The worst of its changes, milliseconds; -1 where one was not in force at so many, or none was
     * made.
     */
    double worstMs(double part) {
        double worst = -1;
        for (Change change : changes) {
            double ms = change.ms(part);
            if (ms < 0) {
                return -1;
            }
            worst = Math.max(worst, ms);
        }
        return worst;
    }

    int missing() {
        return changes.stream().mapToInt(c -> c.missing).sum();
    }
}

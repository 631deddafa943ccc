package cottonlock.lab.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One part of the timeline as it was played. */
final class ScaleEvent {
    final String name;

    /** Seconds of the shared clock. */
    final long fromSecond;

    long toSecond;
    final List<Change> changes = new ArrayList<>();

    /** What else is told of it. */
    final Map<String, Double> figures = new LinkedHashMap<>();

    ScaleEvent(String name, long fromSecond) {
        this.name = name;
        this.fromSecond = fromSecond;
        this.toSecond = fromSecond;
    }

    /** Whether it was played to its end; of one that was not, nothing is told. */
    boolean completed() {
        return toSecond > fromSecond;
    }

    /**
     * The worst of its changes, milliseconds; -1 where one was not in force at so many, or none was
     * made.
     */
    double worstInForceMillis(double fraction) {
        double worst = -1;
        for (Change change : changes) {
            double millis = change.inForceMillis(fraction);
            if (millis < 0) {
                return -1;
            }
            worst = Math.max(worst, millis);
        }
        return worst;
    }

    int missingCount() {
        return changes.stream().mapToInt(c -> c.missing).sum();
    }
}

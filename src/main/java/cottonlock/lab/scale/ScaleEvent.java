package cottonlock.lab.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One event of the timeline and what was measured of it. */
final class ScaleEvent {
    final String name;

    /** First second, in seconds of {@link System#nanoTime}, which all processes share. */
    final long fromSecond;

    /** Second after the last one; the same as fromSecond until the event has ended. */
    long toSecond;

    final List<Change> changes = new ArrayList<>();

    /** Further figures for the report, by field name. */
    final Map<String, Double> figures = new LinkedHashMap<>();

    ScaleEvent(String name, long fromSecond) {
        this.name = name;
        this.fromSecond = fromSecond;
        this.toSecond = fromSecond;
    }

    /** Returns whether the event ran to its end; one that did not is left out of the report. */
    boolean completed() {
        return toSecond > fromSecond;
    }

    /**
     * Returns the longest time in milliseconds until one of its changes was in force at a fraction
     * of the proxies; -1 if one never was at that many, or if there was no change.
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

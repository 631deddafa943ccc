package cottonlock.lab.scale;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Resource usage and traffic of each role by second. Thread-safe; seconds are numbered by the clock
 * that all processes of a machine share.
 */
final class Samples {
    /** The sampled quantities: sums over a role, except {@link #WORST_OUT}, which is a maximum. */
    enum What {
        BYTES_IN,
        BYTES_OUT,
        MESSAGES_IN,
        MESSAGES_OUT,
        WORST_OUT,
        CPU,
        RESIDENT_MB,
        CALLS,
        WHOLE_LISTS
    }

    private final Map<String, TreeMap<Long, Map<What, Double>>> roles = new TreeMap<>();

    synchronized void add(String role, long second, What what, double value) {
        Map<What, Double> row = row(role, second);
        double previous = row.getOrDefault(what, 0.0);
        row.put(what, what == What.WORST_OUT ? Math.max(previous, value) : previous + value);
    }

    private Map<What, Double> row(String role, long second) {
        return roles.computeIfAbsent(role, r -> new TreeMap<>())
                .computeIfAbsent(second, s -> new EnumMap<>(What.class));
    }

    /** The value in a second; 0 if there is no sample. */
    synchronized double at(String role, long second, What what) {
        TreeMap<Long, Map<What, Double>> seconds = roles.get(role);
        Map<What, Double> row = seconds == null ? null : seconds.get(second);
        return row == null ? 0 : row.getOrDefault(what, 0.0);
    }

    /** The mean per second from {@code from}, inclusive, to {@code to}, exclusive. */
    double mean(String role, long from, long to, What what) {
        return sum(role, from, to, what) / Math.max(1, to - from);
    }

    double sum(String role, long from, long to, What what) {
        double sum = 0;
        for (long s = from; s < to; s++) {
            sum += at(role, s, what);
        }
        return sum;
    }

    double worst(String role, long from, long to, What what) {
        double worst = 0;
        for (long s = from; s < to; s++) {
            worst = Math.max(worst, at(role, s, what));
        }
        return worst;
    }
}

package cottonlock.lab;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** The measurements of a run by second: responses by kind, latency, tenants and backends. */
final class Series {
    /** Longer than any expiry that a scenario may have. */
    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;

    /** What is counted each second, mostly kinds of responses, in the order of the report. */
    enum Count {
        DUE,
        FINISHED,
        LATE,
        DEFERRED,
        WRITTEN_OFF,
        NO_ANSWER
    }

    /** A count for each second; grows with the run. */
    static final class Line {
        private long[] counts = new long[16];
        private int length;

        void add(int second, long amount) {
            if (second >= counts.length) {
                counts = java.util.Arrays.copyOf(counts, Math.max(second + 1, 2 * counts.length));
            }
            counts[second] += amount;
            length = Math.max(length, second + 1);
        }

        long at(int second) {
            return second < length ? counts[second] : 0;
        }
    }

    /** The attempts at one backend: received, completed and rejected. */
    static final class BackendCounts {
        final Line received = new Line();
        final Line done = new Line();
        final Line refused = new Line();
    }

    private final Map<Count, Line> counts = new EnumMap<>(Count.class);
    private final Line earned = new Line();
    private final Line offered = new Line();
    private final Line[] tenantEarned;
    private final Line[] tenantOffered;
    private final Map<String, BackendCounts> backends = new LinkedHashMap<>();

    /** Latency of completed requests in microseconds, from when they were due to be sent. */
    final Histogram latency = new Histogram(MAX_LATENCY_MICROS, 3);

    private final List<Histogram> perSecond = new ArrayList<>();
    private final Histogram[] perCategory;

    Series(int tenants, int categories) {
        for (Count kind : Count.values()) {
            counts.put(kind, new Line());
        }
        tenantEarned = new Line[tenants];
        tenantOffered = new Line[tenants];
        for (int t = 0; t < tenants; t++) {
            tenantEarned[t] = new Line();
            tenantOffered[t] = new Line();
        }
        perCategory = new Histogram[categories];
        for (int c = 0; c < categories; c++) {
            perCategory[c] = new Histogram(MAX_LATENCY_MICROS, 2);
        }
    }

    static int second(long now) {
        return (int) (Math.max(0, now) / 1_000_000_000L);
    }

    void count(Count kind, long now) {
        counts.get(kind).add(second(now), 1);
    }

    /**
     * Adds a request's credit to the second in which it was due to be sent. Credit is kept in
     * thousandths.
     */
    void credit(int tenant, long due, double offeredCredit, double earnedCredit) {
        int s = second(due);
        offered.add(s, Math.round(1_000 * offeredCredit));
        earned.add(s, Math.round(1_000 * earnedCredit));
        tenantOffered[tenant].add(s, Math.round(1_000 * offeredCredit));
        tenantEarned[tenant].add(s, Math.round(1_000 * earnedCredit));
    }

    void finished(int category, long due, long now) {
        long micros = Math.min(MAX_LATENCY_MICROS, Math.max(0, now - due) / 1_000);
        latency.recordValue(micros);
        perCategory[category].recordValue(micros);
        int s = second(due);
        while (perSecond.size() <= s) {
            perSecond.add(null);
        }
        if (perSecond.get(s) == null) {
            perSecond.set(s, new Histogram(MAX_LATENCY_MICROS, 2));
        }
        perSecond.get(s).recordValue(micros);
    }

    private BackendCounts backendCounts(String backend) {
        return backends.computeIfAbsent(backend, b -> new BackendCounts());
    }

    void received(String backend, long now) {
        backendCounts(backend).received.add(second(now), 1);
    }

    void done(String backend, long now) {
        backendCounts(backend).done.add(second(now), 1);
    }

    void refused(String backend, long now) {
        backendCounts(backend).refused.add(second(now), 1);
    }

    long total(Count kind) {
        long total = 0;
        Line line = counts.get(kind);
        for (int s = 0; s < line.length; s++) {
            total += line.at(s);
        }
        return total;
    }

    Line line(Count kind) {
        return counts.get(kind);
    }

    /**
     * The share of the offered credit that was earned, in a second or, with -1, in the whole run; 1
     * if none was offered.
     */
    double service(int second) {
        return earnedShare(earned, offered, second);
    }

    double service(int tenant, int second) {
        return earnedShare(tenantEarned[tenant], tenantOffered[tenant], second);
    }

    private static double earnedShare(Line earned, Line offered, int second) {
        double sum = 0;
        double earnedSum = 0;
        for (int s = Math.max(0, second); s < (second < 0 ? offered.length : second + 1); s++) {
            sum += offered.at(s);
            earnedSum += earned.at(s);
        }
        return sum <= 0 ? 1 : earnedSum / sum;
    }

    /**
     * A latency percentile of the requests that were due in a second and completed, in
     * milliseconds; negative if there are none.
     */
    double latency(int second, double percentile) {
        Histogram h = second < perSecond.size() ? perSecond.get(second) : null;
        return h == null ? -1 : h.getValueAtPercentile(percentile) / 1_000.0;
    }

    /** The latencies of completed requests that were due from a second on, in microseconds. */
    Histogram from(int second) {
        Histogram sum = new Histogram(MAX_LATENCY_MICROS, 3);
        perSecond.stream().skip(second).filter(java.util.Objects::nonNull).forEach(sum::add);
        return sum;
    }

    Histogram category(int category) {
        return perCategory[category];
    }

    Map<String, BackendCounts> backends() {
        return backends;
    }
}

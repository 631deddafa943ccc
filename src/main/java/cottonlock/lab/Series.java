package cottonlock.lab;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What was measured, by second of the run: answers by kind, latency, each tenant, each backend. */
final class Series {
    /** Microseconds: longer than any expiry that a scenario may have. */
    private static final long LONGEST = 3_600_000_000L;

    /** The kinds of answers and what else is counted each second, in the order of the report. */
    enum Count {
        DUE,
        FINISHED,
        LATE,
        DEFERRED,
        WRITTEN_OFF,
        NO_ANSWER
    }

    /** Counts of each second; they grow as the run goes on. */
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

    /** What one backend did. */
    static final class Work {
        final Line received = new Line();
        final Line done = new Line();
        final Line refused = new Line();
    }

    private final Map<Count, Line> counts = new EnumMap<>(Count.class);
    private final Line earned = new Line();
    private final Line offered = new Line();
    private final Line[] tenantEarned;
    private final Line[] tenantOffered;
    private final Map<String, Work> backends = new LinkedHashMap<>();

    /** Microseconds from when a request was due to be sent to its answer, if it was finished. */
    final Histogram latency = new Histogram(LONGEST, 3);

    private final List<Histogram> perSecond = new ArrayList<>();
    private final Histogram[] perCategory;

    Series(int tenants, int categories) {
        for (Count what : Count.values()) {
            counts.put(what, new Line());
        }
        tenantEarned = new Line[tenants];
        tenantOffered = new Line[tenants];
        for (int t = 0; t < tenants; t++) {
            tenantEarned[t] = new Line();
            tenantOffered[t] = new Line();
        }
        perCategory = new Histogram[categories];
        for (int c = 0; c < categories; c++) {
            perCategory[c] = new Histogram(LONGEST, 2);
        }
    }

    static int second(long now) {
        return (int) (Math.max(0, now) / 1_000_000_000L);
    }

    void count(Count what, long now) {
        counts.get(what).add(second(now), 1);
    }

    /** A request's credit, in thousandths, by the second in which it was due to be sent. */
    void credit(int tenant, long due, double offeredCredit, double earnedCredit) {
        int s = second(due);
        offered.add(s, Math.round(1_000 * offeredCredit));
        earned.add(s, Math.round(1_000 * earnedCredit));
        tenantOffered[tenant].add(s, Math.round(1_000 * offeredCredit));
        tenantEarned[tenant].add(s, Math.round(1_000 * earnedCredit));
    }

    void finished(int category, long due, long now) {
        long micros = Math.min(LONGEST, Math.max(0, now - due) / 1_000);
        latency.recordValue(micros);
        perCategory[category].recordValue(micros);
        int s = second(due);
        while (perSecond.size() <= s) {
            perSecond.add(null);
        }
        if (perSecond.get(s) == null) {
            perSecond.set(s, new Histogram(LONGEST, 2));
        }
        perSecond.get(s).recordValue(micros);
    }

    private Work work(String backend) {
        return backends.computeIfAbsent(backend, b -> new Work());
    }

    void received(String backend, long now) {
        work(backend).received.add(second(now), 1);
    }

    void done(String backend, long now) {
        work(backend).done.add(second(now), 1);
    }

    void refused(String backend, long now) {
        work(backend).refused.add(second(now), 1);
    }

    long total(Count what) {
        long total = 0;
        Line line = counts.get(what);
        for (int s = 0; s < line.length; s++) {
            total += line.at(s);
        }
        return total;
    }

    Line line(Count what) {
        return counts.get(what);
    }

    /** The part of the credit that a second, or with -1 all, earned; 1 where none was offered. */
    double service(int second) {
        return part(earned, offered, second);
    }

    double service(int tenant, int second) {
        return part(tenantEarned[tenant], tenantOffered[tenant], second);
    }

    private static double part(Line earned, Line offered, int second) {
        double all = 0;
        double got = 0;
        for (int s = Math.max(0, second); s < (second < 0 ? offered.length : second + 1); s++) {
            all += offered.at(s);
            got += earned.at(s);
        }
        return all <= 0 ? 1 : got / all;
    }

    /**
     * A percentile of a second's finished requests in milliseconds; negative where there are none.
     */
    double latency(int second, double percentile) {
        Histogram h = second < perSecond.size() ? perSecond.get(second) : null;
        return h == null ? -1 : h.getValueAtPercentile(percentile) / 1_000.0;
    }

    /** All that was due from a second on, in microseconds. */
    Histogram from(int second) {
        Histogram all = new Histogram(LONGEST, 3);
        perSecond.stream().skip(second).filter(java.util.Objects::nonNull).forEach(all::add);
        return all;
    }

    Histogram category(int category) {
        return perCategory[category];
    }

    Map<String, Work> backends() {
        return backends;
    }
}

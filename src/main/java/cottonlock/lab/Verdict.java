package cottonlock.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * The result of a run: figures by name, and a line for each breach of a rule or an expected bound.
 * Depends on its arguments alone.
 */
@cottonlock.core.Deterministic
final class Verdict {
    /**
     * The keys in the order of the verdict line. Figures are whole numbers unless a list below
     * names their decimals.
     */
    static final List<String> KEYS =
            List.of(
                    "service",
                    "sent",
                    "finished",
                    "deferred",
                    "written_off",
                    "late",
                    "lost",
                    "twice",
                    "drains",
                    "cold",
                    "p50_ms",
                    "p99_ms",
                    "worst_s",
                    "unanswered",
                    "retried",
                    "sends_per_item",
                    "behind_ms");

    /** The further keys of scenarios with membership. */
    static final List<String> MEMBERSHIP_KEYS =
            List.of(
                    "found_ms",
                    "found_all_ms",
                    "false_failed",
                    "agree_ms",
                    "apart_ms",
                    "peer_bytes_s",
                    "peer_mean_s",
                    "unheard",
                    "watch_ms");

    private static final List<String> THREE_DECIMAL_KEYS =
            List.of("service", "worst_s", "sends_per_item");
    private static final List<String> ONE_DECIMAL_KEYS =
            List.of("p50_ms", "p99_ms", "behind_ms", "watch_ms");

    /** The four rules: a breach of any of them fails a scenario. */
    private static final List<String> RULES = List.of("lost", "twice", "drains", "cold");

    /**
     * The kinds of verdicts, with their exit status; a run on a machine that was too slow has none.
     */
    enum Kind {
        PASS(0),
        FAIL(1),
        NONE(3);

        final int status;

        Kind(int status) {
            this.status = status;
        }
    }

    final Map<String, Double> figures = new TreeMap<>();
    final List<String> broken = new ArrayList<>();

    /** The keys of this run in the order of the verdict line. */
    final List<String> keys = new ArrayList<>();

    final Kind kind;

    /** Judges the figures. A run on a machine that was late by more than a limit has no verdict. */
    Verdict(
            Map<String, Double> figures,
            List<Scenario.Bound> bounds,
            double lateLimitMs,
            double watchLimitMs) {
        this.figures.putAll(figures);
        KEYS.forEach(keys::add);
        MEMBERSHIP_KEYS.stream().filter(figures::containsKey).forEach(keys::add);
        for (String rule : RULES) {
            if (figures.get(rule) > 0) {
                broken.add("rule " + rule + ": " + format(rule) + " breaches");
            }
        }
        for (Scenario.Bound bound : bounds) {
            if (!bound.holds(figures.get(bound.key()))) {
                broken.add(
                        "expected "
                                + bound.key()
                                + " "
                                + bound.text()
                                + ", found "
                                + format(bound.key()));
            }
        }
        if (figures.get("behind_ms") > lateLimitMs) {
            broken.add(
                    0,
                    String.format(
                            Locale.ROOT,
                            "the machine ran late by %s ms (99.9%% of all tasks), "
                                    + "%.0f ms are the limit: no verdict",
                            format("behind_ms"),
                            lateLimitMs));
            kind = Kind.NONE;
        } else if (figures.getOrDefault("watch_ms", 0.0) > watchLimitMs) {
            broken.add(
                    0,
                    String.format(
                            Locale.ROOT,
                            "a process that only watches the clock woke %s ms late, "
                                    + "%.0f ms are the limit: no verdict",
                            format("watch_ms"),
                            watchLimitMs));
            kind = Kind.NONE;
        } else {
            kind = broken.isEmpty() ? Kind.PASS : Kind.FAIL;
        }
    }

    String format(String key) {
        double value = figures.get(key);
        if (THREE_DECIMAL_KEYS.contains(key)) {
            return String.format(Locale.ROOT, "%.3f", value);
        }
        return ONE_DECIMAL_KEYS.contains(key)
                ? String.format(Locale.ROOT, "%.1f", value)
                : Long.toString((long) value);
    }

    /** Returns the verdict line, the last one on standard output. */
    String line() {
        StringBuilder line = new StringBuilder("verdict: ").append(word());
        keys.forEach(key -> line.append(' ').append(key).append('=').append(format(key)));
        return line.toString();
    }

    String word() {
        return kind.name().toLowerCase(Locale.ROOT);
    }
}

package cottonlock.lab.soak;

import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * The faults of one seed of the soak: two proxies are restarted one after the other, each by a
 * series of signals and either alone or beside another fault. The seed alone determines them.
 */
final class SoakPlan {
    private static final List<String> SERIES =
            List.of(
                    "term",
                    "term_twice",
                    "reloads_then_terms",
                    "reloads_in_shutdown",
                    "term_just_after_ready");

    /** More connections than a proxy of the soak has descriptors for. */
    private static final int IDLE_CONNECTIONS = 150;

    private static final double TROUBLE_BEFORE_SECONDS = 0.4;
    private static final double TROUBLE_SECONDS = 2.8;
    private static final double FIRST_RESTART_SECONDS = 1;
    private static final double SECOND_RESTART_SECONDS = 5.2;
    private static final double RESTART_SPREAD_SECONDS = 0.6;
    private static final double DOWN_SECONDS = 0.3;

    /** What goes wrong beside a restart. */
    private enum Trouble {
        NONE,
        CROWD,
        BACKENDS_HANG,
        DISCOVERY_DOWN,
        WATCHES_SILENT
    }

    private final StringBuilder faults = new StringBuilder();
    private final StringBuilder summary = new StringBuilder();

    SoakPlan(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        restart(random, 0, FIRST_RESTART_SECONDS);
        restart(random, 1, SECOND_RESTART_SECONDS);
    }

    /** The faults as tables of a scenario. */
    String toToml() {
        return faults.toString();
    }

    /** A summary of the series and the faults beside them. */
    String summary() {
        return summary.toString();
    }

    private void restart(SplittableRandom random, int proxy, double earliestSeconds) {
        double at = earliestSeconds + RESTART_SPREAD_SECONDS * random.nextDouble();
        String series = SERIES.get(random.nextInt(SERIES.size()));
        Trouble trouble = Trouble.values()[random.nextInt(Trouble.values().length)];
        fault(
                "proxy-restart",
                at,
                DOWN_SECONDS,
                "proxy = " + proxy + "\nseries = \"" + series + '"');
        trouble(trouble, proxy, at - TROUBLE_BEFORE_SECONDS);
        summary.append(summary.length() == 0 ? "" : "; ")
                .append(series)
                .append(" beside ")
                .append(trouble.name().toLowerCase(Locale.ROOT));
    }

    private void trouble(Trouble trouble, int proxy, double at) {
        switch (trouble) {
            case CROWD ->
                    fault(
                            "proxy-crowd",
                            at,
                            TROUBLE_SECONDS,
                            "proxy = " + proxy + "\nconnections = " + IDLE_CONNECTIONS);
            case BACKENDS_HANG -> fault("pause", at, TROUBLE_SECONDS, "count = 2");
            case DISCOVERY_DOWN -> fault("discovery-down", at, TROUBLE_SECONDS, "");
            case WATCHES_SILENT -> fault("discovery-silent", at, TROUBLE_SECONDS, "");
            default -> {
                // The restart alone.
            }
        }
    }

    private void fault(String kind, double atSeconds, double forSeconds, String more) {
        faults.append(
                String.format(
                        Locale.ROOT,
                        "%n[[fault]]%nkind = \"%s\"%nat = %.3f%nfor = %.3f%n%s%n",
                        kind,
                        atSeconds,
                        forSeconds,
                        more));
    }
}

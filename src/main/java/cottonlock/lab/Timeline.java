package cottonlock.lab;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * Schedules the faults of a run before it starts: those listed in the scenario and those drawn from
 * the seed.
 */
@Deterministic
final class Timeline {
    /** Nanoseconds for which a rolling deployment drains each backend before it is stopped. */
    private static final long DRAIN_NANOS = 2_000_000_000L;

    /** Nanoseconds for which a backend is then down, before the deployment continues. */
    private static final long DOWN_NANOS = 500_000_000L;

    /**
     * One scheduled fault, with the identifiers of the backends or the number of the proxy that it
     * hits, or the groups of proxies between which it acts.
     */
    record Entry(
            long at,
            long length,
            String kind,
            List<String> backends,
            int proxy,
            double amount,
            List<List<Integer>> groups,
            boolean oneWay,
            String name,
            String after,
            SignalSeries series) {
        Entry(long at, long length, String kind, List<String> backends, int proxy, double amount) {
            this(
                    at,
                    length,
                    kind,
                    backends,
                    proxy,
                    amount,
                    List.of(),
                    false,
                    "",
                    "",
                    SignalSeries.TERM);
        }

        String tsvLine() {
            return String.format(
                            Locale.ROOT,
                            "%.3f\t%.3f\t%s\t%s\t%d\t%.3f",
                            at / 1e6,
                            length / 1e6,
                            kind,
                            String.join(",", backends) + groupsText(),
                            proxy,
                            amount)
                    + (after.isEmpty() ? "" : "\t" + after);
        }

        private String groupsText() {
            return groups.stream()
                    .map(g -> g.stream().map(p -> "n" + p).collect(Collectors.joining(",")))
                    .collect(Collectors.joining(oneWay ? ">" : "/"));
        }

        /** Returns a short description for the report. */
        String label() {
            return kind
                    + (backends.isEmpty()
                            ? kind.startsWith("proxy") ? " n" + proxy : " " + groupsText()
                            : backends.size() > 3
                                    ? " of " + backends.size()
                                    : " " + String.join(" ", backends));
        }
    }

    private Timeline() {}

    static List<Entry> draw(
            long seed,
            List<Scenario.Fault> faults,
            Scenario.RandomFaults random,
            List<String> zones,
            List<Scenario.Tier> tiers,
            int proxies) {
        SplittableRandom rng = new SplittableRandom(~seed);
        List<Entry> entries = new ArrayList<>();
        for (Scenario.Fault f : faults) {
            boolean proxyFault = f.kind().startsWith("proxy");
            boolean withoutBackends =
                    f.kind().startsWith("discovery") || f.kind().startsWith("peer") || proxyFault;
            List<String> targets =
                    withoutBackends ? List.of() : targetBackends(f, zones, tiers, rng);
            if (proxyFault) {
                long at = f.at();
                for (int proxy :
                        f.proxies().isEmpty()
                                ? drawProxies(proxies, f.count(), rng)
                                : f.proxies()) {
                    entries.add(
                            new Entry(
                                    at,
                                    f.length(),
                                    f.kind(),
                                    targets,
                                    proxy,
                                    f.amount(),
                                    List.of(),
                                    false,
                                    f.name(),
                                    f.after(),
                                    f.series()));
                    at += f.every();
                }
            } else if (f.kind().startsWith("peer")) {
                entries.add(
                        new Entry(
                                f.at(),
                                f.length(),
                                f.kind(),
                                targets,
                                0,
                                f.amount(),
                                f.groups(),
                                f.oneWay(),
                                f.name(),
                                f.after(),
                                f.series()));
            } else if (f.kind().equals("deploy")) {
                long at = f.at();
                for (String backend : targets) {
                    entries.add(
                            new Entry(
                                    at,
                                    DRAIN_NANOS + DOWN_NANOS,
                                    "drain",
                                    List.of(backend),
                                    0,
                                    DRAIN_NANOS));
                    at += Math.max(f.length(), DRAIN_NANOS + DOWN_NANOS);
                }
            } else {
                double amount = f.kind().equals("drain") ? f.length() : f.amount();
                entries.add(
                        new Entry(
                                f.at(),
                                f.length(),
                                f.kind(),
                                targets,
                                0,
                                amount,
                                List.of(),
                                false,
                                f.name(),
                                f.after(),
                                f.series()));
            }
        }
        for (int i = 0; i < random.count(); i++) {
            String kind = random.kinds().get(rng.nextInt(random.kinds().size()));
            long span = Math.max(1, random.to() - random.from());
            long at = random.from() + rng.nextLong(span);
            int tier = rng.nextInt(tiers.size());
            String backend = Scenario.backendId(tier, rng.nextInt(tiers.get(tier).backends()));
            double amount = amount(kind, rng.nextDouble());
            if (kind.startsWith("proxy") || kind.startsWith("peer")) {
                List<Integer> drawn = drawProxies(proxies, Math.max(1, proxies / 2), rng);
                List<Integer> rest = new ArrayList<>();
                for (int p = 0; p < proxies; p++) {
                    if (!drawn.contains(p)) {
                        rest.add(p);
                    }
                }
                boolean pair = kind.equals("peer-cut");
                List<List<Integer>> groups =
                        !kind.startsWith("peer-") || rest.isEmpty()
                                ? List.of()
                                : pair
                                        ? List.of(drawn.subList(0, 1), rest.subList(0, 1))
                                        : kind.equals("peer-split")
                                                ? List.of(drawn, rest)
                                                : List.of();
                entries.add(
                        new Entry(
                                at,
                                random.length(),
                                kind,
                                List.of(),
                                drawn.get(0),
                                amount,
                                groups,
                                pair && rng.nextBoolean(),
                                "",
                                "",
                                SignalSeries.TERM));
                continue;
            }
            entries.add(
                    new Entry(
                            at,
                            random.length(),
                            kind,
                            kind.startsWith("discovery") ? List.of() : List.of(backend),
                            0,
                            kind.equals("drain") ? random.length() : amount));
        }
        entries.sort(Comparator.comparingLong(Entry::at));
        return entries;
    }

    private static List<Integer> drawProxies(int proxies, int count, SplittableRandom rng) {
        List<Integer> proxyNumbers = new ArrayList<>();
        for (int p = 0; p < proxies; p++) {
            proxyNumbers.add(p);
        }
        while (proxyNumbers.size() > count) {
            proxyNumbers.remove(rng.nextInt(proxyNumbers.size()));
        }
        return proxyNumbers;
    }

    private static List<String> targetBackends(
            Scenario.Fault f, List<String> zones, List<Scenario.Tier> tiers, SplittableRandom rng) {
        if (!f.backend().isEmpty()) {
            return List.of(f.backend());
        }
        List<String> all = new ArrayList<>();
        for (int b = 0; b < tiers.get(f.tier()).backends(); b++) {
            if (f.zone().isEmpty() || zones.get(b % zones.size()).equals(f.zone())) {
                all.add(Scenario.backendId(f.tier(), b));
            }
        }
        while (f.count() > 0 && all.size() > f.count()) {
            all.remove(rng.nextInt(all.size()));
        }
        return all;
    }

    /** Returns a typical amount for a kind of fault, from mild at a draw of 0 to severe at 1. */
    private static double amount(String kind, double draw) {
        return switch (kind) {
            case "slow" -> 2 + 8 * draw;
            case "delay", "discovery-slow", "peer-delay" -> 10 + 190 * draw;
            case "throttle" -> 20_000 + 180_000 * draw;
            default -> 0.05 + 0.25 * draw;
        };
    }
}

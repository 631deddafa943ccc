package cottonlock.lab;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * What goes wrong when, to whom: the scenario's faults and those drawn from the seed, before the
 * run begins.
 */
@Deterministic
final class Timeline {
    /**
     * Seconds that a rolling deployment has each backend leave and be gone, before it goes on to
     * the next.
     */
    private static final long LEAVING = 2_000_000_000L;

    private static final long GONE = 500_000_000L;

    /** One fault with the backends it hits, by their names, or the proxies between whom it acts. */
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

        String line() {
            return String.format(
                            Locale.ROOT,
                            "%.3f\t%.3f\t%s\t%s\t%d\t%.3f",
                            at / 1e6,
                            length / 1e6,
                            kind,
                            String.join(",", backends) + parted(),
                            proxy,
                            amount)
                    + (after.isEmpty() ? "" : "\t" + after);
        }

        private String parted() {
            return groups.stream()
                    .map(g -> g.stream().map(p -> "n" + p).collect(Collectors.joining(",")))
                    .collect(Collectors.joining(oneWay ? ">" : "/"));
        }

        /** In a few words, for people. */
        String words() {
            return kind
                    + (backends.isEmpty()
                            ? kind.startsWith("proxy") ? " n" + proxy : " " + parted()
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
            List<String> rooms,
            List<Scenario.Tier> tiers,
            int proxies) {
        SplittableRandom chance = new SplittableRandom(~seed);
        List<Entry> entries = new ArrayList<>();
        for (Scenario.Fault f : faults) {
            boolean ofProxies = f.kind().startsWith("proxy");
            boolean aimless =
                    f.kind().startsWith("discovery") || f.kind().startsWith("peer") || ofProxies;
            List<String> hit = aimless ? List.of() : hit(f, rooms, tiers, chance);
            if (ofProxies) {
                long at = f.at();
                for (int proxy :
                        f.proxies().isEmpty() ? some(proxies, f.count(), chance) : f.proxies()) {
                    entries.add(
                            new Entry(
                                    at,
                                    f.length(),
                                    f.kind(),
                                    hit,
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
                                hit,
                                0,
                                f.amount(),
                                f.groups(),
                                f.oneWay(),
                                f.name(),
                                f.after(),
                                f.series()));
            } else if (f.kind().equals("deploy")) {
                long at = f.at();
                for (String backend : hit) {
                    entries.add(
                            new Entry(at, LEAVING + GONE, "drain", List.of(backend), 0, LEAVING));
                    at += Math.max(f.length(), LEAVING + GONE);
                }
            } else {
                double amount = f.kind().equals("drain") ? f.length() : f.amount();
                entries.add(
                        new Entry(
                                f.at(),
                                f.length(),
                                f.kind(),
                                hit,
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
            String kind = random.kinds().get(chance.nextInt(random.kinds().size()));
            long span = Math.max(1, random.to() - random.from());
            long at = random.from() + chance.nextLong(span);
            int tier = chance.nextInt(tiers.size());
            String backend = Scenario.backend(tier, chance.nextInt(tiers.get(tier).backends()));
            double amount = amount(kind, chance.nextDouble());
            if (kind.startsWith("proxy") || kind.startsWith("peer")) {
                List<Integer> drawn = some(proxies, Math.max(1, proxies / 2), chance);
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
                                pair && chance.nextBoolean(),
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

    private static List<Integer> some(int proxies, int count, SplittableRandom chance) {
        List<Integer> some = new ArrayList<>();
        for (int p = 0; p < proxies; p++) {
            some.add(p);
        }
        while (some.size() > count) {
            some.remove(chance.nextInt(some.size()));
        }
        return some;
    }

    private static List<String> hit(
            Scenario.Fault f,
            List<String> rooms,
            List<Scenario.Tier> tiers,
            SplittableRandom chance) {
        if (!f.backend().isEmpty()) {
            return List.of(f.backend());
        }
        List<String> all = new ArrayList<>();
        for (int b = 0; b < tiers.get(f.tier()).backends(); b++) {
            if (f.room().isEmpty() || rooms.get(b % rooms.size()).equals(f.room())) {
                all.add(Scenario.backend(f.tier(), b));
            }
        }
        while (f.count() > 0 && all.size() > f.count()) {
            all.remove(chance.nextInt(all.size()));
        }
        return all;
    }

    /** What is usual of a kind when it goes wrong, from mild to bad. */
    private static double amount(String kind, double draw) {
        return switch (kind) {
            case "slow" -> 2 + 8 * draw;
            case "delay", "discovery-slow", "peer-delay" -> 10 + 190 * draw;
            case "throttle" -> 20_000 + 180_000 * draw;
            default -> 0.05 + 0.25 * draw;
        };
    }
}

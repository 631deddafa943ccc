package cottonlock.lab;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * The schedule of a run: when which request comes, drawn from the seed alone before the run begins,
 * so that two runs of one seed are given the same. Each tenant draws from a generator of its own: a
 * change of one tenant's rate moves no arrival of another's.
 */
@Deterministic
final class Arrivals {
    /** The largest work, as a multiple of the mean: one draw must not decide a run. */
    private static final double MOST = 20;

    /**
     * One request that is due to be sent.
     *
     * @param work core nanoseconds at speed 1
     * @param draw for everything else that its client decides by chance
     * @param leaves the part of its patience after which its client leaves; 1 and more for never
     */
    record Arrival(
            long at, int tenant, int category, int room, double work, long draw, double leaves) {
        String line(int number) {
            return String.format(
                    Locale.ROOT,
                    "%d\t%.3f\t%d\t%d\t%d\t%.3f\t%016x\t%.4f",
                    number,
                    at / 1e6,
                    tenant,
                    category,
                    room,
                    work / 1e6,
                    draw,
                    leaves);
        }
    }

    private Arrivals() {}

    static List<Arrival> draw(
            long seed,
            long length,
            int rooms,
            List<Scenario.TenantPlan> tenants,
            List<Scenario.CategoryPlan> categories,
            Scenario.ClientPlan clients,
            List<Scenario.Burst> bursts) {
        SplittableRandom root = new SplittableRandom(seed);
        List<Arrival> all = new ArrayList<>();
        double rates = tenants.stream().mapToDouble(Scenario.TenantPlan::rate).sum();
        SplittableRandom whose = root.split();
        for (int t = 0; t < tenants.size(); t++) {
            SplittableRandom random = root.split();
            if (!clients.arrivals().equals("trace")) {
                double rate = tenants.get(t).rate() / 1e9;
                String name = tenants.get(t).name();
                double most =
                        Math.max(
                                1,
                                bursts.stream().mapToDouble(Scenario.Burst::times).max().orElse(1));
                boolean even = clients.arrivals().equals("even");
                // Drawn at the highest rate and thinned out: an arrival before a burst is the same
                // without
                // it.
                double at = 0;
                while (rate > 0) {
                    at += even ? 1 / rate / most : -Math.log(1 - random.nextDouble()) / rate / most;
                    if (at >= length) {
                        break;
                    }
                    double keep = random.nextDouble();
                    Arrival arrival = one((long) at, t, rooms, categories, clients, random);
                    if (keep * most < times(bursts, name, (long) at)) {
                        all.add(arrival);
                    }
                }
            }
        }
        if (clients.arrivals().equals("trace")) {
            for (long at : clients.trace()) {
                double place = whose.nextDouble() * rates;
                int t = 0;
                while (t < tenants.size() - 1 && place >= tenants.get(t).rate()) {
                    place -= tenants.get(t).rate();
                    t++;
                }
                Arrival arrival = one(at, t, rooms, categories, clients, whose);
                if (at < length) {
                    all.add(arrival);
                }
            }
        }
        all.sort(Comparator.comparingLong(Arrival::at).thenComparingInt(Arrival::tenant));
        return all;
    }

    private static double times(List<Scenario.Burst> bursts, String tenant, long at) {
        double times = 1;
        for (Scenario.Burst b : bursts) {
            if (at >= b.at()
                    && at < b.at() + b.length()
                    && (b.tenant().isEmpty() || b.tenant().equals(tenant))) {
                times = b.times();
            }
        }
        return times;
    }

    private static Arrival one(
            long at,
            int tenant,
            int rooms,
            List<Scenario.CategoryPlan> categories,
            Scenario.ClientPlan clients,
            SplittableRandom random) {
        double weights = categories.stream().mapToDouble(Scenario.CategoryPlan::weight).sum();
        double place = random.nextDouble() * weights;
        int c = 0;
        while (c < categories.size() - 1 && place >= categories.get(c).weight()) {
            place -= categories.get(c).weight();
            c++;
        }
        double spread = categories.get(c).spread();
        // Log-normal with the given mean, whatever the spread is.
        double factor = Math.exp(spread * gauss(random) - spread * spread / 2);
        double leaves = random.nextDouble() < clients.leave() ? random.nextDouble() : 2;
        return new Arrival(
                at,
                tenant,
                c,
                random.nextInt(rooms),
                categories.get(c).work() * Math.min(MOST, factor),
                random.nextLong(),
                leaves);
    }

    private static double gauss(SplittableRandom random) {
        double far = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
        return far * Math.cos(2 * Math.PI * random.nextDouble());
    }
}

package cottonlock.lab;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * The schedule of a run: the arrival time and content of each request. It is drawn from the seed
 * alone before the run begins, so that two runs with one seed get the same schedule. Each tenant
 * has a random generator of its own, so a change of one tenant's rate moves no arrival of another
 * tenant.
 */
@Deterministic
final class Arrivals {
    /**
     * The largest work of a request as a multiple of the mean, so that one draw can't decide a run.
     */
    private static final double MAX_WORK_FACTOR = 20;

    /**
     * One request of the schedule.
     *
     * @param work core nanoseconds at speed 1
     * @param clientSeed seeds all other random choices of the client
     * @param cancelFraction the fraction of its timeout after which the client disconnects; never
     *     if 1 or more
     */
    record Arrival(
            long atNanos,
            int tenant,
            int category,
            int zone,
            double work,
            long clientSeed,
            double cancelFraction) {
        String line(int number) {
            return String.format(
                    Locale.ROOT,
                    "%d\t%.3f\t%d\t%d\t%d\t%.3f\t%016x\t%.4f",
                    number,
                    atNanos / 1e6,
                    tenant,
                    category,
                    zone,
                    work / 1e6,
                    clientSeed,
                    cancelFraction);
        }
    }

    private Arrivals() {}

    static List<Arrival> draw(
            long seed,
            long length,
            int zones,
            List<Scenario.TenantPlan> tenants,
            List<Scenario.CategoryPlan> categories,
            Scenario.ClientPlan clients,
            List<Scenario.Burst> bursts) {
        SplittableRandom root = new SplittableRandom(seed);
        List<Arrival> all = new ArrayList<>();
        double totalRate = tenants.stream().mapToDouble(Scenario.TenantPlan::rate).sum();
        SplittableRandom traceRandom = root.split();
        for (int t = 0; t < tenants.size(); t++) {
            SplittableRandom random = root.split();
            if (!clients.arrivals().equals("trace")) {
                double rate = tenants.get(t).rate() / 1e9;
                String name = tenants.get(t).name();
                double maxFactor =
                        Math.max(
                                1,
                                bursts.stream().mapToDouble(Scenario.Burst::times).max().orElse(1));
                boolean even = clients.arrivals().equals("even");
                // Arrivals are drawn at the highest rate and thinned out, so that arrivals before a
                // burst are the same as without it.
                double atNanos = 0;
                while (rate > 0) {
                    atNanos +=
                            even
                                    ? 1 / rate / maxFactor
                                    : -Math.log(1 - random.nextDouble()) / rate / maxFactor;
                    if (atNanos >= length) {
                        break;
                    }
                    double thinning = random.nextDouble();
                    Arrival arrival =
                            drawArrival((long) atNanos, t, zones, categories, clients, random);
                    if (thinning * maxFactor < rateFactor(bursts, name, (long) atNanos)) {
                        all.add(arrival);
                    }
                }
            }
        }
        if (clients.arrivals().equals("trace")) {
            for (long atNanos : clients.trace()) {
                double point = traceRandom.nextDouble() * totalRate;
                int t = 0;
                while (t < tenants.size() - 1 && point >= tenants.get(t).rate()) {
                    point -= tenants.get(t).rate();
                    t++;
                }
                Arrival arrival = drawArrival(atNanos, t, zones, categories, clients, traceRandom);
                if (atNanos < length) {
                    all.add(arrival);
                }
            }
        }
        all.sort(Comparator.comparingLong(Arrival::atNanos).thenComparingInt(Arrival::tenant));
        return all;
    }

    private static double rateFactor(List<Scenario.Burst> bursts, String tenant, long atNanos) {
        double factor = 1;
        for (Scenario.Burst b : bursts) {
            if (atNanos >= b.at()
                    && atNanos < b.at() + b.length()
                    && (b.tenant().isEmpty() || b.tenant().equals(tenant))) {
                factor = b.times();
            }
        }
        return factor;
    }

    private static Arrival drawArrival(
            long atNanos,
            int tenant,
            int zones,
            List<Scenario.CategoryPlan> categories,
            Scenario.ClientPlan clients,
            SplittableRandom random) {
        double totalWeight = categories.stream().mapToDouble(Scenario.CategoryPlan::weight).sum();
        double point = random.nextDouble() * totalWeight;
        int c = 0;
        while (c < categories.size() - 1 && point >= categories.get(c).weight()) {
            point -= categories.get(c).weight();
            c++;
        }
        double spread = categories.get(c).spread();
        // Log-normal with the given mean, independent of the spread.
        double factor = Math.exp(spread * gaussian(random) - spread * spread / 2);
        double cancelFraction = random.nextDouble() < clients.leave() ? random.nextDouble() : 2;
        return new Arrival(
                atNanos,
                tenant,
                c,
                random.nextInt(zones),
                categories.get(c).work() * Math.min(MAX_WORK_FACTOR, factor),
                random.nextLong(),
                cancelFraction);
    }

    private static double gaussian(SplittableRandom random) {
        double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
        return radius * Math.cos(2 * Math.PI * random.nextDouble());
    }
}

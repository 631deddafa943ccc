package cottonlock.lab.rollout;

import cottonlock.core.Deterministic;
import cottonlock.rollout.ConfigurationVersion;
import cottonlock.rollout.RolloutVariants;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Simulates rollouts of configuration versions in virtual time: without faults, and in each fault
 * case.
 */
@Deterministic
public final class RolloutStudy {
    /** The number of control servers of each deployment. */
    public static final int CONTROL = Deployment.CONTROL;

    public static final int REGIONS = Deployment.REGIONS;
    public static final int ZONES = Deployment.ZONES;
    private static final long TICKS_PER_SECOND = Deployment.TICKS_PER_SECOND;

    /** A version that is not in force after this time counts as never in force. */
    private static final long MAX_WAIT_TICKS = 60 * TICKS_PER_SECOND;

    /** Versions that are published in the case without faults. */
    private static final int QUIET_CHANGES = 5;

    /** Between two versions: 2,100 a day. */
    private static final long CHANGE_INTERVAL_TICKS = 41 * TICKS_PER_SECOND;

    /**
     * The largest fleet in the case of proxies that are suspended for an hour: their cost does not
     * depend on its size.
     */
    private static final int MAX_SIZE_WITH_STOPPED_PROXIES = 100;

    private final int size;
    private final long seed;
    private final RolloutVariants variants;

    /**
     * Creates a study of a deployment with {@code size} proxies; variants other than {@link
     * RolloutVariants#DEFAULT} are for tests.
     */
    public RolloutStudy(int size, long seed, RolloutVariants variants) {
        this.size = size;
        this.seed = seed;
        this.variants = variants;
    }

    /**
     * The result of one case. Times are in milliseconds, -1 if that point was never reached.
     *
     * @param half until the version was in force at half of the proxies that are measured
     * @param most the same for 99%
     * @param all the same for all
     * @param calls the most calls in a second at one control server
     * @param bytes the most bytes that one proxy sent and received in a second
     * @param back how often a version came into force at a proxy that is lower than an earlier one
     * @param harmed proxies at which a version that can't be used came into force
     * @param differ proxies that hold another version than most do at the end
     * @param more further figures of this case
     */
    public record Outcome(
            long half,
            long most,
            long all,
            int calls,
            long bytes,
            int back,
            int harmed,
            int differ,
            Map<String, Long> more) {}

    /** All fault cases by name, in the order of docs/rollout.md. */
    public Map<String, Supplier<Outcome>> cases() {
        Map<String, Supplier<Outcome>> cases = new LinkedHashMap<>();
        cases.put("region_split", this::regionSplit);
        cases.put("crossing", this::crossing);
        cases.put("stopped", this::stopped);
        cases.put("flapping_zone", this::flappingZone);
        cases.put("control_down", this::controlDown);
        cases.put("behind", this::behind);
        cases.put("half", this::half);
        cases.put("poison", this::poison);
        cases.put("restarts", this::restarts);
        cases.put("overload", this::overload);
        return cases;
    }

    private Deployment deployment() {
        return new Deployment(size, seed, variants);
    }

    private static ConfigurationVersion version(long number) {
        return new ConfigurationVersion(number, number * 0x9E3779B97F4A7C15L);
    }

    /** Versions without faults; {@code mean} is the mean bytes per second of one proxy. */
    public Outcome quiet() {
        Deployment d = deployment();
        List<Long> times = new ArrayList<>();
        long before = d.proxies.stream().mapToLong(ProxyModel::bytes).sum();
        long from = d.world.now();
        for (int i = 0; i < QUIET_CHANGES; i++) {
            long at = d.world.now();
            d.publish(d.world.chance().nextInt(CONTROL), version(2 + i));
            times.addAll(d.awaitTarget(MAX_WAIT_TICKS, d.allProxies()));
            d.world.until(at + CHANGE_INTERVAL_TICKS);
        }
        long bytes = d.proxies.stream().mapToLong(ProxyModel::bytes).sum() - before;
        Collections.sort(times);
        return outcome(
                d, times, Map.of("mean", bytes * TICKS_PER_SECOND / (d.world.now() - from) / size));
    }

    /**
     * A version is published when the regions are partitioned; the other region gets it after the
     * partition has healed.
     */
    Outcome regionSplit() {
        Deployment d = deployment();
        d.links.split(true);
        d.publish(0, version(2));
        List<Long> times = d.awaitTarget(MAX_WAIT_TICKS, d.inRegion(0));
        d.world.until(d.world.now() + 10 * TICKS_PER_SECOND);
        d.links.split(false);
        d.expect(version(2));
        List<Long> healed = d.awaitTarget(MAX_WAIT_TICKS, d.allProxies());
        return outcome(d, times, Map.of("healed_ms_all", lastMillis(healed)));
    }

    /**
     * Two versions with the same number are published on two sides of a partition; times count from
     * its end.
     */
    Outcome crossing() {
        Deployment d = deployment();
        d.links.split(true);
        d.world.until(d.world.now() + 5 * TICKS_PER_SECOND);
        d.announce(0, new ConfigurationVersion(2, 5));
        d.announce(1, new ConfigurationVersion(2, -3));
        d.world.until(d.world.now() + 20 * TICKS_PER_SECOND);
        long sides = d.proxies.stream().map(ProxyModel::inForce).distinct().count();
        d.links.split(false);
        d.expect(new ConfigurationVersion(2, -3));
        return outcome(
                d,
                d.awaitTarget(MAX_WAIT_TICKS, d.allProxies()),
                Map.of("versions_while_split", sides));
    }

    /** Five proxies are suspended for an hour of versions; times count from their resumption. */
    Outcome stopped() {
        Deployment d =
                new Deployment(Math.min(size, MAX_SIZE_WITH_STOPPED_PROXIES), seed, variants);
        List<Integer> five = d.allProxies().subList(0, 5);
        five.forEach(i -> d.proxies.get(i).pause(true));
        int changes = (int) (3_600 * TICKS_PER_SECOND / CHANGE_INTERVAL_TICKS);
        for (int i = 0; i < changes; i++) {
            d.publish(d.world.chance().nextInt(CONTROL), version(2 + i));
            d.world.until(d.world.now() + CHANGE_INTERVAL_TICKS);
        }
        d.expect(version(1 + changes));
        five.forEach(i -> d.proxies.get(i).pause(false));
        return outcome(
                d, d.awaitTarget(MAX_WAIT_TICKS, five), Map.of("changes_missed", (long) changes));
    }

    /**
     * For a minute a zone is reachable only in the first of every six seconds; a version is
     * published 20 s after its start, and another at its end.
     */
    Outcome flappingZone() {
        Deployment d = deployment();
        int zone = 2;
        long end = d.world.now() + 60 * TICKS_PER_SECOND;
        d.links.flap(zone, 6 * TICKS_PER_SECOND, TICKS_PER_SECOND, end);
        d.world.until(d.world.now() + 20 * TICKS_PER_SECOND);
        d.publish(0, version(2));
        List<Integer> outside =
                d.allProxies().stream().filter(i -> d.proxies.get(i).zone != zone).toList();
        List<Long> others = d.awaitTarget(MAX_WAIT_TICKS, outside);
        List<Integer> inside =
                d.allProxies().stream().filter(i -> d.proxies.get(i).zone == zone).toList();
        long within = lastMillis(d.awaitTarget(end - d.world.now(), inside));
        d.world.until(end);
        d.publish(0, version(3));
        long after = lastMillis(d.awaitTarget(MAX_WAIT_TICKS, d.allProxies()));
        return outcome(d, others, Map.of("inside_ms_all", within, "after_ms_all", after));
    }

    /**
     * All control servers are down for ten minutes and start together; a version is published then,
     * and times count from then.
     */
    Outcome controlDown() {
        Deployment d = deployment();
        d.control.forEach(c -> c.setDown(true));
        d.world.until(d.world.now() + 600 * TICKS_PER_SECOND);
        long kept =
                d.proxies.stream()
                        .filter(p -> p.inForce().equals(new ConfigurationVersion(1, 1)))
                        .count();
        long down = d.takeMaxCallsPerSecond();
        d.control.forEach(c -> c.setDown(false));
        d.publish(0, version(2));
        List<Long> times = d.awaitTarget(MAX_WAIT_TICKS, d.allProxies());
        return outcome(d, times, Map.of("kept", kept, "calls_s_while_down", down));
    }

    /** One control server learns of no new versions. */
    Outcome behind() {
        Deployment d = deployment();
        d.control.get(3).setFrozen(true);
        d.publish(0, version(2));
        List<Long> times = d.awaitTarget(MAX_WAIT_TICKS, d.allProxies());
        d.world.until(d.world.now() + 20 * TICKS_PER_SECOND);
        d.publish(0, version(3));
        return outcome(
                d,
                times,
                Map.of("next_ms_all", lastMillis(d.awaitTarget(MAX_WAIT_TICKS, d.allProxies()))));
    }

    /** One control server sends half of each version's content. */
    Outcome half() {
        Deployment d = deployment();
        d.control.get(3).setTruncating(true);
        d.publish(0, version(2));
        return outcome(d, d.awaitTarget(MAX_WAIT_TICKS, d.allProxies()), Map.of());
    }

    /**
     * All proxies reject a version that can't be used; another version replaces it, and times count
     * for that one.
     */
    Outcome poison() {
        Deployment d = deployment();
        d.unusableVersions.add(version(2));
        int validated = d.proxies.stream().mapToInt(ProxyModel::validatedCount).sum();
        d.announce(0, version(2));
        d.world.until(d.world.now() + 20 * TICKS_PER_SECOND);
        long refused = d.proxies.stream().mapToLong(p -> p.status().rejectedCount()).sum();
        long kept =
                d.proxies.stream()
                        .filter(p -> p.inForce().equals(new ConfigurationVersion(1, 1)))
                        .count();
        validated = d.proxies.stream().mapToInt(ProxyModel::validatedCount).sum() - validated;
        d.publish(0, version(3));
        return outcome(
                d,
                d.awaitTarget(MAX_WAIT_TICKS, d.allProxies()),
                Map.of("refused", refused, "kept", kept, "judged", (long) validated));
    }

    /**
     * 350 restarts within a minute; all control servers are down for 20 s of it, and a version is
     * published when they start again.
     */
    Outcome restarts() {
        Deployment d = deployment();
        long from = d.world.now();
        for (int i = 0; i < 350; i++) {
            int which = d.world.chance().nextInt(size);
            d.world.at(
                    from + i * 60L * TICKS_PER_SECOND / 350,
                    () -> {
                        d.proxies.get(which).kill();
                        d.start(which);
                    });
        }
        d.world.until(from + 10 * TICKS_PER_SECOND);
        d.control.forEach(c -> c.setDown(true));
        d.world.until(from + 30 * TICKS_PER_SECOND);
        d.control.forEach(c -> c.setDown(false));
        d.publish(0, version(2));
        List<Long> times = d.awaitTarget(MAX_WAIT_TICKS, d.allProxies());
        d.world.until(from + 70 * TICKS_PER_SECOND);
        return outcome(d, times, Map.of());
    }

    /** Control servers are four times as slow and have just dropped all their watches. */
    Outcome overload() {
        Deployment d = deployment();
        d.control.forEach(c -> c.setSlowdown(4));
        d.control.forEach(ControlModel::dropWatches);
        d.publish(0, version(2));
        return outcome(d, d.awaitTarget(MAX_WAIT_TICKS, d.allProxies()), Map.of());
    }

    private static long lastMillis(List<Long> sorted) {
        // A time of -1, never, sorts first.
        return sorted.get(0) < 0 ? -1 : sorted.get(sorted.size() - 1) / 10;
    }

    private static Outcome outcome(Deployment d, List<Long> times, Map<String, Long> more) {
        long never = times.stream().filter(t -> t < 0).count();
        List<Long> sorted = new ArrayList<>(times.subList((int) never, times.size()));
        sorted.addAll(Collections.nCopies((int) never, -10L));
        Map<ConfigurationVersion, Long> held = new LinkedHashMap<>();
        d.proxies.forEach(p -> held.merge(p.inForce(), 1L, Long::sum));
        long same = Collections.max(held.values());
        int n = sorted.size();
        return new Outcome(
                sorted.get(n / 2) / 10,
                sorted.get((n * 99 - 1) / 100) / 10,
                sorted.get(n - 1) / 10,
                d.takeMaxCallsPerSecond(),
                d.takeMaxBytesPerSecond(),
                d.proxies.stream().mapToInt(ProxyModel::wentBackCount).sum(),
                (int) d.proxies.stream().filter(ProxyModel::hadUnusableInForce).count(),
                (int) (d.proxies.size() - same),
                new java.util.TreeMap<>(more));
    }
}

package cottonlock.lab.rollout;

import cottonlock.core.Deterministic;
import cottonlock.lab.world.World;
import cottonlock.rollout.ConfigurationVersion;
import cottonlock.rollout.RolloutVariants;
import cottonlock.setup.RolloutConfig;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Simulated proxies and control servers over zones and regions. A published version is sent to all
 * control servers at once; each second every control server also asks a random other one for what
 * it missed.
 */
@Deterministic
final class Deployment {
    static final long TICKS_PER_SECOND = 10_000;
    static final int REGIONS = 2;
    static final int ZONES = 7;
    static final int CONTROL = 17;

    /** Size of a version's content: settings of about twenty request classes. */
    private static final int VERSION_BYTES = 4_096;

    /** The shortest time until a published version reaches another control server. */
    private static final long MIN_REPLICATION_TICKS = 100;

    /** The extra replication time is drawn uniformly below this. */
    private static final long REPLICATION_SPREAD_TICKS = 1_900;

    final World world;
    final Links links;
    final List<ControlModel> control = new ArrayList<>();
    final List<ProxyModel> proxies = new ArrayList<>();

    /** Versions that fail validation at every proxy. */
    final Set<ConfigurationVersion> unusableVersions = new HashSet<>();

    private ConfigurationVersion target;
    private long targetSetAt;

    /** How long each proxy took to bring the target version into force; -1 if it has not yet. */
    private long[] ticksToTarget;

    private long[] startedAt;

    Deployment(int size, long seed, RolloutVariants variants) {
        world = new World(seed);
        links = new Links(world, REGIONS);
        for (int i = 0; i < CONTROL; i++) {
            control.add(new ControlModel(i, i % ZONES, world, links));
            int number = i;
            world.at(world.chance().nextLong(TICKS_PER_SECOND), () -> reconcile(number));
        }
        ticksToTarget = new long[size];
        startedAt = new long[size];
        ProxyModel.Content content =
                new ProxyModel.Content() {
                    @Override
                    public String fault(ConfigurationVersion version) {
                        return unusableVersions.contains(version) ? "cannot be used" : null;
                    }

                    @Override
                    public int bytes(ConfigurationVersion version) {
                        return VERSION_BYTES;
                    }
                };
        for (int i = 0; i < size; i++) {
            int zone = i % ZONES;
            List<ControlModel> nearFirst = new ArrayList<>();
            List<String> nearServers = new ArrayList<>();
            List<String> farServers = new ArrayList<>();
            for (boolean sameRegion : new boolean[] {true, false}) {
                for (ControlModel c : control) {
                    if (links.region(c.zone) == links.region(zone) == sameRegion) {
                        nearFirst.add(c);
                        (sameRegion ? nearServers : farServers).add("c" + c.number);
                    }
                }
            }
            int number = i;
            proxies.add(
                    new ProxyModel(
                            zone,
                            world,
                            links,
                            nearFirst,
                            new RolloutConfig(
                                    "s",
                                    nearServers,
                                    farServers,
                                    RolloutConfig.DEFAULT_CALL_TIMEOUT_TICKS,
                                    RolloutConfig.DEFAULT_COMPARISON_INTERVAL_TICKS,
                                    RolloutConfig.DEFAULT_MAX_RETRY_DELAY_TICKS),
                            content,
                            variants,
                            () -> onVersionChanged(number)));
        }
        for (int i = 0; i < size; i++) {
            start(i);
        }
        publish(0, new ConfigurationVersion(1, 1));
        world.until(world.now() + 20 * TICKS_PER_SECOND);
        takeMaxCallsPerSecond();
        takeMaxBytesPerSecond();
    }

    void start(int proxy) {
        startedAt[proxy] = world.now();
        proxies.get(proxy).start();
    }

    /** Asks a random other control server for what was missed; repeats every second. */
    private void reconcile(int number) {
        ControlModel one = control.get(number);
        int drawn = world.chance().nextInt(CONTROL - 1);
        ControlModel other = control.get(drawn >= number ? drawn + 1 : drawn);
        if (!one.isDown() && !other.isDown() && !links.cut(one.zone, other.zone)) {
            one.receiveVersion(other.heldVersion());
        }
        world.at(world.now() + TICKS_PER_SECOND, () -> reconcile(number));
    }

    /** Publishes a version at a control server and makes it the target. */
    void publish(int at, ConfigurationVersion version) {
        expect(version);
        announce(at, version);
    }

    /** Publishes a version without making it the target. */
    void announce(int at, ConfigurationVersion version) {
        ControlModel origin = control.get(at);
        origin.receiveVersion(version);
        for (ControlModel other : control) {
            if (other != origin && !links.cut(origin.zone, other.zone)) {
                world.at(
                        world.now()
                                + MIN_REPLICATION_TICKS
                                + world.chance().nextLong(REPLICATION_SPREAD_TICKS),
                        () -> other.receiveVersion(version));
            }
        }
    }

    /** Makes a version the target: measures from now on when it comes into force at each proxy. */
    void expect(ConfigurationVersion version) {
        target = version;
        targetSetAt = world.now();
        Arrays.fill(ticksToTarget, -1);
        for (int i = 0; i < ticksToTarget.length; i++) {
            onVersionChanged(i);
        }
    }

    private void onVersionChanged(int proxy) {
        if (target != null
                && ticksToTarget[proxy] < 0
                && proxies.get(proxy).inForce().equals(target)) {
            ticksToTarget[proxy] = world.now() - Math.max(targetSetAt, startedAt[proxy]);
        }
    }

    /**
     * Runs until these proxies hold the target, at most {@code maxTicks}; returns their times,
     * sorted.
     */
    List<Long> awaitTarget(long maxTicks, List<Integer> proxyNumbers) {
        long until = world.now() + maxTicks;
        while (world.now() < until && proxyNumbers.stream().anyMatch(i -> ticksToTarget[i] < 0)) {
            world.until(Math.min(until, world.now() + TICKS_PER_SECOND / 10));
        }
        List<Long> times = new ArrayList<>();
        proxyNumbers.forEach(i -> times.add(ticksToTarget[i]));
        Collections.sort(times);
        return times;
    }

    List<Integer> allProxies() {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < proxies.size(); i++) {
            all.add(i);
        }
        return all;
    }

    List<Integer> inRegion(int region) {
        return allProxies().stream()
                .filter(i -> links.region(proxies.get(i).zone) == region)
                .toList();
    }

    /**
     * The most calls in any second at any control server since the previous call of this method.
     */
    int takeMaxCallsPerSecond() {
        int max = 0;
        for (ControlModel c : control) {
            max = Math.max(max, c.takeMaxCallsPerSecond());
        }
        return max;
    }

    /** The most bytes in any second at any proxy since the previous call of this method. */
    long takeMaxBytesPerSecond() {
        long max = 0;
        for (ProxyModel p : proxies) {
            max = Math.max(max, p.takeMaxBytesPerSecond());
        }
        return max;
    }
}

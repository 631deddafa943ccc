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
 * Proxies and control machines over zones and regions, in virtual time. Control machines tell one
 * another what is published: each at once, and each second one that is drawn, for what was missed.
 */
@Deterministic
final class Deployment {
    static final long SECOND = 10_000;
    static final int REGIONS = 2;
    static final int ZONES = 7;
    static final int CONTROL = 17;

    /** Bytes of a version's line: settings of some twenty request classes. */
    private static final int CONTENT = 4_096;

    /** Until another control machine has what was published: from, and up to so much more. */
    private static final long REPLICATED = 100;

    private static final long REPLICATED_MORE = 1_900;

    final World world;
    final Links links;
    final List<ControlModel> control = new ArrayList<>();
    final List<ProxyModel> proxies = new ArrayList<>();

    /** Versions that can't be used, by whoever tries them. */
    final Set<ConfigurationVersion> poison = new HashSet<>();

    private ConfigurationVersion target;
    private long since;

    /** How long each proxy took until it held the target; -1: it does not yet. */
    private long[] took;

    private long[] startedAt;

    Deployment(int size, long seed, RolloutVariants habits) {
        world = new World(seed);
        links = new Links(world, REGIONS);
        for (int i = 0; i < CONTROL; i++) {
            control.add(new ControlModel(i, i % ZONES, world, links));
            int number = i;
            world.at(world.chance().nextLong(SECOND), () -> agree(number));
        }
        took = new long[size];
        startedAt = new long[size];
        ProxyModel.Content content =
                new ProxyModel.Content() {
                    @Override
                    public String fault(ConfigurationVersion version) {
                        return poison.contains(version) ? "cannot be used" : null;
                    }

                    @Override
                    public int bytes(ConfigurationVersion version) {
                        return CONTENT;
                    }
                };
        for (int i = 0; i < size; i++) {
            int zone = i % ZONES;
            List<ControlModel> nearFirst = new ArrayList<>();
            List<String> near = new ArrayList<>();
            List<String> far = new ArrayList<>();
            for (boolean same : new boolean[] {true, false}) {
                for (ControlModel c : control) {
                    if (links.region(c.zone) == links.region(zone) == same) {
                        nearFirst.add(c);
                        (same ? near : far).add("c" + c.number);
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
                                    near,
                                    far,
                                    RolloutConfig.DEFAULT_CALL_TIMEOUT_TICKS,
                                    RolloutConfig.DEFAULT_COMPARISON_INTERVAL_TICKS,
                                    RolloutConfig.DEFAULT_MAX_RETRY_DELAY_TICKS),
                            content,
                            habits,
                            () -> changed(number)));
        }
        for (int i = 0; i < size; i++) {
            start(i);
        }
        publish(0, new ConfigurationVersion(1, 1));
        world.until(world.now() + 20 * SECOND);
        worstCalls();
        worstBytes();
    }

    void start(int proxy) {
        startedAt[proxy] = world.now();
        proxies.get(proxy).start();
    }

    /** Each second one other machine is asked for what was missed. */
    private void agree(int number) {
        ControlModel one = control.get(number);
        int drawn = world.chance().nextInt(CONTROL - 1);
        ControlModel other = control.get(drawn >= number ? drawn + 1 : drawn);
        if (!one.isDown() && !other.isDown() && !links.cut(one.zone, other.zone)) {
            one.hear(other.held());
        }
        world.at(world.now() + SECOND, () -> agree(number));
    }

    /**
     * A version is published at a control machine; from now on it is the one that is waited for.
     */
    void publish(int at, ConfigurationVersion version) {
        expect(version);
        tell(at, version);
    }

    /** Published, but not the one that is waited for. */
    void tell(int at, ConfigurationVersion version) {
        ControlModel origin = control.get(at);
        origin.hear(version);
        for (ControlModel other : control) {
            if (other != origin && !links.cut(origin.zone, other.zone)) {
                world.at(
                        world.now() + REPLICATED + world.chance().nextLong(REPLICATED_MORE),
                        () -> other.hear(version));
            }
        }
    }

    /** Times count from now on, until a proxy holds this version. */
    void expect(ConfigurationVersion version) {
        target = version;
        since = world.now();
        Arrays.fill(took, -1);
        for (int i = 0; i < took.length; i++) {
            changed(i);
        }
    }

    private void changed(int proxy) {
        if (target != null && took[proxy] < 0 && proxies.get(proxy).inForce().equals(target)) {
            took[proxy] = world.now() - Math.max(since, startedAt[proxy]);
        }
    }

    /** Goes on until these proxies hold the target or so much time is over; their times, sorted. */
    List<Long> times(long most, List<Integer> of) {
        long until = world.now() + most;
        while (world.now() < until && of.stream().anyMatch(i -> took[i] < 0)) {
            world.until(Math.min(until, world.now() + SECOND / 10));
        }
        List<Long> times = new ArrayList<>();
        of.forEach(i -> times.add(took[i]));
        Collections.sort(times);
        return times;
    }

    List<Integer> all() {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < proxies.size(); i++) {
            all.add(i);
        }
        return all;
    }

    List<Integer> inRegion(int region) {
        return all().stream().filter(i -> links.region(proxies.get(i).zone) == region).toList();
    }

    /** The most calls of any second at any control machine since it was last asked. */
    int worstCalls() {
        int worst = 0;
        for (ControlModel c : control) {
            worst = Math.max(worst, c.worstSecond());
        }
        return worst;
    }

    /** The most bytes of any second at any proxy since it was last asked. */
    long worstBytes() {
        long worst = 0;
        for (ProxyModel p : proxies) {
            worst = Math.max(worst, p.worstSecond());
        }
        return worst;
    }
}

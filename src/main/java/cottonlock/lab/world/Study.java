package cottonlock.lab.world;

import cottonlock.core.Deterministic;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Measures the membership protocol at one fleet size and packet loss in virtual time: a phase
 * without faults, deaths one after the other, and a split into halves that heals.
 */
@Deterministic
public final class Study {
    private static final long TICKS_PER_SECOND = 10_000;
    private static final long MAX_WAIT_TICKS = 120 * TICKS_PER_SECOND;

    /**
     * The results; times in milliseconds. A death that is not noticed within the time limit counts
     * with that limit; joining and healing are -1 if the views did not become right in time.
     *
     * @param firstMillis until the first member noticed a death, median
     * @param worstFirstMillis the same, worst
     * @param allMillis until all members noticed a death, median
     * @param worstAllMillis the same, worst
     * @param falseFailuresPerHour live members of the whole fleet that were called failed, per hour
     * @param hours for how long these were counted
     * @param meanBytes sent by one member per second, on average
     * @param worstBytes the most that any member sent in a second
     * @param joinedMillis from the start until all views were right
     * @param healedMillis from the end of the split until all views were right
     */
    public record Row(
            int size,
            double loss,
            long firstMillis,
            long worstFirstMillis,
            long allMillis,
            long worstAllMillis,
            double falseFailuresPerHour,
            double hours,
            long meanBytes,
            long worstBytes,
            long joinedMillis,
            long healedMillis) {}

    private Study() {}

    /**
     * Runs the simulation.
     *
     * @param deathCount how many members are killed, one after the other
     * @param quietSeconds length of the phase without faults in which false failures and bytes are
     *     counted
     */
    public static Row run(
            long seed,
            int size,
            double loss,
            int deathCount,
            int quietSeconds,
            MembershipProtocolConfig rules) {
        World world = new World(seed);
        Fleet fleet = new Fleet(world, size, rules);
        // As between machines of one data centre: about a millisecond.
        world.delay(2, 10);
        world.trouble(loss, 0, 0);
        fleet.startAll(TICKS_PER_SECOND);
        world.until(TICKS_PER_SECOND + 1);
        long joinTicks = fleet.untilAgreed(MAX_WAIT_TICKS);
        world.until(world.now() + 10 * TICKS_PER_SECOND);
        long sent = fleet.nodes.stream().mapToLong(n -> n.sent).sum();
        int failuresBefore = fleet.falseFailures.size();
        world.until(world.now() + quietSeconds * TICKS_PER_SECOND);
        long meanBytes =
                (fleet.nodes.stream().mapToLong(n -> n.sent).sum() - sent)
                        / size
                        / Math.max(1, quietSeconds);
        double hours = quietSeconds / 3600.0;
        double falseFailuresPerHour = fleet.wrongedCount(failuresBefore) / hours;
        List<Long> first = new ArrayList<>();
        List<Long> all = new ArrayList<>();
        for (int d = 0; d < deathCount; d++) {
            Fleet.Node dead = fleet.nodes.get(world.chance().nextInt(size));
            dead.kill();
            long firstTicks = fleet.untilFailed(dead, false, MAX_WAIT_TICKS);
            long remainingTicks = fleet.untilFailed(dead, true, MAX_WAIT_TICKS);
            first.add(firstTicks < 0 ? MAX_WAIT_TICKS : firstTicks);
            all.add(
                    firstTicks < 0 || remainingTicks < 0
                            ? MAX_WAIT_TICKS
                            : firstTicks + remainingTicks);
            dead.start(0);
            world.until(world.now() + 10 * TICKS_PER_SECOND);
            fleet.untilAgreed(MAX_WAIT_TICKS);
        }
        fleet.split(2);
        world.until(world.now() + 40 * TICKS_PER_SECOND);
        fleet.split(1);
        long healTicks = fleet.untilAgreed(MAX_WAIT_TICKS);
        Collections.sort(first);
        Collections.sort(all);
        long worstBytes = fleet.nodes.stream().mapToLong(n -> n.worstSecond).max().orElse(0);
        return new Row(
                size,
                loss,
                first.get(deathCount / 2) / 10,
                first.get(deathCount - 1) / 10,
                all.get(deathCount / 2) / 10,
                all.get(deathCount - 1) / 10,
                falseFailuresPerHour,
                hours,
                meanBytes,
                worstBytes,
                joinTicks < 0 ? -1 : joinTicks / 10,
                healTicks < 0 ? -1 : healTicks / 10);
    }
}

package cottonlock.lab.world;

import cottonlock.core.Deterministic;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * What knowing one another costs and brings at one size and loss, in virtual time: deaths found one
 * after the other, a quiet stretch, a split into halves and its heal.
 */
@Deterministic
public final class Study {
    private static final long SECOND = 10_000;
    private static final long MOST = 120 * SECOND;

    /**
     * What was found; times in milliseconds, -1 where it never was.
     *
     * @param first until the first knows of a death: median and worst
     * @param all until all know
     * @param falseHour members that lived and were called failed, for each hour of the whole
     *     fleet's
     * @param hours over how long that was counted
     * @param mean bytes a second of one member in the mean
     * @param worst the most bytes of any member in a second
     * @param heal from the end of a split into halves until all views are right
     */
    public record Row(
            int size,
            double loss,
            long first,
            long worstFirst,
            long all,
            long worstAll,
            double falseHour,
            double hours,
            long mean,
            long worst,
            long joined,
            long heal) {}

    private Study() {}

    /**
     * Plays it.
     *
     * @param deaths how many are killed, one after the other
     * @param quiet seconds without a fault, for false failures and bytes
     */
    public static Row of(
            long seed,
            int size,
            double loss,
            int deaths,
            int quiet,
            MembershipProtocolConfig rules) {
        World world = new World(seed);
        Fleet fleet = new Fleet(world, size, rules);
        // As between machines of one room: a millisecond or so.
        world.delay(2, 10);
        world.trouble(loss, 0, 0);
        fleet.startAll(SECOND);
        world.until(SECOND + 1);
        long joined = fleet.untilAgreed(MOST);
        world.until(world.now() + 10 * SECOND);
        long sent = fleet.nodes.stream().mapToLong(n -> n.sent).sum();
        int wrong = fleet.falseFailures.size();
        world.until(world.now() + quiet * SECOND);
        long mean =
                (fleet.nodes.stream().mapToLong(n -> n.sent).sum() - sent)
                        / size
                        / Math.max(1, quiet);
        double hours = quiet / 3600.0;
        double falseHour = fleet.wronged(wrong) / hours;
        List<Long> first = new ArrayList<>();
        List<Long> all = new ArrayList<>();
        for (int d = 0; d < deaths; d++) {
            Fleet.Node dead = fleet.nodes.get(world.chance().nextInt(size));
            dead.kill();
            long one = fleet.untilFailed(dead, false, MOST);
            long rest = fleet.untilFailed(dead, true, MOST);
            first.add(one < 0 ? MOST : one);
            all.add(one < 0 || rest < 0 ? MOST : one + rest);
            dead.start(0);
            world.until(world.now() + 10 * SECOND);
            fleet.untilAgreed(MOST);
        }
        fleet.split(2);
        world.until(world.now() + 40 * SECOND);
        fleet.split(1);
        long heal = fleet.untilAgreed(MOST);
        Collections.sort(first);
        Collections.sort(all);
        long worst = fleet.nodes.stream().mapToLong(n -> n.worstSecond).max().orElse(0);
        return new Row(
                size,
                loss,
                first.get(deaths / 2) / 10,
                first.get(deaths - 1) / 10,
                all.get(deaths / 2) / 10,
                all.get(deaths - 1) / 10,
                falseHour,
                hours,
                mean,
                worst,
                joined < 0 ? -1 : joined / 10,
                heal < 0 ? -1 : heal / 10);
    }
}

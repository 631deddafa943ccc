package cottonlock.rollout;

import cottonlock.core.Deterministic;
import cottonlock.setup.RolloutConfig;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Decides which version of the settings a proxy holds, and which control machine it calls when.
 * Whoever carries it keeps one watch, on the machine that {@link #watch} names, and tells what
 * comes of it; between lines, and at {@link #lookAt}, it asks {@link #leaves} and {@link #compare}.
 * Times are tenths of a millisecond and never go back. Not for several threads.
 */
@Deterministic
public final class ConfigurationRollout {
    /**
     * A watch without a line for this long is lost: two of the empty lines that come every two
     * seconds.
     */
    public static final long SILENCE = 40_000;

    /**
     * Within it proxies that start make their first calls: a fleet that starts at once is spread
     * over it.
     */
    private static final long START = 20_000;

    /**
     * So long the watched machine may not know yet what another has told: machines learn from one
     * another within this, and a watch that moved at once would move at each change.
     */
    private static final long LEARNS = 5_000;

    /** Refused versions that are remembered: more are not told in a row before somebody looks. */
    private static final int REFUSED = 16;

    /**
     * The next watch.
     *
     * @param machine its number: near ones from 0 on, then far ones
     * @param at when it is to be called
     * @param limit how long it has until the answer's head and first line are there
     */
    public record Call(int machine, long at, long limit) {}

    /**
     * What a pager is told; times since when, -1: it isn't so.
     *
     * @param inForce the version in force; {@link ConfigurationVersion#NONE}: the file's settings
     * @param known the highest that has been told
     * @param behind since when a higher one is known than is in force
     * @param lost since when no control machine is watched
     * @param ahead since when the watched one tells of less than is known
     * @param refused versions that were refused
     * @param calls calls at control machines, comparisons among them
     * @param failed calls and watches that failed
     */
    public record Figures(
            ConfigurationVersion inForce,
            ConfigurationVersion known,
            long behind,
            long lost,
            long ahead,
            long refused,
            long calls,
            long failed) {}

    private final RolloutConfig plan;
    private final int near;
    private final int machines;
    private final SplittableRandom chance;
    private final RolloutVariants habits;
    private ConfigurationVersion inForce;
    private ConfigurationVersion known;

    /** Those that can't be used, by what was wrong with them; the oldest are forgotten. */
    private final Map<ConfigurationVersion, String> refused = new LinkedHashMap<>();

    private ConfigurationVersion lastRefused = ConfigurationVersion.NONE;
    private long behindSince = -1;
    private long lostSince;
    private long refusals;
    private long calls;
    private long failures;

    /**
     * The order of this round of calls, how many of them have failed, and whether it is the first
     * round.
     */
    private int[] order;

    private int tried;
    private int failedInARow;
    private boolean firstRound = true;
    private long nextAt;
    private long calledAt;

    /**
     * The machine that is called or watched, -1 none; since when its watch stands, -1: it doesn't
     * yet.
     */
    private int watched = -1;

    private long standsSince = -1;
    private ConfigurationVersion toldByWatched;

    /** Since when the watched machine has told of less than is known; -1: it has not. */
    private long aheadSince = -1;

    private long compareAt;

    /**
     * The machine that told of more than the watched one has, -1 none; what, and when the watch
     * moves.
     */
    private int moveTo = -1;

    private ConfigurationVersion moveFor;
    private long moveAt;

    /** Begins with what an earlier process kept, {@link ConfigurationVersion#NONE} without any. */
    public ConfigurationRollout(
            long now, RolloutConfig plan, ConfigurationVersion kept, SplittableRandom chance) {
        this(now, plan, kept, chance, RolloutVariants.USUAL);
    }

    /** The same with other habits, for tests. */
    public ConfigurationRollout(
            long now,
            RolloutConfig plan,
            ConfigurationVersion kept,
            SplittableRandom chance,
            RolloutVariants habits) {
        this.plan = plan;
        this.near = plan.nearControlAddresses().size();
        this.machines = near + plan.farControlAddresses().size();
        this.chance = chance;
        this.habits = habits;
        this.inForce = kept;
        this.known = kept;
        this.lostSince = now;
        order = order(-1);
        nextAt = now + upTo(START);
        calledAt = now;
    }

    /** The machine to be watched next; whoever asks calls it at that time. */
    public Call watch(long now) {
        calls++;
        watched = order[tried];
        standsSince = -1;
        toldByWatched = null;
        aheadSince = -1;
        moveTo = -1;
        calledAt = Math.max(now, nextAt);
        // An overloaded control that needs longer than a call is given would never be reached.
        return new Call(
                watched,
                calledAt,
                firstRound
                        ? plan.callTimeoutTicks()
                        : Math.max(plan.callTimeoutTicks(), plan.maxRetryDelayTicks() / 2));
    }

    /**
     * The watched machine has told of a version with its content, or which one it holds. Whether
     * the content is to be judged: {@link #taken} or {@link #refused} says how that ended.
     */
    public boolean told(long now, ConfigurationVersion version) {
        if (standsSince < 0) {
            standsSince = now;
            lostSince = -1;
            compareAt = now + about(plan.comparisonIntervalTicks());
        }
        toldByWatched = version;
        if (moveTo >= 0 && !habits.outweighs(moveFor, version)) {
            moveTo = -1;
        }
        hears(now, version);
        return habits.outweighs(version, inForce) && !refused.containsKey(version);
    }

    /** A machine that was asked by {@link #compare} has told which version it holds. */
    public void compared(long now, int machine, ConfigurationVersion version) {
        hears(now, version);
        if (machine != watched
                && toldByWatched != null
                && habits.outweighs(version, toldByWatched)
                && !habits.outweighs(inForce, version)) {
            moveTo = machine;
            moveFor = version;
            moveAt = now + LEARNS;
        }
    }

    private void hears(long now, ConfigurationVersion version) {
        if (habits.outweighs(version, known)) {
            known = version;
            behindSince = behindSince < 0 ? now : behindSince;
        }
        boolean less = toldByWatched != null && habits.outweighs(known, toldByWatched);
        aheadSince = !less ? -1 : aheadSince < 0 ? now : aheadSince;
    }

    /** A version is in force: all of it. */
    public void taken(ConfigurationVersion version) {
        inForce = version;
        if (!habits.outweighs(known, inForce)) {
            behindSince = -1;
        }
    }

    /** A version can't be used: what is in force stays so, and this one is not judged again. */
    public void refused(ConfigurationVersion version, String why) {
        refusals++;
        refused.put(version, why);
        if (refused.size() > REFUSED) {
            refused.remove(refused.keySet().iterator().next());
        }
        if (habits.outweighs(version, lastRefused)) {
            lastRefused = version;
        }
    }

    /** The version that a call names, so that only what is newer is told whole. */
    public ConfigurationVersion asks() {
        return habits.outweighs(lastRefused, inForce) ? lastRefused : inForce;
    }

    /**
     * The watch is left as {@link #leaves} asked: the next one is on the machine that knows more.
     */
    public void left(long now) {
        firstRound = true;
        failedInARow = 0;
        tried = 0;
        order = order(watched);
        int at = 0;
        while (order[at] != moveTo) {
            at++;
        }
        order[at] = order[0];
        order[0] = moveTo;
        watched = -1;
        standsSince = -1;
        lostSince = now;
        nextAt = now;
    }

    /** The watch has failed or could not be begun. */
    public void ended(long now) {
        failures++;
        failedInARow++;
        boolean stood = standsSince >= 0 && now - standsSince >= SILENCE;
        if (lostSince < 0) {
            lostSince = now;
        }
        if (stood) {
            // What failed long ago says nothing of now; what ended at once, time and again, goes on
            // failing.
            failedInARow = 1;
            firstRound = true;
            tried = 0;
            order = order(watched);
        } else if (habits.movesOn()) {
            tried++;
        }
        if (tried == machines) {
            tried = 0;
            firstRound = false;
            order = order(-1);
        }
        watched = -1;
        standsSince = -1;
        if (!habits.paces()) {
            nextAt = now;
        } else if (firstRound && habits.movesOn()) {
            // Counted from the last call's start: those that are refused at once come no faster.
            long begun = stood ? now : Math.max(now, calledAt + plan.callTimeoutTicks());
            nextAt = begun + plan.callTimeoutTicks() / 8 + upTo(plan.callTimeoutTicks() / 2);
        } else {
            long longest = habits.longestWait(plan.maxRetryDelayTicks(), failedInARow);
            nextAt = now + longest / 2 + upTo(longest / 2);
        }
    }

    /** A machine to be asked now what it holds, or -1; what it answers is {@link #compared}. */
    public int compare(long now) {
        if (standsSince < 0 || now < compareAt || machines < 2 || !habits.compares()) {
            return -1;
        }
        calls++;
        compareAt = now + about(plan.comparisonIntervalTicks());
        int other = chance.nextInt(machines - 1);
        return other >= watched ? other + 1 : other;
    }

    /** When to look next, though no line comes; far away while no watch stands. */
    public long lookAt() {
        return standsSince < 0
                ? Long.MAX_VALUE
                : moveTo < 0 ? compareAt : Math.min(compareAt, moveAt);
    }

    /** The machine that was to be compared with has not answered. */
    public void compareFailed() {
        failures++;
    }

    /** Whether the watch is to be given up for a machine that knows more. */
    public boolean leaves(long now) {
        return moveTo >= 0 && now >= moveAt;
    }

    /** As it stands, for operators. */
    public Figures figures() {
        return new Figures(
                inForce, known, behindSince, lostSince, aheadSince, refusals, calls, failures);
    }

    /** Why a version was refused; null: it was not, or is forgotten. */
    public String whyRefused(ConfigurationVersion version) {
        return refused.get(version);
    }

    /**
     * Near ones, then far ones, each in an order of chance; the one watched last, if any, behind
     * all.
     */
    private int[] order(int last) {
        int[] drawn = new int[machines];
        for (int i = 0; i < machines; i++) {
            drawn[i] = i;
        }
        shuffle(drawn, 0, habits.nearFirst() ? near : machines);
        shuffle(drawn, habits.nearFirst() ? near : machines, machines);
        for (int i = 0; i < machines - 1; i++) {
            if (drawn[i] == last) {
                drawn[i] = drawn[i + 1];
                drawn[i + 1] = last;
            }
        }
        return drawn;
    }

    private void shuffle(int[] all, int from, int to) {
        for (int i = to - 1; i > from; i--) {
            int j = from + chance.nextInt(i - from + 1);
            int swapped = all[i];
            all[i] = all[j];
            all[j] = swapped;
        }
    }

    private long about(long time) {
        return time * 3 / 4 + upTo(time / 2);
    }

    private long upTo(long most) {
        return habits.spreads() ? chance.nextLong(most + 1) : most;
    }
}

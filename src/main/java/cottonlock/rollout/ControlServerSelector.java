package cottonlock.rollout;

import cottonlock.core.Deterministic;
import cottonlock.setup.RolloutConfig;
import java.util.SplittableRandom;

/**
 * Failover between control servers: which one is called next, when, and with which timeout.
 *
 * <p>Servers are tried round by round, each round in a random order of the near servers and then of
 * the far ones. Calls of the first round follow one another quickly; once a whole round has failed,
 * each call is preceded by a backoff. Not thread-safe.
 */
@Deterministic
final class ControlServerSelector {
    /** The index that stands for no server. */
    static final int NO_SERVER = -1;

    /** Start-up calls of a fleet that starts at once are spread over this time. */
    private static final long STARTUP_SPREAD_TICKS = 20_000;

    private final RolloutConfig config;
    private final int nearServerCount;
    private final int serverCount;
    private final SplittableRandom random;
    private final RolloutVariants variants;
    private final Jitter jitter;

    /** The servers' indices in the order of this round, and the position of the next one in it. */
    private int[] order;

    private int position;
    private boolean firstRound = true;
    private int consecutiveFailures;

    /** When the next call may start, and when the last one did. */
    private long nextCallAtTicks;

    private long lastCallAtTicks;

    /** The server that is called or watched, or {@link #NO_SERVER}. */
    private int current = NO_SERVER;

    ControlServerSelector(
            long nowTicks,
            RolloutConfig config,
            SplittableRandom random,
            RolloutVariants variants) {
        this.config = config;
        this.nearServerCount = config.nearControlAddresses().size();
        this.serverCount = nearServerCount + config.farControlAddresses().size();
        this.random = random;
        this.variants = variants;
        this.jitter = new Jitter(random, variants.jitters());
        this.order = shuffledOrder(NO_SERVER);
        this.nextCallAtTicks = nowTicks + jitter.upTo(STARTUP_SPREAD_TICKS);
        this.lastCallAtTicks = nowTicks;
    }

    /** The server that is called or watched, or {@link #NO_SERVER}. */
    int current() {
        return current;
    }

    /** Whether there is a server besides the current one. */
    boolean hasOthers() {
        return serverCount > 1;
    }

    /** Another server than the current one, at random; there must be one. */
    int randomOther() {
        int other = random.nextInt(serverCount - 1);
        return other >= current ? other + 1 : other;
    }

    /** The next call; its server is the current one from now on. */
    WatchAttempt nextAttempt(long nowTicks) {
        current = order[position];
        lastCallAtTicks = Math.max(nowTicks, nextCallAtTicks);
        return new WatchAttempt(current, lastCallAtTicks, timeoutTicks());
    }

    /** Later rounds wait longer: an overloaded server may need more than the usual timeout. */
    private long timeoutTicks() {
        return firstRound
                ? config.callTimeoutTicks()
                : Math.max(config.callTimeoutTicks(), config.maxRetryDelayTicks() / 2);
    }

    /** The watch on the current server moves to another one without any delay. */
    void migrate(long nowTicks, int server) {
        startFirstRound(0);
        int index = 0;
        while (order[index] != server) {
            index++;
        }
        order[index] = order[0];
        order[0] = server;
        current = NO_SERVER;
        nextCallAtTicks = nowTicks;
    }

    /**
     * The call or watch has failed.
     *
     * @param wasStable whether the watch had been established for long: earlier failures count no
     *     more then
     */
    void recordFailure(long nowTicks, boolean wasStable) {
        consecutiveFailures++;
        if (wasStable) {
            startFirstRound(1);
        } else if (variants.failsOver()) {
            position++;
        }
        if (position == serverCount) {
            position = 0;
            firstRound = false;
            order = shuffledOrder(NO_SERVER);
        }
        current = NO_SERVER;
        nextCallAtTicks = nextCallAfterFailure(nowTicks, wasStable);
    }

    private void startFirstRound(int failures) {
        consecutiveFailures = failures;
        firstRound = true;
        position = 0;
        order = shuffledOrder(current);
    }

    private long nextCallAfterFailure(long nowTicks, boolean wasStable) {
        if (!variants.backsOff()) {
            return nowTicks;
        }
        if (firstRound && variants.failsOver()) {
            // Counted from the start of the last call: a refused connection must not speed it up.
            long callEndTicks =
                    wasStable
                            ? nowTicks
                            : Math.max(nowTicks, lastCallAtTicks + config.callTimeoutTicks());
            return callEndTicks
                    + config.callTimeoutTicks() / 8
                    + jitter.upTo(config.callTimeoutTicks() / 2);
        }
        long maxTicks = variants.maxBackoffTicks(config.maxRetryDelayTicks(), consecutiveFailures);
        return nowTicks + jitter.upperHalfOf(maxTicks);
    }

    /**
     * Near servers, then far ones, each group in a random order; the given one, if any, last of
     * all.
     */
    private int[] shuffledOrder(int last) {
        int[] shuffled = new int[serverCount];
        for (int i = 0; i < serverCount; i++) {
            shuffled[i] = i;
        }
        int firstGroupEnd = variants.prefersNearServers() ? nearServerCount : serverCount;
        shuffle(shuffled, 0, firstGroupEnd);
        shuffle(shuffled, firstGroupEnd, serverCount);
        for (int i = 0; i < serverCount - 1; i++) {
            if (shuffled[i] == last) {
                shuffled[i] = shuffled[i + 1];
                shuffled[i + 1] = last;
            }
        }
        return shuffled;
    }

    private void shuffle(int[] all, int from, int to) {
        for (int i = to - 1; i > from; i--) {
            int other = from + random.nextInt(i - from + 1);
            int swapped = all[i];
            all[i] = all[other];
            all[other] = swapped;
        }
    }
}

package cottonlock.rollout;

import cottonlock.core.Deterministic;
import cottonlock.setup.RolloutConfig;
import java.util.SplittableRandom;

/**
 * Failover between control servers: selects which one is called next, when, and with which timeout.
 *
 * <p>Servers are tried in rounds. Each round tries the near servers in a random order and then the
 * far ones in a random order. Calls of the first round follow one another quickly; once a whole
 * round has failed, a backoff precedes each call. Not thread-safe.
 */
@Deterministic
final class ControlServerSelector {
    /** Index that means no server. */
    static final int NO_SERVER = -1;

    /**
     * The first call is delayed by up to this time, so that a fleet started at once spreads its
     * calls.
     */
    private static final long STARTUP_SPREAD_TICKS = 20_000;

    private final RolloutConfig config;
    private final int nearServerCount;
    private final int serverCount;
    private final SplittableRandom random;
    private final RolloutVariants variants;
    private final Jitter jitter;

    /** The servers' indices in the order of the current round. */
    private int[] order;

    /** Position in {@link #order} of the server to call next. */
    private int position;

    private boolean firstRound = true;
    private int consecutiveFailures;

    /** Earliest start of the next call. */
    private long nextCallAtTicks;

    /** Start of the last call. */
    private long lastCallAtTicks;

    /** The server that is being called or watched, or {@link #NO_SERVER}. */
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

    /** Returns the server that is being called or watched, or {@link #NO_SERVER}. */
    int current() {
        return current;
    }

    /** Returns whether there is more than one server. */
    boolean hasOthers() {
        return serverCount > 1;
    }

    /** Returns a random server other than the current one; there must be one. */
    int randomOther() {
        int other = random.nextInt(serverCount - 1);
        return other >= current ? other + 1 : other;
    }

    /** Returns the next call and makes its server the current one. */
    WatchAttempt nextAttempt(long nowTicks) {
        current = order[position];
        lastCallAtTicks = Math.max(nowTicks, nextCallAtTicks);
        return new WatchAttempt(current, lastCallAtTicks, timeoutTicks());
    }

    /** Returns a longer timeout after the first round: an overloaded server may need more time. */
    private long timeoutTicks() {
        return firstRound
                ? config.callTimeoutTicks()
                : Math.max(config.callTimeoutTicks(), config.maxRetryDelayTicks() / 2);
    }

    /** Ends the watch on the current server; the next call goes to the given one without delay. */
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
     * Records that the call or watch has failed, and schedules the next call.
     *
     * @param wasStable whether the watch had been established long enough for earlier failures to
     *     no longer count
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
            // Measured from the start of the last call, so that a connection refused at once does
            // not make the next call earlier.
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
     * Returns the near servers and then the far ones, each group in a random order.
     *
     * @param last the server to move to the end, or {@link #NO_SERVER}
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

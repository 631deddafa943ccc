package cottonlock.decision.backend;

import cottonlock.decision.api.Endpoint;
import cottonlock.decision.api.SlowStartConfig;
import cottonlock.decision.stats.SlidingWindowSum;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The state of one backend, as known to this load balancer: its entry in the endpoint list and the
 * results of the attempts sent to it. The classes of this package change it; others read it. Owned
 * by the load balancer's thread.
 */
public final class Backend {
    /** Window of recent outcomes, in mean latency objectives. */
    private static final double OUTCOME_WINDOW_OBJECTIVES = 1.28;

    /** Window of the gaps between responses, in mean latency objectives. */
    private static final double RESPONSE_GAP_WINDOW_OBJECTIVES = 19.2;

    private static final int OUTCOME_BUCKETS = 8;
    private static final int RESPONSE_GAP_BUCKETS = 10;
    private static final int COMPLETION_BUCKETS = 10;

    private final String id;
    Endpoint endpoint;

    /** Whether it drains or is gone. */
    private boolean leaving;

    /** Whether it has left the list but may be used as long as it answers. */
    boolean delisted;

    /** The index of its tenant's lane; the number of tenants if it is in no lane. */
    int laneIndex;

    /** The requests that have an attempt in flight here, by id, in the order of sending. */
    final Map<Long, BackendRequest> requestsInFlight = new LinkedHashMap<>();

    /** Attempts that have no outcome yet. */
    int inFlight;

    /**
     * Attempts in flight whose response is no longer expected because the backend was found silent.
     */
    int inFlightOverdue;

    /** Attempts in flight to which the backend has begun to respond. */
    int inFlightResponding;

    /** Whether a connection to it may be open. */
    boolean connectionMayBeOpen;

    /** When an attempt last ended here. */
    long idleSinceTicks;

    /** The speed of its kind of machine relative to the mean of all; above 1 is faster. */
    double relativeSpeed = 1;

    /** Failures since the last completed attempt; a detected silence counts as several. */
    int consecutiveFailures;

    /** Whether it was found lost since peers were last notified. */
    boolean lossUnreported;

    /** When it last responded, or when an attempt was last sent while no response was expected. */
    long lastSignOfLifeTicks;

    /** Attempts that completed in time, over the window of recent outcomes. */
    final SlidingWindowSum successes;

    /** Attempts that failed or were slow, over the window of recent outcomes. */
    final SlidingWindowSum failures;

    /** Number of gaps between responses while attempts were in flight. */
    final SlidingWindowSum responseGaps;

    /** Sum of these gaps in ticks, each multiplied by the number of attempts in flight. */
    final SlidingWindowSum responseGapTicks;

    /** Attempts of this load balancer completed here, over SlowStartConfig.overloadWindowTicks. */
    final SlidingWindowSum completions;

    /** While warming up: when it was last sent a request, or was first considered for one. */
    long lastSentAtTicks;

    /** While warming up: the interval until the next request, relative to the mean interval. */
    double spacingFactor;

    /** The start time, from the endpoint list, for which the spacing factor was drawn. */
    long spacedForStartTicks = -1;

    Backend(Endpoint endpoint, SlowStartConfig slowStart, long meanLatencyObjectiveTicks) {
        this.id = endpoint.id();
        this.endpoint = endpoint;
        long outcomeWindowTicks = Math.round(OUTCOME_WINDOW_OBJECTIVES * meanLatencyObjectiveTicks);
        long responseGapWindowTicks =
                Math.round(RESPONSE_GAP_WINDOW_OBJECTIVES * meanLatencyObjectiveTicks);
        successes = new SlidingWindowSum(outcomeWindowTicks, OUTCOME_BUCKETS);
        failures = new SlidingWindowSum(outcomeWindowTicks, OUTCOME_BUCKETS);
        responseGaps = new SlidingWindowSum(responseGapWindowTicks, RESPONSE_GAP_BUCKETS);
        responseGapTicks = new SlidingWindowSum(responseGapWindowTicks, RESPONSE_GAP_BUCKETS);
        completions = new SlidingWindowSum(slowStart.overloadWindowTicks(), COMPLETION_BUCKETS);
    }

    /** Its id in the endpoint list. */
    public String id() {
        return id;
    }

    /** The number of attempts that have no outcome yet. */
    public int inFlight() {
        return inFlight;
    }

    /** The ids of the requests with an attempt in flight here, in the order of sending. */
    public List<Long> requestIdsInFlight() {
        return List.copyOf(requestsInFlight.keySet());
    }

    /** Attempts that completed in time within the window of recent outcomes. */
    public long recentSuccesses(long nowTicks) {
        return successes.sum(nowTicks);
    }

    /** Whether it drains or is gone, so that it gets no new requests. */
    public boolean isLeaving() {
        return leaving;
    }

    /** The number of attempts in flight whose response is still expected. */
    int inFlightAwaited() {
        return inFlight - inFlightOverdue - inFlightResponding;
    }

    /** Its capacity relative to other backends, from the list; 1 where the list gives none. */
    double capacityWeight() {
        return endpoint.capacityWeight() > 0 ? endpoint.capacityWeight() : 1;
    }

    /** Excludes it from new requests. */
    void markLeaving() {
        leaving = true;
    }

    /** Applies a new entry of the list; a restarted process has no history of outcomes. */
    void update(Endpoint newEndpoint) {
        if (newEndpoint.startedAtTicks() > endpoint.startedAtTicks()) {
            consecutiveFailures = 0;
            failures.clear();
            successes.clear();
        }
        endpoint = newEndpoint;
        delisted = false;
        if (newEndpoint.state() == Endpoint.State.READY) {
            leaving = false;
        }
    }
}

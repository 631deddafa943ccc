package cottonlock.decision.admission;

import cottonlock.decision.request.Request;
import cottonlock.decision.stats.SlidingWindowMin;
import cottonlock.decision.stats.SlidingWindowSum;

/**
 * Throughput and latency of recently completed requests, and the typical latency of calm times for
 * comparison. Owned by the load balancer's thread. Times are in {@link cottonlock.core.Ticks}.
 */
final class LatencyStatistics {
    /** The measured time span, in mean latency objectives. */
    private static final double SPAN_OBJECTIVES = 1.28;

    private static final int SPAN_SLOTS = 20;

    /** How long a calm latency is remembered, in measured spans. */
    private static final int CALM_SPANS = 15;

    private static final int CALM_SLOTS = 6;

    /** The minimum number of completed requests from which pressure is inferred. */
    private static final int MIN_COMPLETED_FOR_PRESSURE = 10;

    /** The minimum number of completed requests from which a calm latency is taken. */
    private static final int MIN_COMPLETED_FOR_CALM = 20;

    /**
     * The increase of the mean natural logarithm of the latency that shows pressure: the latency is
     * about a fifth higher.
     */
    private static final double PRESSURE_LOG_INCREASE = 0.2;

    /** Logarithms are summed as integers, in thousandths. */
    private static final double LOG_SCALE = 1000.0;

    private final long spanTicks;
    private final SlidingWindowSum completed;
    private final SlidingWindowSum objectiveTicks;
    private final SlidingWindowSum capacityTicks;
    private final SlidingWindowSum logLatency;

    /** The lowest recent mean logarithm of the latency. */
    private final SlidingWindowMin calmLogLatency;

    /** When the first request arrived; -1 before it. */
    private long firstRequestAtTicks = -1;

    /** Statistics without samples, for this mean latency objective. */
    LatencyStatistics(long meanObjectiveTicks) {
        spanTicks = Math.round(SPAN_OBJECTIVES * meanObjectiveTicks);
        completed = new SlidingWindowSum(spanTicks, SPAN_SLOTS);
        objectiveTicks = new SlidingWindowSum(spanTicks, SPAN_SLOTS);
        capacityTicks = new SlidingWindowSum(spanTicks, SPAN_SLOTS);
        logLatency = new SlidingWindowSum(spanTicks, SPAN_SLOTS);
        calmLogLatency = new SlidingWindowMin(CALM_SPANS * spanTicks, CALM_SLOTS);
    }

    /** A request has arrived. */
    void onRequest(long nowTicks) {
        firstRequestAtTicks = firstRequestAtTicks < 0 ? nowTicks : firstRequestAtTicks;
    }

    /** Records the time for which a completed request counted against the limit. */
    void recordCapacityUse(long heldTicks, long nowTicks) {
        capacityTicks.add(nowTicks, heldTicks);
    }

    /** Records the latency of a completed request since its admission. */
    void recordLatency(Request request, long latencyTicks, long nowTicks) {
        logLatency.add(nowTicks, Math.round(LOG_SCALE * Math.log((double) (1 + latencyTicks))));
        completed.add(nowTicks, 1);
        objectiveTicks.add(nowTicks, request.requestClass().latencyObjectiveTicks());
    }

    /**
     * The mean concurrency by Little's law: the time for which requests counted against the limit,
     * divided by the measured time span.
     */
    double meanConcurrency(long nowTicks) {
        return capacityTicks.sum(nowTicks) / measuredTicks(nowTicks);
    }

    /** The requests that can complete while each waits for this fraction of its objective. */
    double completionsWithin(double objectiveFraction, long nowTicks) {
        return objectiveTicks.sum(nowTicks) * objectiveFraction / measuredTicks(nowTicks);
    }

    /** The latency in calm times divided by the present one: 1 when calm, less under load. */
    double calmRatio(long nowTicks) {
        return Math.exp(calmLogLatency.value() - typicalLogLatency(nowTicks));
    }

    /** Whether a calm latency is known and the present one is not clearly longer. */
    boolean isCalm(long nowTicks) {
        return calmLogLatency.value() < Double.POSITIVE_INFINITY && !isUnderPressure(nowTicks);
    }

    /** Whether responses take clearly longer than in calm times. */
    boolean isUnderPressure(long nowTicks) {
        return completed.sum(nowTicks) >= MIN_COMPLETED_FOR_PRESSURE
                && typicalLogLatency(nowTicks) > calmLogLatency.value() + PRESSURE_LOG_INCREASE;
    }

    /**
     * Takes the present typical latency as a sample for calm times. Skipped while few of the
     * requests in flight can have completed, as after a start: fast responses arrive first and
     * would lower the sample.
     */
    void sampleCalmLatency(int inFlight, long nowTicks) {
        long samples = completed.sum(nowTicks);
        if (nowTicks - firstRequestAtTicks >= spanTicks
                && samples >= MIN_COMPLETED_FOR_CALM
                && samples >= 2L * inFlight) {
            calmLogLatency.add(nowTicks, typicalLogLatency(nowTicks));
        }
    }

    /** The mean logarithm of the latency: a few expensive requests hardly change it. */
    private double typicalLogLatency(long nowTicks) {
        return logLatency.sum(nowTicks) / LOG_SCALE / Math.max(1, completed.sum(nowTicks));
    }

    private double measuredTicks(long nowTicks) {
        return Math.min(spanTicks, Math.max(1, nowTicks - firstRequestAtTicks));
    }
}

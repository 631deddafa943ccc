package cottonlock.decision.backend;

import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.stats.BetaDistribution;
import cottonlock.decision.stats.SlidingWindowMean;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Judges backends by the outcomes of attempts, by slow responses and by silence. A backend under
 * suspicion still gets some requests, by a draw from what is known of it, so that it is found again
 * once it recovers. Owned by the load balancer's thread.
 */
public final class OutlierDetector {
    /** From so many failures in a row a backend is an outlier; a silence counts as as many. */
    static final int OUTLIER_CONSECUTIVE_FAILURES = 3;

    /** More failures in a row than these raise the suspicion no further. */
    private static final int MAX_COUNTED_CONSECUTIVE_FAILURES = 4;

    /** A latency of so many times the typical one is overdue: few requests cost that much more. */
    private static final double OVERDUE_LATENCY_MULTIPLE = 3;

    /**
     * Samples of a latency of half the objective assumed for each request class, and for all
     * classes together.
     */
    private static final int PRIOR_LATENCY_SAMPLES = 10;

    /** Gaps between responses of the mean latency assumed for each backend. */
    private static final int PRIOR_RESPONSE_GAPS = 3;

    /** A silence is a reason for suspicion from this score. */
    private static final double MIN_SUSPICIOUS_SILENCE = 3;

    /** A suspicion score below this is none. */
    private static final double MIN_SUSPICION = 1;

    /** Outcomes beyond so many are scaled down, so that a draw stays uncertain. */
    private static final double MAX_OUTCOMES_TO_DRAW_FROM = 30;

    /** A backend is trusted where the drawn probability of success is above this. */
    private static final double MIN_SUCCESS_PROBABILITY = 0.5;

    /** The resolution of logarithms of latencies, which are kept as whole numbers. */
    private static final int LOG_UNITS = 1_000;

    /** The series number for means that have a single series. */
    private static final int SINGLE_SERIES = 0;

    private final SplittableRandom random;

    /** Logarithms of latencies against the objectives of their classes. */
    private final SlidingWindowMean logLatencyRatio;

    /** Logarithms of latencies by request class. */
    private final SlidingWindowMean logLatencyByClass;

    /** Latencies in ticks. */
    private final SlidingWindowMean latency;

    /** Stands in for the mean latency until there are samples; 0 before the first attempt. */
    private double assumedLatencyTicks;

    OutlierDetector(DeploymentTopology topology, SplittableRandom random) {
        this.random = random;
        long windowTicks =
                Math.round(
                        LoadTracker.LATENCY_WINDOW_OBJECTIVES
                                * topology.meanLatencyObjectiveTicks());
        logLatencyRatio = new SlidingWindowMean(windowTicks);
        logLatencyByClass = new SlidingWindowMean(windowTicks);
        latency = new SlidingWindowMean(windowTicks);
    }

    /** Whether a backend has failed so often in a row that it counts for no capacity. */
    static boolean isOutlier(Backend backend) {
        return backend.consecutiveFailures >= OUTLIER_CONSECUTIVE_FAILURES;
    }

    /** Whether no attempt has been sent yet, so that no latency can be assumed. */
    boolean isWithoutAssumedLatency() {
        return assumedLatencyTicks == 0;
    }

    /** Assumes half the latency objective of the first attempt as the mean latency. */
    void assumeLatency(BackendRequest firstRequest) {
        assumedLatencyTicks = firstRequest.requestClass().latencyObjectiveTicks() / 2.0;
    }

    /** An attempt is sent; called before it counts as in flight. */
    void onSent(Backend backend, long nowTicks) {
        if (backend.inFlightAwaited() == 0) {
            backend.lastSignOfLifeTicks = nowTicks;
        }
    }

    /**
     * A backend was found silent with an attempt in flight. It is not waited for any more, as it
     * may be lost, and would keep a backend that has recovered silent until it times out.
     */
    void onSilenceDetected(Backend backend, long nowTicks) {
        backend.inFlightOverdue++;
        backend.failures.add(nowTicks, 1);
        backend.consecutiveFailures += OUTLIER_CONSECUTIVE_FAILURES;
        backend.lossUnreported = true;
    }

    /** A peer has found a backend lost: taken as a failure, unless it has answered here lately. */
    void onPeerReport(Backend backend, long nowTicks) {
        if (backend.recentSuccesses(nowTicks) == 0) {
            backend.failures.add(nowTicks, 1);
            backend.consecutiveFailures =
                    Math.max(backend.consecutiveFailures, OUTLIER_CONSECUTIVE_FAILURES);
        }
    }

    /**
     * An attempt has ended; called while it still counts as in flight.
     *
     * @param measurable whether its latency may be used; not right after a stall of this process
     */
    void onCompleted(CompletedAttempt attempt, boolean measurable, long nowTicks) {
        Backend backend = attempt.backend();
        AttemptOutcome outcome = attempt.outcome();
        if (isSignOfLife(outcome)) {
            backend.responseGaps.add(nowTicks, 1);
            backend.responseGapTicks.add(
                    nowTicks, (nowTicks - backend.lastSignOfLifeTicks) * backend.inFlightAwaited());
            backend.lastSignOfLifeTicks = nowTicks;
        }
        if (attempt.backendWasSilent()) {
            backend.inFlightOverdue--;
        }
        if (outcome == AttemptOutcome.COMPLETED) {
            recordSuccess(attempt, measurable, nowTicks);
        } else if (isFailure(outcome) && !attempt.backendWasSilent()) {
            recordFailure(backend, outcome, nowTicks);
        }
    }

    private static boolean isSignOfLife(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.COMPLETED
                || outcome == AttemptOutcome.ERROR
                || outcome == AttemptOutcome.REJECTED;
    }

    private static boolean isFailure(AttemptOutcome outcome) {
        return outcome != AttemptOutcome.COMPLETED
                && outcome != AttemptOutcome.CANCELLED
                && outcome != AttemptOutcome.NOT_SENT;
    }

    private void recordSuccess(CompletedAttempt attempt, boolean measurable, long nowTicks) {
        Backend backend = attempt.backend();
        int classNumber = attempt.request().requestClass().number();
        long latencyTicks = attempt.latencyTicks(nowTicks);
        boolean typicalLatencyKnown =
                logLatencyByClass.count(nowTicks, classNumber) >= PRIOR_LATENCY_SAMPLES;
        // A backend that has slowed down still answers, and would attract requests by that.
        boolean slow =
                measurable
                        && typicalLatencyKnown
                        && isOverdue(attempt.request(), latencyTicks, nowTicks);
        long objectiveTicks = attempt.request().requestClass().latencyObjectiveTicks();
        logLatencyRatio.add(
                nowTicks, SINGLE_SERIES, logOfLatency(latencyTicks) - logOfLatency(objectiveTicks));
        logLatencyByClass.add(nowTicks, classNumber, logOfLatency(latencyTicks));
        (slow ? backend.failures : backend.successes).add(nowTicks, 1);
        backend.consecutiveFailures = 0;
        latency.add(nowTicks, SINGLE_SERIES, latencyTicks);
    }

    private static void recordFailure(Backend backend, AttemptOutcome outcome, long nowTicks) {
        backend.failures.add(nowTicks, 1);
        backend.consecutiveFailures++;
        // Peers are spared the attempts by which each would find a lost zone out by itself.
        boolean unreachable =
                outcome == AttemptOutcome.CONNECT_FAILED && backend.consecutiveFailures >= 2;
        backend.lossUnreported |= unreachable;
    }

    /**
     * How far a backend is under suspicion: its recent failures, or those in a row if there are
     * more, and its silence. Below 1: not at all.
     */
    double suspicionScore(Backend backend, long nowTicks) {
        long failures =
                Math.max(
                        backend.failures.sum(nowTicks),
                        Math.min(MAX_COUNTED_CONSECUTIVE_FAILURES, backend.consecutiveFailures));
        return failures + Math.max(0, silenceScore(backend, nowTicks) - MIN_SUSPICIOUS_SILENCE);
    }

    /** Whether a backend is under suspicion. */
    boolean isSuspected(Backend backend, long nowTicks) {
        return suspicionScore(backend, nowTicks) >= MIN_SUSPICION;
    }

    /**
     * Whether a backend gets a request now: always if it is not under suspicion, else by a draw of
     * its probability of success from the beta distribution of its successes and failures.
     */
    boolean isTrusted(Backend backend, long nowTicks) {
        double suspicion = suspicionScore(backend, nowTicks);
        if (suspicion < MIN_SUSPICION) {
            return true;
        }
        // Earlier successes count less with each failure in a row, and the longer the silence.
        double successes =
                backend.successes.sum(nowTicks)
                        * Math.exp(
                                -backend.consecutiveFailures - silenceScore(backend, nowTicks) / 2);
        double scale = Math.max(1, (successes + suspicion) / MAX_OUTCOMES_TO_DRAW_FROM);
        double successProbability =
                BetaDistribution.draw(
                        random, 1 + (int) (successes / scale), 1 + (int) (suspicion / scale));
        return successProbability > MIN_SUCCESS_PROBABILITY;
    }

    /** How many of these backends get next to no requests, as they are under suspicion. */
    long countAvoided(List<Backend> backends, long nowTicks) {
        return backends.stream()
                .filter(
                        backend ->
                                suspicionScore(backend, nowTicks)
                                        > 2 * backend.successes.sum(nowTicks) + 1)
                .count();
    }

    /**
     * Whether a request has taken far longer than is typical of its class. Where the class has few
     * samples, the latencies of all classes against their objectives stand in.
     *
     * @param elapsedTicks the time since its attempt was sent
     */
    public boolean isOverdue(BackendRequest request, long elapsedTicks, long nowTicks) {
        long logObjective = logOfLatency(request.requestClass().latencyObjectiveTicks());
        double logRatioOfAll =
                logLatencyRatio.mean(nowTicks, SINGLE_SERIES, PRIOR_LATENCY_SAMPLES, (double) -log(2));
        double typicalLogLatency =
                logLatencyByClass.mean(
                        nowTicks,
                        request.requestClass().number(),
                        PRIOR_LATENCY_SAMPLES,
                        logObjective + logRatioOfAll);
        return (double) (logOfLatency(elapsedTicks) - log(OVERDUE_LATENCY_MULTIPLE))
                > typicalLogLatency;
    }

    private static long logOfLatency(long ticks) {
        return log((double) (1 + ticks));
    }

    private static long log(double value) {
        return Math.round(LOG_UNITS * Math.log(value));
    }

    /**
     * How improbable the present silence of a backend is: minus the natural logarithm of its
     * probability, as the gaps between responses before it are exponentially distributed. A backend
     * that has failed lately is given less time.
     */
    public double silenceScore(Backend backend, long nowTicks) {
        double meanLatencyTicks =
                latency.mean(nowTicks, SINGLE_SERIES, PRIOR_RESPONSE_GAPS, assumedLatencyTicks);
        double meanGapTicks =
                (backend.responseGapTicks.sum(nowTicks) + PRIOR_RESPONSE_GAPS * meanLatencyTicks)
                        / (backend.responseGaps.sum(nowTicks) + PRIOR_RESPONSE_GAPS);
        int failures = Math.min(MAX_COUNTED_CONSECUTIVE_FAILURES, backend.consecutiveFailures);
        return (nowTicks - backend.lastSignOfLifeTicks)
                * backend.inFlightAwaited()
                * (1 + failures)
                / Math.max(1, meanGapTicks);
    }
}

package cottonlock.decision.backend;

import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.stats.BetaDistribution;
import cottonlock.decision.stats.SlidingWindowMean;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Rates backends by the outcomes of attempts, by slow responses and by silence. A suspected backend
 * still gets some requests, decided by a random draw of its probability of success, so that its
 * recovery is noticed. Owned by the load balancer's thread.
 */
public final class OutlierDetector {
    /**
     * The consecutive failures from which a backend is an outlier; a silence counts as this many.
     */
    static final int OUTLIER_CONSECUTIVE_FAILURES = 3;

    /** Consecutive failures beyond this number do not raise the suspicion further. */
    private static final int MAX_COUNTED_CONSECUTIVE_FAILURES = 4;

    /**
     * A latency above this multiple of the typical one is overdue: few requests take that much
     * longer.
     */
    private static final double OVERDUE_LATENCY_MULTIPLE = 3;

    /**
     * Prior samples of the latency: of half the objective for all classes together, and of the
     * typical latency that results for each request class.
     */
    private static final int PRIOR_LATENCY_SAMPLES = 10;

    /** Prior gaps between responses for each backend, each as long as the mean latency. */
    private static final int PRIOR_RESPONSE_GAPS = 3;

    /** The silence score above which a silence raises the suspicion. */
    private static final double MIN_SUSPICIOUS_SILENCE = 3;

    /** A backend with a suspicion score below this is not suspected. */
    private static final double MIN_SUSPICION = 1;

    /**
     * Counts of outcomes that add up to more than this are scaled down, so that a draw stays
     * uncertain.
     */
    private static final double MAX_OUTCOMES_TO_DRAW_FROM = 30;

    /** A suspected backend gets a request if the drawn probability of success is above this. */
    private static final double MIN_SUCCESS_PROBABILITY = 0.5;

    /** The scale of logarithms of latencies, which are kept as integers, in thousandths. */
    private static final int LOG_UNITS = 1_000;

    /** The series number for means that have a single series. */
    private static final int SINGLE_SERIES = 0;

    private final SplittableRandom random;

    /** Logarithms of the ratios of latencies to the objectives of their classes. */
    private final SlidingWindowMean logLatencyRatio;

    /** Logarithms of latencies by request class. */
    private final SlidingWindowMean logLatencyByClass;

    /** Latencies in ticks. */
    private final SlidingWindowMean latency;

    /** The prior value of the mean latency; 0 before the first attempt. */
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

    /** Whether a backend has so many consecutive failures that its capacity does not count. */
    static boolean isOutlier(Backend backend) {
        return backend.consecutiveFailures >= OUTLIER_CONSECUTIVE_FAILURES;
    }

    /** Whether no attempt has been sent yet, so that there is no assumed latency. */
    boolean isWithoutAssumedLatency() {
        return assumedLatencyTicks == 0;
    }

    /** Assumes half the latency objective of the first request as the mean latency. */
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
     * A backend was found silent with an attempt in flight. Its response is no longer expected: the
     * attempt may be lost, and would make a recovered backend look silent until it times out.
     */
    void onSilenceDetected(Backend backend, long nowTicks) {
        backend.inFlightOverdue++;
        backend.failures.add(nowTicks, 1);
        backend.consecutiveFailures += OUTLIER_CONSECUTIVE_FAILURES;
        backend.lossUnreported = true;
    }

    /**
     * A backend has begun to respond to an attempt, of which nothing else is awaited: how long the
     * rest takes tells nothing of whether the backend is alive.
     */
    void onResponseBegun(Backend backend, long nowTicks) {
        recordSignOfLife(backend, nowTicks);
        backend.inFlightResponding++;
    }

    private static void recordSignOfLife(Backend backend, long nowTicks) {
        backend.responseGaps.add(nowTicks, 1);
        backend.responseGapTicks.add(
                nowTicks, (nowTicks - backend.lastSignOfLifeTicks) * backend.inFlightAwaited());
        backend.lastSignOfLifeTicks = nowTicks;
    }

    /**
     * A peer has found a backend lost. This counts as a failure unless the backend has answered
     * here recently.
     */
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
        if (attempt.hadBegunToRespond()) {
            backend.inFlightResponding--;
            backend.lastSignOfLifeTicks = nowTicks;
        } else if (isSignOfLife(outcome)) {
            recordSignOfLife(backend, nowTicks);
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
        long latencyTicks = attempt.latencyTicks();
        boolean typicalLatencyKnown =
                logLatencyByClass.count(nowTicks, classNumber) >= PRIOR_LATENCY_SAMPLES;
        // A backend that has slowed down still answers. Counted as successes, its slow responses
        // would attract requests.
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
        // Reported to peers, so that they detect a lost zone without failed attempts of their own.
        boolean unreachable =
                outcome == AttemptOutcome.CONNECT_FAILED && backend.consecutiveFailures >= 2;
        backend.lossUnreported |= unreachable;
    }

    /**
     * How strongly a backend is suspected: the greater of its recent and its consecutive failures,
     * plus the part of its silence score above {@link #MIN_SUSPICIOUS_SILENCE}. Below 1 it is not
     * suspected.
     */
    double suspicionScore(Backend backend, long nowTicks) {
        long failures =
                Math.max(
                        backend.failures.sum(nowTicks),
                        Math.min(MAX_COUNTED_CONSECUTIVE_FAILURES, backend.consecutiveFailures));
        return failures + Math.max(0, silenceScore(backend, nowTicks) - MIN_SUSPICIOUS_SILENCE);
    }

    /** Whether a backend is suspected. */
    boolean isSuspected(Backend backend, long nowTicks) {
        return suspicionScore(backend, nowTicks) >= MIN_SUSPICION;
    }

    /**
     * Whether a backend gets a request now: always if it is not suspected; otherwise by a draw of
     * its probability of success from the beta distribution of its successes and failures.
     */
    boolean isTrusted(Backend backend, long nowTicks) {
        double suspicion = suspicionScore(backend, nowTicks);
        if (suspicion < MIN_SUSPICION) {
            return true;
        }
        // Earlier successes count less with each consecutive failure, and with a longer silence.
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

    /** How many of these backends get almost no requests because they are suspected. */
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
     * samples, the ratios of latency to objective of all classes are used.
     *
     * @param elapsedTicks the time since its attempt was sent
     */
    public boolean isOverdue(BackendRequest request, long elapsedTicks, long nowTicks) {
        long logObjective = logOfLatency(request.requestClass().latencyObjectiveTicks());
        double logRatioOfAll =
                logLatencyRatio.mean(
                        nowTicks, SINGLE_SERIES, PRIOR_LATENCY_SAMPLES, (double) -log(2));
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
     * How improbable the present silence of a backend is: the negative natural logarithm of its
     * probability, if gaps between responses are exponentially distributed with the mean of the
     * recent ones. Consecutive failures raise the score, so that a failing backend is given less
     * time.
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

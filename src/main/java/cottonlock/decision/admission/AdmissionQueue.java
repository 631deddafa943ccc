package cottonlock.decision.admission;

import cottonlock.decision.request.Request;
import cottonlock.decision.request.TimerPeriod;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * Requests within their quota that wait for capacity. The request that has waited for the largest
 * fraction of its latency objective is next, so that classes with short objectives do not starve.
 * Owned by the load balancer's thread.
 */
final class AdmissionQueue {
    /** The intended maximum wait, as a fraction of a request's latency objective. */
    static final double MAX_WAIT_FRACTION = 0.15;

    /** A request is ended after this multiple of its intended maximum wait. */
    private static final int OVERDUE_FACTOR = 2;

    /** A request is ended if its deadline is this close. */
    private static final long MIN_TIME_LEFT_TICKS = 2 * TimerPeriod.TICKS;

    /** In order of arrival. */
    private final List<Request> requests = new ArrayList<>();

    int size() {
        return requests.size();
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Appends a request. */
    void add(Request request, long nowTicks) {
        request.onQueued(nowTicks);
        requests.add(request);
    }

    /** Removes a request if it is queued. */
    void remove(Request request) {
        requests.remove(request);
    }

    /** Removes the request with this number if it is queued. */
    void removeById(long requestId) {
        requests.removeIf(request -> request.id() == requestId);
    }

    /** The request to admit next; the queue must not be empty. */
    Request next(long nowTicks) {
        return Collections.max(
                requests, Comparator.comparingDouble(request -> waitFraction(request, nowTicks)));
    }

    private static double waitFraction(Request request, long nowTicks) {
        return (double) (nowTicks - request.queuedAtTicks())
                / request.requestClass().latencyObjectiveTicks();
    }

    /** The requests that have waited too long, or whose deadline is too close. */
    List<Request> expired(long nowTicks) {
        return requests.stream().filter(request -> isExpired(request, nowTicks)).toList();
    }

    private static boolean isExpired(Request request, long nowTicks) {
        double maxWaitTicks =
                OVERDUE_FACTOR * MAX_WAIT_FRACTION * request.requestClass().latencyObjectiveTicks();
        return nowTicks + MIN_TIME_LEFT_TICKS >= request.deadlineTicks()
                || nowTicks - request.queuedAtTicks() > maxWaitTicks;
    }

    /** Bounds the deadlines of all queued requests by this time. */
    void limitDeadlines(long latestTicks) {
        requests.forEach(request -> request.limitDeadline(latestTicks));
    }
}

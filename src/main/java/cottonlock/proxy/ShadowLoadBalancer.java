package cottonlock.proxy;

import cottonlock.decision.LoadBalancer;
import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.Endpoint;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.RejectionReason;
import cottonlock.decision.api.RequestClass;
import cottonlock.decision.request.RequestArrival;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.setup.LoadBalancerFactory;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A second load balancer with other settings that receives the same events as the first and whose
 * decisions are only counted: operators watch it before they change a deployment's settings.
 *
 * <p>Only the load balancer's thread calls it. The outcome of the real attempt stands for that of
 * its own, so it sees the backends as they are under the real decisions. A fault ends the shadow,
 * never the service.
 */
final class ShadowLoadBalancer implements LoadBalancerActions {
    /** Ticks of 0.1 ms between two lines in the log. */
    private static final long LOG_INTERVAL_TICKS = 100_000;

    /**
     * How its first decision about a request compares with the real one; {@code WOULD_CLOSE} counts
     * how often it would close the idle connections of a backend.
     */
    enum Kind {
        ALIKE,
        WOULD_DEFER,
        WOULD_HAND_OFF,
        OTHER_BACKEND,
        WOULD_CLOSE
    }

    /** What it decided about one request. */
    private static final class ShadowRequest {
        String firstBackend;
        int attempts;
        boolean attemptInFlight;
        boolean compared;
    }

    private final RateLimitedLog log;
    private final Map<Kind, Long> counts = new TreeMap<>();
    private final Map<Long, ShadowRequest> requests = new HashMap<>();
    private LoadBalancer balancer;

    /** The request classes of its own settings; empty once the real settings were replaced. */
    private List<RequestClass> ownRequestClasses = List.of();

    private int ownMaxAttempts;
    private long timerAtTicks = Long.MAX_VALUE;
    private long nextLogAtTicks;

    ShadowLoadBalancer(RateLimitedLog log) {
        this.log = log;
    }

    /**
     * Sets the load balancer that is run as the shadow and the factory that made it; called before
     * the load balancer's thread starts.
     */
    void setLoadBalancer(LoadBalancer loadBalancer, LoadBalancerFactory factory) {
        balancer = loadBalancer;
        ownRequestClasses = factory.requestClasses();
        ownMaxAttempts = factory.maxAttempts();
    }

    private void guard(Runnable call) {
        try {
            if (balancer != null) {
                call.run();
            }
        } catch (RuntimeException e) {
            // A fault in settings that are only being tried out must not affect the service.
            balancer = null;
            requests.clear();
            log.warn("watch", "the shadow load balancer was stopped by a fault: " + e);
        }
    }

    void start(long now) {
        nextLogAtTicks = now + LOG_INTERVAL_TICKS;
        guard(() -> balancer.start(now));
    }

    /**
     * From now on the request classes and the maximum number of attempts are the real ones; the
     * other settings stay its own.
     */
    void settingsReplaced() {
        ownRequestClasses = List.of();
    }

    void runDueTimers(long now) {
        if (now >= timerAtTicks) {
            timerAtTicks = Long.MAX_VALUE;
            guard(() -> balancer.onTimer(now));
        }
        if (now >= nextLogAtTicks) {
            nextLogAtTicks = now + LOG_INTERVAL_TICKS;
            log.info("watch", "decisions so far " + counts());
        }
    }

    void requestReceived(RequestArrival arrival, long now) {
        requests.put(arrival.id(), new ShadowRequest());
        guard(() -> balancer.onRequest(now, withOwnRules(arrival)));
    }

    /** The arrival under the rules of the shadow's own settings, if those still apply. */
    private RequestArrival withOwnRules(RequestArrival arrival) {
        if (ownRequestClasses.isEmpty()) {
            return arrival;
        }
        return new RequestArrival(
                arrival.id(),
                ownRequestClasses.get(arrival.requestClass().number()),
                ownMaxAttempts,
                arrival.tenant(),
                arrival.clientTimeoutTicks(),
                arrival.clientRetry(),
                arrival.estimatedWorkTicks());
    }

    void endpointListReceived(
            long now, List<Endpoint> endpoints, boolean complete, boolean cached) {
        guard(() -> balancer.onEndpointList(now, endpoints, complete, cached));
    }

    void peerMessageReceived(long now, byte[] message) {
        guard(() -> balancer.onPeerMessage(now, message));
    }

    void clientDisconnected(long now, long number) {
        guard(() -> balancer.onClientDisconnected(now, number));
    }

    /**
     * Compares the first decisions, once the real load balancer has started the first attempt or
     * the request has ended without one. Later calls for the same request have no effect.
     *
     * @param backend the backend of the real attempt; null if the request has ended
     */
    void compareFirstDecision(long number, String backend) {
        ShadowRequest request = requests.get(number);
        if (request == null || request.compared) {
            return;
        }
        request.compared = true;
        boolean noAttempt = request.firstBackend == null;
        Kind kind =
                backend == null
                        ? noAttempt ? Kind.ALIKE : Kind.WOULD_HAND_OFF
                        : noAttempt
                                ? Kind.WOULD_DEFER
                                : backend.equals(request.firstBackend)
                                        ? Kind.ALIKE
                                        : Kind.OTHER_BACKEND;
        counts.merge(kind, 1L, Long::sum);
    }

    /** Handles the end of a real attempt: the shadow's own attempt ends with it. */
    void attemptSettled(long now, long number, AttemptOutcome outcome, boolean requestOver) {
        ShadowRequest request = requests.get(number);
        if (request != null && request.attemptInFlight) {
            request.attemptInFlight = false;
            guard(
                    () ->
                            balancer.onAttemptCompleted(
                                    now, number, request.attempts - 1, outcome, requestOver));
        }
    }

    /** Handles the end of a real request that has no attempt in flight any more. */
    void requestEnded(long now, long number) {
        // If only the shadow had sent an attempt, its outcome is unknown.
        attemptSettled(now, number, AttemptOutcome.NOT_SENT, true);
        requests.remove(number);
    }

    /** The number of decisions of each kind. */
    Map<Kind, Long> counts() {
        Map<Kind, Long> all = new TreeMap<>();
        for (Kind kind : Kind.values()) {
            all.put(kind, counts.getOrDefault(kind, 0L));
        }
        return all;
    }

    @Override
    public void startAttempt(long number, String backend, long sendByTicks) {
        ShadowRequest request = requests.get(number);
        if (request != null) {
            request.firstBackend = request.firstBackend == null ? backend : request.firstBackend;
            request.attempts++;
            request.attemptInFlight = true;
        }
    }

    @Override
    public void cancelAttempt(long number, int attempt) {
        // The real attempt continues, and its outcome is reported.
    }

    @Override
    public void reject(long number, long retryAfterTicks, RejectionReason rejectionReason) {
        // Recognised by the absence of an attempt.
    }

    @Override
    public void fail(long number, RejectionReason rejectionReason) {
        // Recognised by the absence of an attempt.
    }

    @Override
    public void scheduleTimer(long atTicks) {
        timerAtTicks = atTicks;
    }

    @Override
    public void subscribeEndpointList() {
        // The real load balancer subscribes for both.
    }

    @Override
    public void closeIdleConnections(String backend) {
        counts.merge(Kind.WOULD_CLOSE, 1L, Long::sum);
    }

    @Override
    public void probe(String backend) {
        // Nothing is sent for the shadow.
    }

    @Override
    public void broadcastToPeers(byte[] message) {
        // Nothing is sent for the shadow.
    }

    @Override
    public void log(String line) {
        log.info("watched module", line);
    }
}

package cottonlock.proxy;

import cottonlock.decision.LoadBalancer;
import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.Endpoint;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.RejectionReason;
import cottonlock.decision.api.RequestClass;
import cottonlock.proxy.io.RateLimitedLog;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A second module with other settings that is told all that the first is told, and whose decisions
 * are only counted: what operators watch before they change a deployment's settings.
 *
 * <p>The module's thread alone calls it. What became of the real attempt stands for what would have
 * become of its own, so it learns of the backends as they are under the real decisions. A fault
 * ends the watch, never the service.
 */
final class ShadowLoadBalancer implements LoadBalancerActions {
    /** Tenths of a millisecond between two lines in the log. */
    private static final long LOG_INTERVAL_TICKS = 100_000;

    /** How a first decision can differ, or not. */
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
    private long timerAtTicks = Long.MAX_VALUE;
    private long nextLogAtTicks;

    ShadowLoadBalancer(RateLimitedLog log) {
        this.log = log;
    }

    /** Before the module's thread starts: the module that is watched. */
    void setLoadBalancer(LoadBalancer loadBalancer) {
        balancer = loadBalancer;
    }

    private void guard(Runnable call) {
        try {
            if (balancer != null) {
                call.run();
            }
        } catch (RuntimeException e) {
            // A fault among settings that are only tried out must not touch what is served.
            balancer = null;
            requests.clear();
            log.warn("watch", "ended by a fault: " + e);
        }
    }

    void start(long now) {
        nextLogAtTicks = now + LOG_INTERVAL_TICKS;
        guard(() -> balancer.start(now));
    }

    /** The categories are what is served, the rest its own settings. */
    void reconfigure(List<RequestClass> requestClasses, int maxAttempts) {
        guard(() -> balancer.reconfigure(requestClasses, maxAttempts));
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

    void requestReceived(ClientRequest req, long now) {
        requests.put(req.number, new ShadowRequest());
        guard(
                () ->
                        balancer.onRequest(
                                now,
                                req.number,
                                req.requestClass,
                                req.tenant,
                                req.deadlineTicks - now,
                                req.retried,
                                0));
    }

    void endpointListReceived(long now, List<Endpoint> endpoints, boolean complete, boolean cached) {
        guard(() -> balancer.onEndpointList(now, endpoints, complete, cached));
    }

    void peerMessageReceived(long now, byte[] message) {
        guard(() -> balancer.onPeerMessage(now, message));
    }

    void clientDisconnected(long now, long number) {
        guard(() -> balancer.onClientDisconnected(now, number));
    }

    /** The real module has sent (a backend) or answered (null): its first decision is compared. */
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
                                : backend.equals(request.firstBackend) ? Kind.ALIKE : Kind.OTHER_BACKEND;
        counts.merge(kind, 1L, Long::sum);
    }

    /** A real attempt has ended: so has the one that stands beside it. */
    void attemptSettled(long now, long number, AttemptOutcome outcome, boolean requestOver) {
        ShadowRequest request = requests.get(number);
        if (request != null && request.attemptInFlight) {
            request.attemptInFlight = false;
            guard(() -> balancer.onAttemptCompleted(now, number, request.attempts - 1, outcome, requestOver));
        }
    }

    /** The real request is over and nothing of it is out any more. */
    void requestEnded(long now, long number) {
        // Where only the watched module would have sent, nothing is known of how that would have
        // ended.
        attemptSettled(now, number, AttemptOutcome.NOT_SENT, true);
        requests.remove(number);
    }

    /** How many decisions differed, by kind. */
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
        // The real attempt runs on, and how it ends is told.
    }

    @Override
    public void reject(long number, long retryAfterTicks, RejectionReason rejectionReason) {
        // Seen from there being no attempt.
    }

    @Override
    public void fail(long number, RejectionReason rejectionReason) {
        // As for a deferral.
    }

    @Override
    public void scheduleTimer(long atTicks) {
        timerAtTicks = atTicks;
    }

    @Override
    public void subscribeEndpointList() {
        // The real module asks for both.
    }

    @Override
    public void closeIdleConnections(String backend) {
        counts.merge(Kind.WOULD_CLOSE, 1L, Long::sum);
    }

    @Override
    public void probe(String backend) {
        // Nothing is sent for the watched module.
    }

    @Override
    public void broadcastToPeers(byte[] message) {
        // Nothing is sent for the watched module.
    }

    @Override
    public void log(String line) {
        log.info("watched module", line);
    }
}

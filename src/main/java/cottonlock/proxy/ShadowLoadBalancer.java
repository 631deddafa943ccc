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
    private static final long TELL = 100_000;

    /** How a first decision can differ, or not. */
    enum Kind {
        ALIKE,
        WOULD_DEFER,
        WOULD_HAND_OFF,
        OTHER_BACKEND,
        WOULD_CLOSE
    }

    /** What it decided about one request. */
    private static final class Deed {
        String first;
        int sent;
        boolean out;
        boolean compared;
    }

    private final RateLimitedLog log;
    private final Map<Kind, Long> counts = new TreeMap<>();
    private final Map<Long, Deed> deeds = new HashMap<>();
    private LoadBalancer balancer;
    private long wakeAt = Long.MAX_VALUE;
    private long tellAt;

    ShadowLoadBalancer(RateLimitedLog log) {
        this.log = log;
    }

    /** Before the module's thread starts: the module that is watched. */
    void join(LoadBalancer module) {
        balancer = module;
    }

    private void guard(Runnable call) {
        try {
            if (balancer != null) {
                call.run();
            }
        } catch (RuntimeException e) {
            // A fault among settings that are only tried out must not touch what is served.
            balancer = null;
            deeds.clear();
            log.warn("watch", "ended by a fault: " + e);
        }
    }

    void start(long now) {
        tellAt = now + TELL;
        guard(() -> balancer.start(now));
    }

    /** The categories are what is served, the rest its own settings. */
    void retune(List<RequestClass> categories, int most) {
        guard(() -> balancer.reconfigure(categories, most));
    }

    void due(long now) {
        if (now >= wakeAt) {
            wakeAt = Long.MAX_VALUE;
            guard(() -> balancer.onTimer(now));
        }
        if (now >= tellAt) {
            tellAt = now + TELL;
            log.info("watch", "decisions so far " + counts());
        }
    }

    void arrive(ClientRequest req, long now) {
        deeds.put(req.number, new Deed());
        guard(
                () ->
                        balancer.onRequest(
                                now,
                                req.number,
                                req.category,
                                req.tenant,
                                req.expiry - now,
                                req.repeated,
                                0));
    }

    void list(long now, List<Endpoint> members, boolean whole, boolean cached) {
        guard(() -> balancer.onEndpointList(now, members, whole, cached));
    }

    void heard(long now, byte[] message) {
        guard(() -> balancer.onPeerMessage(now, message));
    }

    void left(long now, long number) {
        guard(() -> balancer.onClientDisconnected(now, number));
    }

    /** The real module has sent (a backend) or answered (null): its first decision is compared. */
    void decided(long number, String backend) {
        Deed deed = deeds.get(number);
        if (deed == null || deed.compared) {
            return;
        }
        deed.compared = true;
        boolean deferred = deed.first == null;
        Kind kind =
                backend == null
                        ? deferred ? Kind.ALIKE : Kind.WOULD_HAND_OFF
                        : deferred
                                ? Kind.WOULD_DEFER
                                : backend.equals(deed.first) ? Kind.ALIKE : Kind.OTHER_BACKEND;
        counts.merge(kind, 1L, Long::sum);
    }

    /** A real attempt has ended: so has the one that stands beside it. */
    void settled(long now, long number, AttemptOutcome outcome, boolean over) {
        Deed deed = deeds.get(number);
        if (deed != null && deed.out) {
            deed.out = false;
            guard(() -> balancer.onAttemptCompleted(now, number, deed.sent - 1, outcome, over));
        }
    }

    /** The real request is over and nothing of it is out any more. */
    void forget(long now, long number) {
        // Where only the watched module would have sent, nothing is known of how that would have
        // ended.
        settled(now, number, AttemptOutcome.NOT_SENT, true);
        deeds.remove(number);
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
    public void startAttempt(long number, String backend, long sendBy) {
        Deed deed = deeds.get(number);
        if (deed != null) {
            deed.first = deed.first == null ? backend : deed.first;
            deed.sent++;
            deed.out = true;
        }
    }

    @Override
    public void cancelAttempt(long number, int attempt) {
        // The real attempt runs on, and how it ends is told.
    }

    @Override
    public void reject(long number, long comeBack, RejectionReason why) {
        // Seen from there being no attempt.
    }

    @Override
    public void fail(long number, RejectionReason why) {
        // As for a deferral.
    }

    @Override
    public void scheduleTimer(long at) {
        wakeAt = at;
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

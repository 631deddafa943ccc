package cottonlock.simulator;

import static cottonlock.core.Ticks.MICROSECONDS_PER_TICK;

import cottonlock.decision.LoadBalancer;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.RejectionReason;
import cottonlock.decision.api.RequestClass;
import cottonlock.setup.LoadBalancerFactory;
import cottonlock.setup.Settings;
import cottonlock.simulator.WireVocabulary.Action;
import java.util.Base64;
import java.util.List;

/** A load balancer that the simulator has started; its actions become messages of the reply. */
final class LoadBalancerInstance implements LoadBalancerActions {
    private final String name;
    private final Reply reply;
    private final LoadBalancer loadBalancer;
    private final List<RequestClass> requestClasses;
    private final int maxAttempts;
    private final int tenantCount;

    /** Builds the load balancer from its settings; the seed determines its random choices. */
    LoadBalancerInstance(String name, Reply reply, long seed, Settings settings) {
        this.name = name;
        this.reply = reply;
        LoadBalancerFactory factory = new LoadBalancerFactory(settings);
        this.requestClasses = factory.requestClasses();
        this.maxAttempts = factory.maxAttempts();
        this.tenantCount = factory.tenants().size();
        this.loadBalancer = factory.create(this, seed);
    }

    LoadBalancer loadBalancer() {
        return loadBalancer;
    }

    /** The request classes, in the order of the settings. */
    List<RequestClass> requestClasses() {
        return requestClasses;
    }

    /** The maximum number of attempts of a request, 1 or more. */
    int maxAttempts() {
        return maxAttempts;
    }

    /** The number of tenants in the settings, which may be 0. */
    int tenantCount() {
        return tenantCount;
    }

    private Reply start(Action action) {
        return reply.start(action.wireName(), name);
    }

    @Override
    public void startAttempt(long requestId, String backendId, long sendByTicks) {
        // The simulator writes an attempt immediately, so sendByTicks is not sent.
        start(Action.START_ATTEMPT).field(requestId).field(backendId).field(0).end();
    }

    @Override
    public void cancelAttempt(long requestId, int attemptNumber) {
        start(Action.CANCEL_ATTEMPT).field(requestId).field(attemptNumber).end();
    }

    @Override
    public void reject(long requestId, long retryAfterTicks, RejectionReason rejectionReason) {
        long retryAfterMicros = retryAfterTicks * MICROSECONDS_PER_TICK;
        start(Action.REJECT).field(requestId).field(retryAfterMicros).end();
    }

    @Override
    public void fail(long requestId, RejectionReason rejectionReason) {
        start(Action.FAIL).field(requestId).end();
    }

    @Override
    public void scheduleTimer(long atTicks) {
        start(Action.SCHEDULE_TIMER).field(atTicks * MICROSECONDS_PER_TICK).field(0).end();
    }

    @Override
    public void subscribeEndpointList() {
        start(Action.SUBSCRIBE_ENDPOINT_LIST).field(1).end();
    }

    @Override
    public void closeIdleConnections(String backendId) {
        start(Action.CLOSE_IDLE_CONNECTIONS).field(backendId).end();
    }

    @Override
    public void probe(String backendId) {
        start(Action.PROBE).field(backendId).end();
    }

    @Override
    public void broadcastToPeers(byte[] message) {
        String encoded =
                message.length == 0
                        ? WireVocabulary.ABSENT
                        : Base64.getEncoder().encodeToString(message);
        start(Action.BROADCAST_TO_PEERS).field(WireVocabulary.ALL_PEERS).field(encoded).end();
    }

    @Override
    public void log(String line) {
        start(Action.LOG).field(line).end();
    }
}

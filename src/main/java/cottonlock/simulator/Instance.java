package cottonlock.simulator;

import cottonlock.decision.LoadBalancer;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.RejectionReason;
import cottonlock.setup.LoadBalancerFactory;
import cottonlock.setup.Settings;
import java.util.Base64;

/** One balancer of the bench: built from its settings, answering through the wire's messages. */
final class Instance implements LoadBalancerActions {
    private final String name;
    private final Reply reply;
    final LoadBalancer balancer;
    final int categories;
    final int tenants;

    Instance(String name, Reply reply, long seed, Settings s) {
        this.name = name;
        this.reply = reply;
        LoadBalancerFactory assembly = new LoadBalancerFactory(s);
        this.categories = assembly.categories.size();
        this.tenants = assembly.tenants.size();
        this.balancer = assembly.balancer(this, seed);
    }

    @Override
    public void startAttempt(long req, String backend, long sendBy) {
        // Sent in the moment of the call, it needs no bound; it ends with the request.
        reply.start("dispatch", name).field(req).field(backend).field(0).end();
    }

    @Override
    public void cancelAttempt(long req, int attempt) {
        reply.start("retract", name).field(req).field(attempt).end();
    }

    @Override
    public void reject(long req, long comeBack, RejectionReason why) {
        reply.start("overload_reply", name).field(req).field(comeBack * Settings.MICROS).end();
    }

    @Override
    public void fail(long req, RejectionReason why) {
        reply.start("give_up", name).field(req).end();
    }

    @Override
    public void scheduleTimer(long at) {
        reply.start("set_timer", name).field(at * Settings.MICROS).field(0).end();
    }

    @Override
    public void subscribeEndpointList() {
        reply.start("listen", name).field(1).end();
    }

    @Override
    public void closeIdleConnections(String backend) {
        reply.start("release", name).field(backend).end();
    }

    @Override
    public void probe(String backend) {
        reply.start("probe", name).field(backend).end();
    }

    @Override
    public void broadcastToPeers(byte[] message) {
        String coded = message.length == 0 ? "-" : Base64.getEncoder().encodeToString(message);
        reply.start("share", name).field("all").field(coded).end();
    }

    @Override
    public void log(String line) {
        reply.start("trace", name).field(line).end();
    }
}

package cottonlock.decision.request;

/** A step on a request's way from its client to a backend. Called on the load balancer's thread. */
@FunctionalInterface
public interface RequestStage {
    /** Forwards the request to the next step, or ends it. */
    void process(Request request, long nowTicks);
}

package cottonlock.decision.request;

/**
 * A stage that a request passes on its way from its client to a backend. Called on the load
 * balancer's thread.
 */
@FunctionalInterface
public interface RequestStage {
    /** Forwards the request to the next stage, or ends it. */
    void process(Request request, long nowTicks);
}

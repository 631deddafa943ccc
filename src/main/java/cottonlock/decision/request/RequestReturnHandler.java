package cottonlock.decision.request;

/**
 * Receives each request that needs no further attempt: it has its final response, or a later stage
 * cannot continue it. Called on the load balancer's thread.
 */
@FunctionalInterface
public interface RequestReturnHandler {
    /** Releases what the request holds and, if it has no response yet, ends it. */
    void onRequestReturned(Request request, long nowTicks);
}

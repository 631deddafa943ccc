package cottonlock.decision.api;

import cottonlock.decision.LoadBalancer;

/**
 * What the balancer answers through; each call is carried out at the time of the call that led to
 * it.
 */
public interface LoadBalancerActions {

    /**
     * Hands a request to a backend; it ends with the request's expiry at the latest. Its last byte
     * may only be written before {@code sendBy}: later, what may have run already would run again.
     */
    void attempt(long req, String backend, long sendBy);

    /** Stops waiting for one attempt; what came of it is still reported. */
    void recall(long req, int attempt);

    /**
     * Ends a request: turned away unharmed, with the time after which to come back (0: no advice).
     */
    void defer(long req, long comeBack, RejectionReason why);

    /** Ends a request without promising anything about its effect. */
    void writeOff(long req, RejectionReason why);

    /** Calls {@link LoadBalancer#wake} back at the given time or soon after. */
    void wakeMe(long at);

    /** Asks for the list of backends and for its changes from now on. */
    void askList();

    /** Closes the connections to a backend on which nothing is out. */
    void release(String backend);

    /** Asks a backend for its load report. */
    void probe(String backend);

    /** Sends a few bytes to every other balancer of the tier. */
    void tellPeers(byte[] message);

    /** Writes a line for whoever is on call. */
    void note(String line);
}

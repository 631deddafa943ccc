package cottonlock.decision.api;

import cottonlock.decision.LoadBalancer;

/**
 * The actions that the load balancer requests from its host. Called on the load balancer's thread,
 * within {@code start} or one of its {@code on...} methods, and executed at the time of that call.
 * Times are in {@link cottonlock.core.Ticks}.
 *
 * <p>Every request ends with exactly one response to its client: the response of an attempt, {@link
 * #reject} or {@link #fail}.
 */
public interface LoadBalancerActions {

    /**
     * Sends a request to a backend as its next attempt; the attempt ends with the request's
     * deadline at the latest.
     *
     * @param sendByTicks the request's last byte must be written before this time: backends would
     *     no longer recognise a later repeat and could execute it twice
     */
    void startAttempt(long requestId, String backendId, long sendByTicks);

    /** Cancels an attempt, numbered from 0; its outcome is still reported. */
    void cancelAttempt(long requestId, int attemptNumber);

    /**
     * Ends a request that is safe to send again.
     *
     * @param retryAfterTicks the time after which the client may send it again, 0 for no advice
     */
    void reject(long requestId, long retryAfterTicks, RejectionReason rejectionReason);

    /** Ends a request that may have been executed and is not safe to send again. */
    void fail(long requestId, RejectionReason rejectionReason);

    /** Schedules a call of {@link LoadBalancer#onTimer} at the given time or soon after. */
    void scheduleTimer(long atTicks);

    /** Requests the endpoint list and a notification of each later change. */
    void subscribeEndpointList();

    /** Closes the connections to a backend that carry no request. */
    void closeIdleConnections(String backendId);

    /** Requests a backend's load report. Not called at present. */
    void probe(String backendId);

    /** Sends a short message to every other load balancer of the deployment. */
    void broadcastToPeers(byte[] message);

    /** Writes a log line for the operators. Not called at present. */
    void log(String line);
}

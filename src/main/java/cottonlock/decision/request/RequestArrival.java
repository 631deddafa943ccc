package cottonlock.decision.request;

import cottonlock.decision.api.RequestClass;

/**
 * A request as it arrives at the load balancer, with the rules that apply to it until its end:
 * later changes of the settings do not affect it. Durations are in {@link cottonlock.core.Ticks}.
 *
 * @param id the request's number, unique among those in progress
 * @param requestClass its request class
 * @param maxAttempts the maximum number of its attempts, 1 or more
 * @param tenant the index of its tenant
 * @param clientTimeoutTicks how much longer the client waits for the response
 * @param clientRetry whether the client has sent the request before
 * @param estimatedWorkTicks the estimated execution time, the same for each retry by the client; 0
 *     if unknown
 */
public record RequestArrival(
        long id,
        RequestClass requestClass,
        int maxAttempts,
        int tenant,
        long clientTimeoutTicks,
        boolean clientRetry,
        long estimatedWorkTicks) {}

package cottonlock.decision.request;

/**
 * A request as it arrives at the load balancer. Durations are in {@link cottonlock.core.Ticks}.
 *
 * @param id the request's number, unique among those in progress
 * @param requestClass the index of its request class
 * @param tenant the index of its tenant
 * @param clientTimeoutTicks how much longer the client waits for the response
 * @param clientRetry whether the client has sent the request before
 * @param estimatedWorkTicks the estimated execution time, 0 if unknown
 */
public record RequestArrival(
        long id,
        int requestClass,
        int tenant,
        long clientTimeoutTicks,
        boolean clientRetry,
        long estimatedWorkTicks) {}

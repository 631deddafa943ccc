package cottonlock.decision.api;

/**
 * A tenant as the settings describe it.
 *
 * @param capacityShare its share of the backends, from 0 to 1
 * @param quotaPerSecond requests a second, over all load balancers, that are within its quota
 */
public record Tenant(double capacityShare, double quotaPerSecond) {}

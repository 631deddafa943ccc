package cottonlock.decision.api;

/**
 * A tenant as the settings describe it.
 *
 * @param capacityShare its share of the backends' capacity, from 0 to 1
 * @param quotaPerSecond its quota over all load balancers, in requests per second
 */
public record Tenant(double capacityShare, double quotaPerSecond) {}

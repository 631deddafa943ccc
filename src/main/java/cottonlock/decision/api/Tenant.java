package cottonlock.decision.api;

/**
 * A tenant as configured.
 *
 * @param share its part of the service
 * @param quota requests a second, over all balancers, that earn full credit
 */
public record Tenant(double share, double quota) {}

/**
 * What the load balancer and its surroundings share: the values that describe a deployment,
 * endpoints, tenants, request classes and outcomes, and the actions that it answers with. Free of
 * I/O and clocks.
 */
package cottonlock.decision.api;

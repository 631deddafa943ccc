/**
 * The types shared by the load balancer and its host: descriptions of the deployment, endpoints,
 * tenants, request classes and outcomes, and the actions that the load balancer requests. Free of
 * I/O and clocks.
 */
package cottonlock.decision.api;

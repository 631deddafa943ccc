/**
 * The choice of a backend for an attempt: first a group of backends, then one of them. Owned by the
 * load balancer's thread; no input or output, no clock.
 */
package cottonlock.decision.routing;

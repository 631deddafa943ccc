/**
 * A request with its attempts, and the interfaces through which the stages pass it on. Owned by the
 * load balancer's thread; no input or output, no clock.
 */
package cottonlock.decision.request;

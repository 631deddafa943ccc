/**
 * Attempts and their outcomes: retries, their budget, and the cancelling of attempts at silent
 * backends. Owned by the load balancer's thread; no input or output, no clock.
 */
package cottonlock.decision.retry;

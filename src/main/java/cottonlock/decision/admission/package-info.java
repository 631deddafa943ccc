/**
 * Which requests are admitted: quotas by tenant, the concurrency limit, the queue, and rate limits
 * where there are few backends for each load balancer. Owned by the load balancer's thread; no
 * input or output, no clock.
 */
package cottonlock.decision.admission;

/**
 * The load balancer's knowledge of the backends: the endpoint list, the load and latency of its own
 * attempts, outliers, and backends that warm up. {@link
 * cottonlock.decision.backend.BackendRegistry} combines the parts; all state belongs to the load
 * balancer's thread.
 */
package cottonlock.decision.backend;

/**
 * Rollout of changed settings to each proxy: which configuration version is in force, which control
 * server is watched, and how a proxy fails over, backs off and rejects invalid versions.
 *
 * <p>The classes here are free of I/O, clocks and threads: {@link
 * cottonlock.rollout.ConfigurationRollout} is the state machine, {@link
 * cottonlock.rollout.ControlServerSelector} its failover between control servers. {@code
 * cottonlock.proxy.control.RolloutActor} connects them to sockets. Times are ticks of 0.1 ms. The
 * protocol and its guarantees are described in docs/rollout.md.
 */
package cottonlock.rollout;

/**
 * The control side of a proxy: its configuration file, the rollout of configuration versions,
 * manual ejection of backends by operators, hand-over between processes, and messages to peers.
 *
 * <p>{@link cottonlock.proxy.control.RolloutActor} and the other classes of the rollout are loaded
 * only where the operator's file asks for it. {@link cottonlock.proxy.control.SharedFile} is the
 * one place that writes stored files.
 */
package cottonlock.proxy.control;

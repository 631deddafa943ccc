/**
 * The control side of a proxy: its configuration file, the rollout of configuration versions,
 * manual ejection of backends by operators, hand-over between processes, and messages to peers.
 *
 * <p>{@link cottonlock.proxy.control.RolloutActor} and the other classes of the rollout are loaded
 * only if the operator's file configures a rollout. Stored files are written by {@link
 * cottonlock.proxy.control.SharedFile} alone.
 */
package cottonlock.proxy.control;

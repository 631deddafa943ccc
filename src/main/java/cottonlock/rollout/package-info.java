/**
 * How a change of the settings comes into force everywhere: which version holds, which control
 * machine is asked next and when, and what is done while control is lost, lies behind or tells what
 * can't be used.
 *
 * <p>{@link cottonlock.rollout.ConfigurationRollout} decides and is free of I/O, clocks and
 * threads; {@code cottonlock.proxy.control.RolloutActor} carries it. docs/rollout.md says which
 * ways were weighed, and what is promised.
 */
package cottonlock.rollout;

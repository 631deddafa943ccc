/**
 * The adapter to the simulator: reads its line-based protocol from standard input, hosts one load
 * balancer for each instance that the simulator starts, and writes their actions to standard
 * output. Single-threaded; each batch of messages carries the simulated time.
 */
package cottonlock.simulator;

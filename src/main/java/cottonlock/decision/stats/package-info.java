/**
 * Statistics over sliding windows of time and random draws, which the load balancer decides by.
 * Free of I/O and clocks: the time, in ticks, is an argument.
 */
package cottonlock.decision.stats;

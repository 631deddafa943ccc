/**
 * Statistics over sliding time windows and random draws, on which the load balancer's decisions are
 * based. Free of I/O and clocks: the time, in ticks, is an argument.
 */
package cottonlock.decision.stats;

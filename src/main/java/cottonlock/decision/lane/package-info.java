/**
 * Lanes: each tenant prefers its own part of the backends, so that a tenant that overloads its part
 * does not affect the others.
 */
package cottonlock.decision.lane;

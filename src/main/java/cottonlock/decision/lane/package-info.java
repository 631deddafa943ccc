/**
 * Lanes: each tenant prefers a part of the backends of its own, so that a tenant that overloads its
 * backends leaves the others' alone.
 */
package cottonlock.decision.lane;

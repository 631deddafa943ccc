/**
 * Simulates rollouts of configuration versions in virtual time, with the production decision
 * classes: control servers, zones and regions, and each fault case of docs/rollout.md.
 */
package cottonlock.lab.rollout;

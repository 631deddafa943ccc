/**
 * Fleets of the classes that decide how a change of the settings comes into force, in virtual time:
 * control machines, zones and regions, and each hard case of docs/rollout.md.
 */
package cottonlock.lab.rollout;

/**
 * Simulated fleets in virtual time: the production decision classes on a simulated clock and
 * network. No sockets, no threads; a seed determines the whole run.
 */
package cottonlock.lab.world;

/**
 * Fleets in virtual time: the classes that decide, as they serve, on a clock and a network that one
 * seed decides. No sockets, no threads; one seed gives one run.
 */
package cottonlock.lab.world;

/**
 * Plays the control of a fleet at its size: real {@code serve} processes beside hollow ones, which
 * have the control part alone, on real sockets of loopback, with stand-ins of the machines that
 * tell them the list. It counts what control costs each role and how long a change takes until it
 * is in force.
 *
 * <p>It uses the lab's loop, charts and its process that measures lateness, so it stands beside
 * {@link cottonlock.lab} and above its parts; the lab itself knows nothing of it. docs/lab.md says
 * more.
 */
package cottonlock.lab.scale;

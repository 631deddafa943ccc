/**
 * Plays scenarios with real proxies on loopback: stand-ins for discovery, backends, clients and the
 * network, a ledger of all messages that they exchange with the proxies, and reports. Used by tests
 * and the command line, never by {@code serve}.
 *
 * <p>All stand-ins run on one thread, a {@link cottonlock.lab.EventLoop}, and so need no locks;
 * their decisions are made in classes without I/O, marked {@link cottonlock.core.Deterministic}.
 * docs/lab.md gives the reasons.
 */
package cottonlock.lab;

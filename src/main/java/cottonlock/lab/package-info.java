/**
 * Plays a scenario with real proxies on loopback: stand-ins of discovery, backends, clients and the
 * network, a ledger of every byte they see, and reports. Used by tests and the command line, never
 * by {@code serve}.
 *
 * <p>All stand-ins live on one thread, a {@link cottonlock.lab.EventLoop}, and so need no locks;
 * what they decide stands in classes free of I/O, marked {@link cottonlock.core.Deterministic}.
 * docs/lab.md says why.
 */
package cottonlock.lab;

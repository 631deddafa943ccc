/**
 * Runs the control plane of a fleet at its full size: real {@code serve} processes together with
 * simulated proxies, which have the control-plane part but no data path, on loopback sockets, with
 * simulated control machines that serve the endpoint list. It measures what the control plane costs
 * each role and how long a change takes until it is in force.
 *
 * <p>It uses the event loop, the charts and the lateness watcher of {@link cottonlock.lab}, which
 * itself does not depend on this package. See docs/lab.md.
 */
package cottonlock.lab.scale;

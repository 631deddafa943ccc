/**
 * The proxy on sockets: {@link cottonlock.proxy.Proxy} starts and closes it. This package holds the
 * data path: client connections, HTTP/1.1, the actor that owns the load balancer, one actor for
 * each backend. Endpoint discovery, configuration control, shared I/O and concurrency are
 * subpackages.
 */
package cottonlock.proxy;

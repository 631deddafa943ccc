/**
 * The proxy on sockets: {@link cottonlock.proxy.Proxy} starts and closes it. The data path stands
 * here: client connections, HTTP/1.1, the actor that owns the load balancer, one actor for each
 * backend. Endpoint discovery, configuration control, shared I/O and concurrency are packages
 * below.
 */
package cottonlock.proxy;

/** Sockets, line streams over HTTP, JSON and the log; independent of the proxy's state. */
package cottonlock.proxy.io;

/** Helpers for sockets, JSON and the log, without state of the proxy. */
package cottonlock.proxy.io;

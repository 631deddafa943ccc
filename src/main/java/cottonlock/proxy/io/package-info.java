/** Sockets, streams of lines over HTTP, JSON and the log; without state of the proxy. */
package cottonlock.proxy.io;

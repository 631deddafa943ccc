/** Threads' messages and the clock that the proxy's actors share. */
package cottonlock.proxy.concurrent;

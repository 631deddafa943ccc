/** The list of backends: the watch on discovery and the reader of its messages. */
package cottonlock.proxy.discovery;

/** Shared by the proxy's actors: the mailbox that serialises their messages, and the clock. */
package cottonlock.proxy.concurrent;

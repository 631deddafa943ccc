/** What the proxy's actors share: the mailbox that serialises their messages, and the clock. */
package cottonlock.proxy.concurrent;

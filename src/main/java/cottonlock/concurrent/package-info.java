/** What tasks with a thread of their own share, whatever they do. */
package cottonlock.concurrent;

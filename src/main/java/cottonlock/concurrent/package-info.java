/** Concurrency utilities for tasks that run on a thread of their own. */
package cottonlock.concurrent;

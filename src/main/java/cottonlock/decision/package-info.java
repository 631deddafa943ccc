/**
 * The decisions of one load balancer: {@link cottonlock.decision.LoadBalancer} takes events and
 * answers with actions. {@code admission} decides what is admitted, {@code routing} which backend
 * gets a request, {@code retry} whether a failed attempt is repeated, {@code backend} how backends
 * are rated, {@code lane} which backends each tenant prefers. Nothing here does I/O, reads a clock
 * or starts a thread; one thread calls it.
 */
package cottonlock.decision;

/**
 * The decisions of one load balancer: {@link cottonlock.decision.LoadBalancer} takes events and
 * answers with actions. {@code admission} decides what is admitted, {@code routing} which backend
 * gets a request, {@code retry} what follows an attempt, {@code backend} how backends are judged,
 * {@code lane} which backends are a tenant's own. Nothing here does I/O, reads a clock or starts a
 * thread; one thread calls it.
 */
package cottonlock.decision;

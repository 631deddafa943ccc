/**
 * The failure detector and membership protocol of the proxies of a tier. It determines which
 * processes run, which have failed, and which have a differing view.
 *
 * <p>{@link cottonlock.membership.Membership} is a pure state machine, free of I/O, clocks and
 * threads. {@link cottonlock.membership.MembershipService} runs it on a socket with one thread. The
 * protocol is SWIM with Lifeguard's extensions and anti-entropy; docs/membership.md describes it
 * and its guarantees.
 */
package cottonlock.membership;

/**
 * What the proxies of a tier know of one another: who is there, who has failed, and whose view
 * differs.
 *
 * <p>{@link cottonlock.membership.Membership} decides and is free of I/O, clocks and threads; it is
 * told datagrams and the time, and answers by datagrams. {@link
 * cottonlock.membership.MembershipService} carries it on a socket. docs/membership.md says which
 * ways were weighed, and what is promised.
 */
package cottonlock.membership;

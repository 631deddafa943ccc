package cottonlock.membership;

import java.net.InetSocketAddress;

/** Receives the datagrams of other protocols that share the membership's socket. */
public interface ForeignDatagramHandler {
    /**
     * Handles a datagram that does not belong to the membership protocol. Called by the thread of
     * the {@link MembershipService}.
     *
     * @param bytes holds the datagram at its beginning; reused afterwards
     * @param length length of the datagram in bytes
     */
    void datagramReceived(InetSocketAddress from, byte[] bytes, int length);
}

package cottonlock.membership;

import java.net.InetSocketAddress;

/** Takes the datagrams of other protocols that share the membership's socket. */
public interface ForeignDatagramHandler {
    /**
     * A datagram has come that is none of the membership protocol. Called by the thread of the
     * {@link MembershipService}.
     *
     * @param length bytes of the datagram at the beginning of the array, which is reused afterwards
     */
    void datagramReceived(InetSocketAddress from, byte[] bytes, int length);
}

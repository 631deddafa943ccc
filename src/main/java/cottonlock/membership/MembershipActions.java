package cottonlock.membership;

/**
 * The outputs of a {@link Membership}. Called during calls of the {@link Membership}, by the same
 * thread.
 */
public interface MembershipActions {
    /**
     * Sends a datagram. It may be lost.
     *
     * @param address address of the receiver: an IP address, never a host name, and a port
     */
    void send(String address, byte[] datagram);

    /**
     * Called when the state of a member or of this process has changed.
     *
     * @param reason text for logs
     */
    void memberStateChanged(String name, MemberState state, String reason);

    /**
     * Called when a payload of another subsystem has come from a member.
     *
     * @param generation generation of the member's process
     * @param topic the subsystem that the payload belongs to
     */
    default void payloadReceived(String name, long generation, int topic, byte[] payload) {}
}

package cottonlock.membership;

/**
 * What a {@link Membership} does to its surroundings. Called during the calls of {@link
 * Membership}, by their thread.
 */
public interface MembershipActions {
    /**
     * Sends a datagram. It may be lost.
     *
     * @param address of the receiver, an IP address without a host name, and a port
     */
    void send(String address, byte[] datagram);

    /**
     * A member, or this process itself, has another state now.
     *
     * @param reason in words, for logs
     */
    void memberStateChanged(String name, MemberState state, String reason);

    /**
     * A payload of another subsystem has come from a member's process.
     *
     * @param generation of the member's process
     * @param topic which subsystem it belongs to
     */
    default void payloadReceived(String name, long generation, int topic, byte[] payload) {}
}

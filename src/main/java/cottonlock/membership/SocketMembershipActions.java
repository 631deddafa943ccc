package cottonlock.membership;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Sends a membership's datagrams through a socket, signed if there is a key, and logs its
 * notifications. Guarded by the lock of its {@link MembershipService}, except {@link #close}.
 */
final class SocketMembershipActions implements MembershipActions, AutoCloseable {
    private final DatagramSocket socket;
    private final DatagramAuthenticator authenticator;
    private final String selfName;
    private final Consumer<String> log;

    /** Cache of the most recently added parsed addresses. */
    private final Map<String, InetSocketAddress> parsedAddresses;

    /** Written by any thread. */
    private volatile boolean closed;

    /**
     * Creates the actions.
     *
     * @param authenticator signs datagrams; null: they are not signed
     * @param maxAddresses maximum number of parsed addresses kept
     */
    SocketMembershipActions(
            DatagramSocket socket,
            DatagramAuthenticator authenticator,
            String selfName,
            int maxAddresses,
            Consumer<String> log) {
        this.socket = socket;
        this.authenticator = authenticator;
        this.selfName = selfName;
        this.log = log;
        this.parsedAddresses =
                new LinkedHashMap<>() {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(
                            Map.Entry<String, InetSocketAddress> eldest) {
                        return size() > maxAddresses;
                    }
                };
    }

    @Override
    public void send(String address, byte[] datagram) {
        byte[] bytes = authenticator == null ? datagram : authenticator.sign(datagram);
        try {
            InetSocketAddress receiver =
                    parsedAddresses.computeIfAbsent(address, SocketAddresses::parse);
            socket.send(new DatagramPacket(bytes, bytes.length, receiver));
        } catch (IOException | IllegalArgumentException e) {
            // The protocol treats this as a lost datagram.
            if (!closed) {
                log.accept("a datagram to " + address + " could not be sent: " + e.getMessage());
            }
        }
    }

    @Override
    public void memberStateChanged(String name, MemberState state, String reason) {
        log.accept(
                (name.equals(selfName) ? "this process is " : name + " is ")
                        + state.name().toLowerCase(Locale.ROOT)
                        + ": "
                        + reason);
    }

    /** Failures to send are no longer logged. The socket stays open: its owner closes it. */
    @Override
    public void close() {
        closed = true;
    }
}

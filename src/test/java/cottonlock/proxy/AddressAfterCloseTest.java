package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cottonlock.admin.ManagementServer;
import cottonlock.core.Ticks;
import cottonlock.membership.LocalMember;
import cottonlock.membership.MembershipHost;
import cottonlock.membership.MembershipService;
import cottonlock.membership.SocketAddresses;
import cottonlock.proxy.control.PeerMessenger;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import cottonlock.setup.MembershipConfig;
import cottonlock.setup.MembershipProtocolConfig;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import net.jqwik.api.Example;

/**
 * Guards against addresses that are still in use after {@code close}: a process that opened the
 * same address again at once failed with "Address already in use".
 */
class AddressAfterCloseTest {
    private static final int ROUNDS = 1_000;
    private static final int BUSY_THREADS = 8;

    private final SplittableRandom random = new SplittableRandom(1);
    private final RateLimitedLog log = new RateLimitedLog(System.getLogger("cottonlock"));

    /** Opens something at an address, has its thread wait there, and closes it. */
    private interface Round {
        void openAndClose(InetSocketAddress address) throws Exception;
    }

    /**
     * Runs many rounds at one address beside busy threads; a round that finds the address in use
     * fails.
     */
    private void assertFreeAfterEachClose(String ip, Round round) throws Exception {
        InetSocketAddress address;
        try (ServerSocket reserved = new ServerSocket()) {
            reserved.bind(new InetSocketAddress(ip, 0));
            address = (InetSocketAddress) reserved.getLocalSocketAddress();
        }
        AtomicBoolean over = new AtomicBoolean();
        List<String> refused = new ArrayList<>();
        try {
            for (int i = 0; i < BUSY_THREADS; i++) {
                Sockets.start("busy", () -> spinUntil(over));
            }
            for (int i = 0; i < ROUNDS; i++) {
                try {
                    round.openAndClose(address);
                } catch (IOException e) {
                    refused.add("round " + i + ": " + e.getMessage());
                }
            }
        } finally {
            over.set(true);
        }
        assertEquals(List.of(), refused, refused.size() + " of " + ROUNDS);
    }

    private static void spinUntil(AtomicBoolean over) {
        while (!over.get()) {
            Thread.onSpinWait();
        }
    }

    /** Sometimes the thread waits in the kernel by then, sometimes it has not started. */
    private void startAndPause(Runnable task) {
        Sockets.start("under test", task);
        LockSupport.parkNanos(random.nextLong(400_000));
    }

    @Example
    void membershipStartsAgainAtItsAddressAtOnce() throws Exception {
        assertFreeAfterEachClose("127.61.0.1", this::openAndCloseMembership);
    }

    private void openAndCloseMembership(InetSocketAddress address) throws IOException {
        String self = SocketAddresses.format(address);
        MembershipConfig config =
                new MembershipConfig("", "", List.of(), "", "", MembershipProtocolConfig.DEFAULTS);
        DatagramSocket socket = PeerMessenger.openSocket(address, false);
        MembershipService service =
                new MembershipService(
                        config,
                        socket,
                        new LocalMember("self", self, List.of(self), false, 1),
                        random.split(),
                        new MembershipHost(
                                () -> Ticks.ofMillis(System.nanoTime() / 1_000_000),
                                () -> Ticks.ofMillis(System.nanoTime() / 1_000_000),
                                null,
                                (from, bytes, length) -> {},
                                line -> {}));
        startAndPause(service);
        service.close();
        socket.close();
    }

    @Example
    void peerMessengerStartsAgainAtItsAddressAtOnce() throws Exception {
        assertFreeAfterEachClose("127.61.0.2", this::openAndClosePeerMessenger);
    }

    private void openAndClosePeerMessenger(InetSocketAddress address) throws IOException {
        DatagramSocket socket = PeerMessenger.openSocket(address, false);
        PeerMessenger messenger =
                new PeerMessenger(socket, List.of(address), address, message -> {}, log);
        startAndPause(messenger);
        messenger.close();
    }

    @Example
    void managementServerStartsAgainAtItsAddressAtOnce() throws Exception {
        assertFreeAfterEachClose("127.61.0.3", this::openAndCloseManagementServer);
    }

    private void openAndCloseManagementServer(InetSocketAddress address) throws IOException {
        ManagementServer server = new ManagementServer(address, null);
        startAndPause(server);
        server.close();
    }

    @Example
    void clientListenerStartsAgainAtItsAddressAtOnce() throws Exception {
        assertFreeAfterEachClose("127.61.0.4", this::openAndCloseClientListener);
    }

    private void openAndCloseClientListener(InetSocketAddress address) throws IOException {
        ClientListener listener =
                new ClientListener(address, false, 1, () -> 1, null, new WorkerThreads(log), log);
        startAndPause(listener);
        listener.close();
    }
}

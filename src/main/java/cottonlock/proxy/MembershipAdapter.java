package cottonlock.proxy;

import cottonlock.membership.MembershipService;
import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.control.PeerMessenger;
import cottonlock.proxy.control.ProcessHandover;
import cottonlock.proxy.control.ProxyConfiguration;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import cottonlock.setup.InvalidSettingsException;
import cottonlock.setup.MembershipConfig;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/**
 * Joins a proxy to the fleet of those that know one another; loaded only where an operator's file
 * asks.
 */
final class MembershipAdapter {
    /** Milliseconds that this process's wall clock is wrong by, for tests alone. */
    private static final String CLOCK = "cottonlock.test.clock_ms";

    /** A file for tests alone: while it is there, the module's thread stands still. */
    private static final String HANG = "cottonlock.test.hang";

    private static final long LOOK = 20;

    private final MembershipService actor;
    private final DatagramSocket socket;
    private final boolean sharesSocket;

    /**
     * Opens a socket of its own, or shares that of the module's datagrams.
     *
     * @param succession tells of the proxy's other process; null where there can be none
     * @throws InvalidSettingsException for files that name nobody else, or no address of its own
     */
    MembershipAdapter(
            MembershipConfig plan,
            ProxyConfiguration config,
            DatagramSocket peerSocket,
            PeerMessenger peers,
            LoadBalancerActor module,
            TickClock clock,
            ProcessHandover succession,
            SplittableRandom random,
            RateLimitedLog log)
            throws IOException {
        InetSocketAddress peerListen = config.addressOrNull("peer_listen");
        InetSocketAddress listen =
                plan.listenAddress().isEmpty()
                        ? peerListen
                        : ProxyConfiguration.address("membership.listen", plan.listenAddress());
        if (listen == null) {
            throw new InvalidSettingsException(
                    "membership needs an address: peer_listen here, or membership.listen in the "
                            + "operator's file");
        }
        sharesSocket = peerSocket != null && listen.equals(peerListen);
        List<InetSocketAddress> fixed = config.addresses("peers");
        List<String> contacts = new ArrayList<>();
        fixed.forEach(address -> contacts.add(MembershipService.addressText(address)));
        plan.seedAddresses()
                .forEach(
                        seed ->
                                contacts.add(
                                        MembershipService.addressText(
                                                ProxyConfiguration.address(
                                                        "membership.seeds", seed))));
        if (contacts.isEmpty()) {
            throw new InvalidSettingsException(
                    "membership needs others: peers here, or membership.seeds in the operator's "
                            + "file");
        }
        int me = config.settings().count("Me", -1);
        String address =
                MembershipService.addressText(
                        !plan.advertisedAddress().isEmpty()
                                ? ProxyConfiguration.address(
                                        "membership.advertise", plan.advertisedAddress())
                                : plan.listenAddress().isEmpty() && me >= 0 && me < fixed.size()
                                        ? fixed.get(me)
                                        : listen);
        String name = config.text("name", "");
        BooleanSupplier replaced = succession == null ? null : succession::isReplaced;
        socket = sharesSocket ? peerSocket : PeerMessenger.openSocket(listen, succession != null);
        long life = System.currentTimeMillis() + Long.getLong(CLOCK, 0);
        try {
            actor =
                    new MembershipService(
                            plan,
                            socket,
                            name,
                            address,
                            contacts,
                            plan.seedAddresses().isEmpty(),
                            life,
                            random,
                            clock::now,
                            module::progressAt,
                            replaced,
                            peers::receive,
                            line -> log.each("members", line));
        } catch (IllegalArgumentException e) {
            close();
            throw new InvalidSettingsException("name: " + e.getMessage());
        } catch (IOException e) {
            close();
            throw e;
        }
        String hang = System.getProperty(HANG);
        if (hang != null) {
            Sockets.start("test hang", () -> hangs(new java.io.File(hang), module));
        }
    }

    private static void hangs(java.io.File file, LoadBalancerActor module) {
        try {
            while (true) {
                if (file.exists()) {
                    module.hang(
                            () -> {
                                while (file.exists()) {
                                    java.util.concurrent.locks.LockSupport.parkNanos(
                                            LOOK * 1_000_000);
                                }
                            });
                }
                Thread.sleep(LOOK);
            }
        } catch (InterruptedException e) {
            // The proxy closes.
        }
    }

    MembershipService actor() {
        return actor;
    }

    /** Whether the actor reads the socket of the module's datagrams too. */
    boolean readsForPeers() {
        return sharesSocket;
    }

    void close() {
        if (actor != null) {
            actor.close();
        }
        if (!sharesSocket) {
            socket.close();
        }
    }
}

package cottonlock.proxy;

import cottonlock.membership.LocalMember;
import cottonlock.membership.MembershipHost;
import cottonlock.membership.MembershipService;
import cottonlock.membership.SocketAddresses;
import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.control.PeerMessenger;
import cottonlock.proxy.control.ProcessHandover;
import cottonlock.proxy.control.ProxyConfiguration;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import cottonlock.setup.InvalidSettingsException;
import cottonlock.setup.MembershipConfig;
import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;

/**
 * Joins a proxy to the membership protocol: finds its addresses in the settings and opens the
 * socket. Loaded only if an operator's file configures membership.
 */
final class MembershipAdapter implements AutoCloseable {
    /** Offset of this process's wall clock in milliseconds, for tests alone. */
    private static final String CLOCK_OFFSET_PROPERTY = "cottonlock.test.clock_ms";

    /** Names a file, for tests alone: while it exists, the load balancer's thread is stalled. */
    private static final String STALL_FILE_PROPERTY = "cottonlock.test.hang";

    private static final long STALL_FILE_CHECK_MILLIS = 20;

    /**
     * The proxy's parts that membership uses.
     *
     * @param peerSocket of the load balancer's own datagrams; null if there is none
     * @param peers takes the load balancer's own datagrams if both share the socket
     * @param loadBalancer whose progress is watched
     * @param clock of the proxy
     * @param handover to or from another process of this proxy; null if there is none
     * @param log takes lines for people
     */
    record Collaborators(
            DatagramSocket peerSocket,
            PeerMessenger peers,
            LoadBalancerActor loadBalancer,
            TickClock clock,
            ProcessHandover handover,
            RateLimitedLog log) {}

    private final MembershipService service;
    private final DatagramSocket socket;
    private final boolean sharesPeerSocket;

    /**
     * Opens a socket, or shares that of the load balancer's own datagrams.
     *
     * @throws InvalidSettingsException for settings that name no other member, no address of this
     *     process, or a name that can't be a member's
     * @throws IOException for a socket that can't be opened or a key that can't be read
     */
    MembershipAdapter(
            MembershipConfig membership,
            ProxyConfiguration config,
            SplittableRandom random,
            Collaborators collaborators)
            throws IOException {
        InetSocketAddress peerListen = config.addressOrNull("peer_listen");
        InetSocketAddress listen = listenAddress(membership, peerListen);
        LocalMember self = self(membership, config, listen);
        sharesPeerSocket = collaborators.peerSocket() != null && listen.equals(peerListen);
        socket =
                sharesPeerSocket
                        ? collaborators.peerSocket()
                        : PeerMessenger.openSocket(listen, collaborators.handover() != null);
        try {
            service = new MembershipService(membership, socket, self, random, host(collaborators));
        } catch (IllegalArgumentException e) {
            closeOwnSocket();
            throw new InvalidSettingsException("name: " + e.getMessage());
        } catch (IOException e) {
            closeOwnSocket();
            throw e;
        }
        String stallFile = System.getProperty(STALL_FILE_PROPERTY);
        if (stallFile != null) {
            Sockets.start(
                    "test hang",
                    () -> stallWhileExists(new File(stallFile), collaborators.loadBalancer()));
        }
    }

    private static MembershipHost host(Collaborators collaborators) {
        ProcessHandover handover = collaborators.handover();
        RateLimitedLog log = collaborators.log();
        return new MembershipHost(
                collaborators.clock()::now,
                collaborators.loadBalancer()::lastProgressTicks,
                handover == null ? null : handover::isReplaced,
                collaborators.peers()::receive,
                line -> log.logEach("members", line));
    }

    private static InetSocketAddress listenAddress(
            MembershipConfig membership, InetSocketAddress peerListen) {
        InetSocketAddress listen =
                membership.listenAddress().isEmpty()
                        ? peerListen
                        : ProxyConfiguration.address(
                                "membership.listen", membership.listenAddress());
        if (listen == null) {
            throw new InvalidSettingsException(
                    "membership needs an address: peer_listen here, or membership.listen in the "
                            + "operator's file");
        }
        return listen;
    }

    private static LocalMember self(
            MembershipConfig membership, ProxyConfiguration config, InetSocketAddress listen) {
        List<InetSocketAddress> peers = config.addresses("peers");
        List<String> contacts = new ArrayList<>();
        for (InetSocketAddress peer : peers) {
            contacts.add(SocketAddresses.format(peer));
        }
        for (String seed : membership.seedAddresses()) {
            contacts.add(
                    SocketAddresses.format(ProxyConfiguration.address("membership.seeds", seed)));
        }
        if (contacts.isEmpty()) {
            throw new InvalidSettingsException(
                    "membership needs others: peers here, or membership.seeds in the operator's "
                            + "file");
        }
        int ownIndex = config.settings().count("Me", -1);
        InetSocketAddress ownPeer =
                ownIndex >= 0 && ownIndex < peers.size() ? peers.get(ownIndex) : null;
        return new LocalMember(
                config.text("name", ""),
                SocketAddresses.format(advertisedAddress(membership, listen, ownPeer)),
                contacts,
                membership.seedAddresses().isEmpty(),
                System.currentTimeMillis() + Long.getLong(CLOCK_OFFSET_PROPERTY, 0));
    }

    /** The address configured for others, else this process's place among the peers. */
    private static InetSocketAddress advertisedAddress(
            MembershipConfig membership, InetSocketAddress listen, InetSocketAddress ownPeer) {
        if (!membership.advertisedAddress().isEmpty()) {
            return ProxyConfiguration.address(
                    "membership.advertise", membership.advertisedAddress());
        }
        return membership.listenAddress().isEmpty() && ownPeer != null ? ownPeer : listen;
    }

    private static void stallWhileExists(File file, LoadBalancerActor loadBalancer) {
        try {
            while (true) {
                if (file.exists()) {
                    loadBalancer.stall(() -> parkWhileExists(file));
                }
                Thread.sleep(STALL_FILE_CHECK_MILLIS);
            }
        } catch (InterruptedException e) {
            // The proxy closes.
        }
    }

    private static void parkWhileExists(File file) {
        while (file.exists()) {
            LockSupport.parkNanos(STALL_FILE_CHECK_MILLIS * 1_000_000);
        }
    }

    MembershipService service() {
        return service;
    }

    /** Whether the service also reads the socket of the load balancer's own datagrams. */
    boolean sharesPeerSocket() {
        return sharesPeerSocket;
    }

    /**
     * Ends membership and closes its socket, also one that it shares; the address is free when this
     * returns.
     */
    @Override
    public void close() {
        service.close();
    }

    private void closeOwnSocket() {
        if (!sharesPeerSocket) {
            socket.close();
        }
    }
}

package cottonlock.lab.scale;

import cottonlock.config.InvalidConfigurationException;
import cottonlock.config.MembershipTable;
import cottonlock.membership.LocalMember;
import cottonlock.membership.MembershipHost;
import cottonlock.membership.MembershipService;
import cottonlock.membership.MembershipView;
import cottonlock.membership.SocketAddresses;
import cottonlock.proxy.discovery.DiscoveryClient;
import cottonlock.setup.MembershipConfig;
import cottonlock.setup.MembershipProtocolConfig;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * A process that runs many simulated proxies without a data path. Each runs only the control-plane
 * part, with the production classes and with its own sockets and threads: a discovery client that
 * watches the endpoint list and, if configured, a membership service.
 *
 * <p>The run sends it orders as lines on its standard input; it answers {@code held}, {@code times}
 * and {@code views} with one line each. The process exits at the end of its input.
 */
final class SimulatedProxyHost {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** Stack size of a thread in bytes, the same as for threads of {@code serve}. */
    private static final long THREAD_STACK_BYTES = 192 << 10;

    /** Number of recent list versions whose time each proxy keeps. */
    private static final int KEPT_VERSIONS = 1_024;

    /** A proxy with control-plane connections but no data path. */
    private final class SimulatedProxy implements DiscoveryClient.Listener {
        final String name;
        final InetSocketAddress address;
        final InetSocketAddress discovery;
        final CountedSocket.Traffic traffic = new CountedSocket.Traffic();
        private final long[] versions = new long[KEPT_VERSIONS];
        private final long[] times = new long[KEPT_VERSIONS];
        private int appliedCount;
        private DiscoveryClient discoveryClient;
        private MembershipService membership;

        SimulatedProxy(String name, InetSocketAddress address, InetSocketAddress discovery) {
            this.name = name;
            this.address = address;
            this.discovery = discovery;
        }

        void start() throws IOException {
            discoveryClient = new DiscoveryClient(discovery, zones, random.split(), this);
            discoveryClient.start();
            if (protocolConfig != null) {
                DatagramSocket socket =
                        new CountedSocket(address, cuts, traffic, realTraffic, realAddresses);
                MembershipConfig membershipConfig =
                        new MembershipConfig("", "", seeds, "", "", protocolConfig);
                membership =
                        new MembershipService(
                                membershipConfig,
                                socket,
                                new LocalMember(
                                        name,
                                        SocketAddresses.format(address),
                                        seeds,
                                        false,
                                        System.currentTimeMillis()),
                                random.split(),
                                new MembershipHost(
                                        SimulatedProxyHost::currentTick,
                                        SimulatedProxyHost::currentTick,
                                        null,
                                        (from, bytes, length) -> {},
                                        line -> {}));
                Thread thread = new Thread(null, membership, "members", THREAD_STACK_BYTES);
                thread.setDaemon(true);
                thread.start();
            }
        }

        /** Ends the proxy as a killed process ends, without notifying the other members. */
        void kill() {
            discoveryClient.close();
            discoveryClient = null;
            if (membership != null) {
                membership.close();
                membership = null;
            }
        }

        @Override
        public synchronized void listApplied(long version, boolean complete, int size) {
            versions[appliedCount % KEPT_VERSIONS] = version;
            times[appliedCount % KEPT_VERSIONS] = System.nanoTime();
            appliedCount++;
        }

        @Override
        public void watchLost() {
            // The discovery client reconnects by itself.
        }

        /**
         * Returns when it first held that version or a later one ({@link System#nanoTime}); -1 if
         * it does not.
         */
        synchronized long heldAt(long version) {
            long first = -1;
            for (int i = Math.max(0, appliedCount - KEPT_VERSIONS); i < appliedCount; i++) {
                if (versions[i % KEPT_VERSIONS] >= version
                        && (first < 0 || times[i % KEPT_VERSIONS] < first)) {
                    first = times[i % KEPT_VERSIONS];
                }
            }
            return first;
        }
    }

    private final Map<Integer, SimulatedProxy> proxies = new ConcurrentSkipListMap<>();
    private final CountedSocket.Cuts cuts = new CountedSocket.Cuts();
    private final CountedSocket.Traffic realTraffic = new CountedSocket.Traffic();
    private final Set<InetAddress> realAddresses = new HashSet<>();
    private final List<String> zones = new ArrayList<>();
    private final List<String> seeds = new ArrayList<>();
    private final MembershipProtocolConfig protocolConfig;
    private final SplittableRandom random;

    private SimulatedProxyHost(MembershipProtocolConfig protocolConfig, long seed) {
        this.protocolConfig = protocolConfig;
        this.random = new SplittableRandom(seed);
    }

    private static long currentTick() {
        return System.nanoTime() / 100_000;
    }

    /**
     * Runs the process. Arguments: a seed and, if membership is on, the operator file with the
     * protocol settings.
     */
    public static void main(String[] args) throws IOException, InvalidConfigurationException {
        java.util.logging.Logger.getLogger("cottonlock").setLevel(java.util.logging.Level.OFF);
        SimulatedProxyHost host =
                new SimulatedProxyHost(
                        args.length > 1 ? MembershipTable.readProtocol(Path.of(args[1])) : null,
                        Long.parseLong(args[0]));
        Thread reporter = new Thread(host::reportEachSecond, "teller");
        reporter.setDaemon(true);
        reporter.start();
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.ISO_8859_1))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                host.execute(line.split(" "));
            }
        } catch (IOException | RuntimeException e) {
            // Standard error is this process's log, which the run shows when the process has ended.
            e.printStackTrace();
        } finally {
            Runtime.getRuntime().halt(0);
        }
    }

    private void execute(String[] order) throws IOException {
        switch (order[0]) {
            case "zones" -> zones.addAll(List.of(order).subList(1, order.length));
            case "seeds" -> seeds.addAll(List.of(order).subList(1, order.length));
            case "real" -> {
                for (int i = 1; i < order.length; i++) {
                    realAddresses.add(InetAddress.getByName(order[i]));
                }
            }
            case "new" ->
                    proxies.put(
                            Integer.parseInt(order[1]),
                            new SimulatedProxy(
                                    order[2], parseAddress(order[3]), parseAddress(order[4])));
            case "start" -> {
                for (SimulatedProxy proxy : selectProxies(order)) {
                    proxy.start();
                }
            }
            case "kill" -> selectProxies(order).forEach(SimulatedProxy::kill);
            case "cut" -> cuts.set(partitionMatrix(order));
            case "held" -> {
                long version = Long.parseLong(order[1]);
                System.out.println(
                        "held "
                                + order[1]
                                + " "
                                + runningProxies().size()
                                + " "
                                + runningProxies().stream()
                                        .filter(p -> p.heldAt(version) >= 0)
                                        .count());
            }
            case "times" -> {
                StringBuilder line = new StringBuilder("times ").append(order[1]);
                proxies.forEach(
                        (number, proxy) -> {
                            if (proxy.discoveryClient != null) {
                                line.append(' ')
                                        .append(number)
                                        .append(':')
                                        .append(proxy.heldAt(Long.parseLong(order[1])));
                            }
                        });
                System.out.println(line);
            }
            case "views" -> {
                StringBuilder line = new StringBuilder("views");
                int every = Math.max(1, proxies.size() / Integer.parseInt(order[1]));
                List<SimulatedProxy> running = runningProxies();
                for (int i = 0; i < running.size(); i += every) {
                    if (running.get(i).membership != null) {
                        MembershipView view = running.get(i).membership.view();
                        line.append(' ').append(view.liveCount());
                    }
                }
                System.out.println(line);
            }
            default -> throw new IllegalArgumentException(String.join(" ", order));
        }
    }

    private List<SimulatedProxy> runningProxies() {
        return proxies.values().stream().filter(p -> p.discoveryClient != null).toList();
    }

    /** Returns the proxies whose numbers follow the name of the order; all if none follows. */
    private List<SimulatedProxy> selectProxies(String[] order) {
        if (order.length == 1) {
            return List.copyOf(proxies.values());
        }
        List<SimulatedProxy> named = new ArrayList<>();
        for (int i = 1; i < order.length; i++) {
            named.add(proxies.get(Integer.parseInt(order[i])));
        }
        return named;
    }

    /**
     * Returns which zones are cut off from each other. The words after the name of the order are
     * the groups, each the numbers of its zones joined by commas; without groups, nothing is cut
     * off.
     */
    private boolean[][] partitionMatrix(String[] groups) {
        boolean[][] cut = new boolean[zones.size()][zones.size()];
        int[] group = new int[zones.size()];
        for (int g = 1; g < groups.length; g++) {
            for (String zone : groups[g].split(",", 0)) {
                group[Integer.parseInt(zone)] = g;
            }
        }
        for (int a = 0; a < cut.length; a++) {
            for (int b = 0; b < cut.length; b++) {
                cut[a][b] = group[a] != group[b];
            }
        }
        return cut;
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /**
     * Prints the traffic of each second: of all simulated proxies, with the bytes of the one that
     * sent most, and of real proxies as the simulated ones see it.
     */
    private void reportEachSecond() {
        try {
            while (true) {
                // One millisecond more: a sleep of whole milliseconds must not end before the
                // second does.
                Thread.sleep(
                        (NANOS_PER_SECOND - System.nanoTime() % NANOS_PER_SECOND) / 1_000_000 + 1);
                long second = System.nanoTime() / NANOS_PER_SECOND - 1;
                long[] totals = new long[4];
                long maxBytesOut = 0;
                for (SimulatedProxy proxy : List.copyOf(proxies.values())) {
                    long[] own = proxy.traffic.take();
                    for (int i = 0; i < totals.length; i++) {
                        totals[i] += own[i];
                    }
                    maxBytesOut = Math.max(maxBytesOut, own[1]);
                }
                long[] seen = realTraffic.take();
                System.out.println(
                        "second " + second + " hollow " + join(totals) + " " + maxBytesOut);
                System.out.println("second " + second + " real " + join(seen) + " 0");
            }
        } catch (InterruptedException e) {
            // The process exits.
        }
    }

    private static String join(long[] numbers) {
        StringBuilder line = new StringBuilder();
        for (long number : numbers) {
            line.append(line.length() == 0 ? "" : " ").append(number);
        }
        return line.toString();
    }
}

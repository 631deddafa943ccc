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
 * A process of many hollow proxies. Each has the control part alone, by the classes that serve,
 * with sockets and threads of its own: the list's watch and the list that it tells, and what it
 * knows of the others.
 *
 * <p>The run tells it by lines on its standard input, and it answers {@code held}, {@code times}
 * and {@code views} with one line each. It ends with its input.
 */
final class HollowHost {
    private static final long SECOND = 1_000_000_000L;

    /** Bytes of a thread's stack, as threads of {@code serve} have them. */
    private static final long STACK = 192 << 10;

    /** Versions whose time is kept for each proxy. */
    private static final int KEPT = 1_024;

    /** One hollow proxy. */
    private final class Proxy implements DiscoveryClient.Listener {
        final String name;
        final InetSocketAddress address;
        final InetSocketAddress discovery;
        final CountedSocket.Traffic traffic = new CountedSocket.Traffic();
        private final long[] versions = new long[KEPT];
        private final long[] times = new long[KEPT];
        private int told;
        private DiscoveryClient part;
        private MembershipService members;

        Proxy(String name, InetSocketAddress address, InetSocketAddress discovery) {
            this.name = name;
            this.address = address;
            this.discovery = discovery;
        }

        void start() throws IOException {
            part = new DiscoveryClient(discovery, zones, random.split(), this);
            part.start();
            if (rules != null) {
                DatagramSocket socket = new CountedSocket(address, cuts, traffic, real, realOnes);
                MembershipConfig plan = new MembershipConfig("", "", seeds, "", "", rules);
                members =
                        new MembershipService(
                                plan,
                                socket,
                                new LocalMember(
                                        name,
                                        SocketAddresses.format(address),
                                        seeds,
                                        false,
                                        System.currentTimeMillis()),
                                random.split(),
                                new MembershipHost(
                                        HollowHost::tenths,
                                        HollowHost::tenths,
                                        null,
                                        (from, bytes, length) -> {},
                                        line -> {}));
                Thread thread = new Thread(null, members, "members", STACK);
                thread.setDaemon(true);
                thread.start();
            }
        }

        /** As a killed process ends: nobody is told. */
        void kill() {
            part.close();
            part = null;
            if (members != null) {
                members.close();
                members = null;
            }
        }

        @Override
        public synchronized void listApplied(long version, boolean complete, int size) {
            versions[told % KEPT] = version;
            times[told % KEPT] = System.nanoTime();
            told++;
        }

        @Override
        public void watchLost() {
            // It watches again by itself.
        }

        /** When it first held that version or a later one; -1: it does not. */
        synchronized long heldAt(long version) {
            long first = -1;
            for (int i = Math.max(0, told - KEPT); i < told; i++) {
                if (versions[i % KEPT] >= version && (first < 0 || times[i % KEPT] < first)) {
                    first = times[i % KEPT];
                }
            }
            return first;
        }
    }

    private final Map<Integer, Proxy> proxies = new ConcurrentSkipListMap<>();
    private final CountedSocket.Cuts cuts = new CountedSocket.Cuts();
    private final CountedSocket.Traffic real = new CountedSocket.Traffic();
    private final Set<InetAddress> realOnes = new HashSet<>();
    private final List<String> zones = new ArrayList<>();
    private final List<String> seeds = new ArrayList<>();
    private final MembershipProtocolConfig rules;
    private final SplittableRandom random;

    private HollowHost(MembershipProtocolConfig rules, long seed) {
        this.rules = rules;
        this.random = new SplittableRandom(seed);
    }

    private static long tenths() {
        return System.nanoTime() / 100_000;
    }

    /**
     * The process; its arguments: a seed, and the operator's file where the proxies know one
     * another.
     */
    public static void main(String[] args) throws IOException, InvalidConfigurationException {
        java.util.logging.Logger.getLogger("cottonlock").setLevel(java.util.logging.Level.OFF);
        HollowHost host =
                new HollowHost(
                        args.length > 1 ? MembershipTable.readProtocol(Path.of(args[1])) : null,
                        Long.parseLong(args[0]));
        Thread teller = new Thread(host::tell, "teller");
        teller.setDaemon(true);
        teller.start();
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.ISO_8859_1))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                host.carryOut(line.split(" "));
            }
        } catch (IOException | RuntimeException e) {
            // Standard error is this process's log, which the run shows when the process has ended.
            e.printStackTrace();
        } finally {
            Runtime.getRuntime().halt(0);
        }
    }

    private void carryOut(String[] order) throws IOException {
        switch (order[0]) {
            case "zones" -> zones.addAll(List.of(order).subList(1, order.length));
            case "seeds" -> seeds.addAll(List.of(order).subList(1, order.length));
            case "real" -> {
                for (int i = 1; i < order.length; i++) {
                    realOnes.add(InetAddress.getByName(order[i]));
                }
            }
            case "new" ->
                    proxies.put(
                            Integer.parseInt(order[1]),
                            new Proxy(order[2], address(order[3]), address(order[4])));
            case "start" -> {
                for (Proxy proxy : named(order)) {
                    proxy.start();
                }
            }
            case "kill" -> named(order).forEach(Proxy::kill);
            case "cut" -> cuts.set(between(order));
            case "held" -> {
                long version = Long.parseLong(order[1]);
                System.out.println(
                        "held "
                                + order[1]
                                + " "
                                + living().size()
                                + " "
                                + living().stream().filter(p -> p.heldAt(version) >= 0).count());
            }
            case "times" -> {
                StringBuilder line = new StringBuilder("times ").append(order[1]);
                proxies.forEach(
                        (number, proxy) -> {
                            if (proxy.part != null) {
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
                List<Proxy> asked = living();
                for (int i = 0; i < asked.size(); i += every) {
                    if (asked.get(i).members != null) {
                        MembershipView view = asked.get(i).members.view();
                        line.append(' ').append(view.liveCount());
                    }
                }
                System.out.println(line);
            }
            default -> throw new IllegalArgumentException(String.join(" ", order));
        }
    }

    private List<Proxy> living() {
        return proxies.values().stream().filter(p -> p.part != null).toList();
    }

    /** The proxies whose numbers follow; all where none does. */
    private List<Proxy> named(String[] order) {
        if (order.length == 1) {
            return List.copyOf(proxies.values());
        }
        List<Proxy> named = new ArrayList<>();
        for (int i = 1; i < order.length; i++) {
            named.add(proxies.get(Integer.parseInt(order[i])));
        }
        return named;
    }

    /**
     * Zones in groups, each a word of numbers joined by commas, that are cut off from one another.
     */
    private boolean[][] between(String[] groups) {
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

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /**
     * Each second, what passed: of all hollow proxies, of the one that sent most, and of real ones.
     */
    private void tell() {
        try {
            while (true) {
                // One more: a nap of whole milliseconds must not end before the second does.
                Thread.sleep((SECOND - System.nanoTime() % SECOND) / 1_000_000 + 1);
                long second = System.nanoTime() / SECOND - 1;
                long[] all = new long[4];
                long most = 0;
                for (Proxy proxy : List.copyOf(proxies.values())) {
                    long[] own = proxy.traffic.take();
                    for (int i = 0; i < all.length; i++) {
                        all[i] += own[i];
                    }
                    most = Math.max(most, own[1]);
                }
                long[] seen = real.take();
                System.out.println("second " + second + " hollow " + words(all) + " " + most);
                System.out.println("second " + second + " real " + words(seen) + " 0");
            }
        } catch (InterruptedException e) {
            // The process ends.
        }
    }

    private static String words(long[] numbers) {
        StringBuilder line = new StringBuilder();
        for (long number : numbers) {
            line.append(line.length() == 0 ? "" : " ").append(number);
        }
        return line.toString();
    }
}

package cottonlock.lab;

import cottonlock.config.InvalidConfigurationException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * One run of a scenario: creates the stand-ins and the proxies, plays the arrivals and the faults,
 * and shuts everything down.
 */
final class Experiment {
    /** Nanoseconds between the start of the last proxy and the first arrival. */
    private static final long START_LEAD_NANOS = 300_000_000L;

    /**
     * Nanoseconds after SIGTERM during which the front still sends new connections to the old
     * process of a planned restart (PROTOCOL, Figures).
     */
    private static final long FRONT_AFTER_TERM_NANOS = 300_000_000L;

    /** The longest deadline that a process manager waits for before it kills a proxy. */
    private static final long MAX_DEADLINE_MILLIS = 3_000;

    /** Milliseconds that it waits in addition to the longest deadline. */
    private static final long KILL_AFTER_DEADLINE_MILLIS = 700;

    /** Minimum time in nanoseconds that a drained backend is down before it starts again. */
    private static final long MIN_DOWN_NANOS = 500_000_000L;

    /** File descriptors that the lab itself needs, with a margin. */
    private static final long OWN_DESCRIPTORS = 300;

    /**
     * Threads that start and stop proxies. They are few because each start of a process takes half
     * a core for half a second.
     */
    private static final int PROCESS_THREADS = 6;

    /**
     * Protocol periods after which each proxy's view of the members must be correct: more than the
     * longest suspicion timeout, which is nine periods by default.
     */
    private static final int SETTLE_PERIODS = 14;

    /** Length in nanoseconds of a slice; a starved process runs once in each slice. */
    private static final long STARVE_SLICE_NANOS = 100_000_000L;

    /** Largest log of a process, in bytes, that is kept for the report. */
    private static final long MAX_LOG_BYTES = 4 << 20;

    /**
     * Request rate from which the JVM is warmed up before a run; at lower rates the JIT compiler
     * keeps up during the run.
     */
    private static final double WARM_UP_MIN_REQUESTS_PER_SECOND = 500;

    private static final String WARM_UP_SCENARIO =
            """
            seconds = 2
            proxy = {policy = "direct", count = 2}
            tier = [{backends = 2, cores = 64}]
            tenant = [{name = "t", rate = 1500}]
            category = [{name = "c", due_ms = 500, expiry_ms = 500, work_ms = 0.1}]
            """;

    /**
     * One proxy with its host and its caller. The host is null for a baseline policy and for calls
     * without a proxy.
     */
    private static final class Node {
        final int number;
        final Host host;
        final ProxyClient client;
        volatile boolean serving;

        /** Whether it is in the first tier, whose proxies the clients call. */
        final boolean firstTier;

        long starts;

        Node(int number, Host host, ProxyClient client, boolean firstTier) {
            this.number = number;
            this.host = host;
            this.client = client;
            this.firstTier = firstTier;
        }
    }

    private final Scenario scenario;
    private final EventLoop loop = new EventLoop();
    private final ByteBuffer buffer = Connection.sharedBuffer();
    private final Ledger ledger;
    private final Series series;
    private final List<Discovery> discoveries = new ArrayList<>();
    private final Map<String, Backend> backends = new LinkedHashMap<>();
    private final Map<String, Node> ownProxies = new HashMap<>();
    private final List<Node> nodes = new ArrayList<>();
    private final List<Arrivals.Arrival> schedule;
    private final List<Timeline.Entry> timeline;
    private final Clients clients;
    private final java.nio.file.Path folder;

    /** Network between the proxies of the first tier; null without membership. */
    private PeerNetwork peerNet;

    private MembersJudge judge;
    private MembersWatch watch;
    private Watcher watcher;

    /** Faults that are scheduled after a moment, by the name of that moment. */
    private final Map<String, List<Timeline.Entry>> waitingFaults = new HashMap<>();

    private final Map<String, String> logs = new TreeMap<>();
    private final ExecutorService processExecutor = Executors.newFixedThreadPool(PROCESS_THREADS);
    private final CountDownLatch loopEnded = new CountDownLatch(1);
    private final long wallStart = System.currentTimeMillis();
    private long loadStart;
    private volatile String failure;
    private volatile boolean interrupted;
    private LongConsumer onSecond = second -> {};

    /** Creates the stand-ins and proxies; throws if the process's limits are too low for them. */
    Experiment(Scenario scenario) throws IOException, InvalidConfigurationException {
        this.scenario = scenario;
        checkFileDescriptors();
        schedule =
                Arrivals.draw(
                        scenario.seed,
                        scenario.length,
                        scenario.zones.size(),
                        scenario.tenants,
                        scenario.categories,
                        scenario.clients,
                        scenario.bursts);
        timeline =
                Timeline.draw(
                        scenario.seed,
                        scenario.faults,
                        scenario.random,
                        scenario.zones,
                        scenario.tiers,
                        scenario.proxies.count());
        ledger = new Ledger(scenario.rules.grace(), scenario.rules.drain());
        series = new Series(scenario.tenants.size(), scenario.categories.size());
        folder = Files.createTempDirectory("cottonlock-lab");
        SplittableRandom rng = new SplittableRandom(scenario.seed + 1);
        Map<String, Scenario.CategoryPlan> categories = new LinkedHashMap<>();
        scenario.categories.forEach(c -> categories.put(c.name(), c));
        for (int t = 0; t < scenario.tiers.size(); t++) {
            Scenario.Tier plan = scenario.tiers.get(t);
            discoveries.add(
                    new Discovery(
                            loop,
                            ledger,
                            buffer,
                            scenario.rules.askWithin(),
                            scenario.sabotage,
                            wallStart));
            Map<String, Backend.SeenKeys> seenKeys = new HashMap<>();
            for (int b = 0; b < plan.backends(); b++) {
                Backend backend =
                        new Backend(
                                Scenario.backendId(t, b),
                                t,
                                zoneOf(b),
                                loop,
                                ledger,
                                series,
                                plan,
                                scenario.rules,
                                categories,
                                seenKeys,
                                rng.split(),
                                scenario.sabotage);
                backends.put(backend.id, backend);
                discoveries.get(t).add(backend);
            }
        }
        if (scenario.membership != null) {
            peerNet = new PeerNetwork(loop, scenario.seed, scenario.proxies.count());
            List<String> names = new ArrayList<>();
            for (int p = 0; p < scenario.proxies.count(); p++) {
                names.add("n" + p);
            }
            judge = new MembersJudge(names, SETTLE_PERIODS * scenario.membership.period());
            watch = new MembersWatch();
            watcher = new Watcher(ServeCommand.code());
        }
        List<ProxyClient> proxyClients = new ArrayList<>();
        int[] zones = new int[scenario.proxies.count()];
        for (int p = 0; p < zones.length; p++) {
            zones[p] = p % scenario.zones.size();
            proxyClients.add(addNode(0, zones.length, rng.split()).client);
        }
        for (int t = 1; t < scenario.tiers.size(); t++) {
            int callingBackends = scenario.tiers.get(t - 1).backends();
            for (int b = 0; b < callingBackends; b++) {
                Backend backend = backends.get(Scenario.backendId(t - 1, b));
                Node node = addNode(t, callingBackends, rng.split());
                backend.nextTier = node.client;
                backend.onProcessEnd = () -> kill(node);
                ownProxies.put(backend.id, node);
            }
        }
        clients =
                new Clients(
                        loop,
                        series,
                        scenario.clients,
                        scenario.tenants.stream().map(Scenario.TenantPlan::name).toList(),
                        scenario.categories,
                        proxyClients,
                        zones);
    }

    private String zoneOf(int number) {
        return scenario.zones.get(number % scenario.zones.size());
    }

    /** Checks before the run that the file descriptors will not run out during it. */
    private void checkFileDescriptors() throws InvalidConfigurationException {
        if (!(java.lang.management.ManagementFactory.getOperatingSystemMXBean()
                instanceof com.sun.management.UnixOperatingSystemMXBean system)) {
            return;
        }
        long needed = OWN_DESCRIPTORS;
        for (Scenario.Fault fault : scenario.faults) {
            needed += fault.kind().equals("proxy-crowd") ? (long) fault.amount() : 0;
        }
        for (int t = 0; t < scenario.tiers.size(); t++) {
            long proxies = t == 0 ? scenario.proxies.count() : scenario.tiers.get(t - 1).backends();
            long backendCount = scenario.tiers.get(t).backends();
            boolean separateProcesses = scenario.proxies.processes();
            long keptConnections = Math.min(backendCount, scenario.proxies.sockets() * 3L / 8);
            needed +=
                    proxies * backendCount
                            + proxies * keptConnections * (separateProcesses ? 1 : 2)
                            + proxies * 12;
        }
        long available = system.getMaxFileDescriptorCount();
        if (needed > available) {
            throw new InvalidConfigurationException(
                    List.of(
                            "this scenario needs about "
                                    + needed
                                    + " file descriptors, but the limit of the process is "
                                    + available
                                    + ": use fewer proxies or backends or a smaller proxy.sockets,"
                                    + " or raise the limit"));
        }
    }

    private Node addNode(int tier, int fleet, SplittableRandom rng) throws IOException {
        int number = nodes.size();
        String name = "n" + number;
        Discovery discovery = discoveries.get(tier);
        Map<String, InetSocketAddress> backendAddresses = new LinkedHashMap<>();
        Map<Backend, InetSocketAddress> plainBackendAddresses = new HashMap<>();
        for (Backend backend : backends.values()) {
            if (backend.id.startsWith("t" + tier + "b")) {
                InetSocketAddress address = backend.addListener(buffer, number).address();
                backendAddresses.put(backend.id, address);
                plainBackendAddresses.put(backend, address);
            }
        }
        Node[] nodeRef = new Node[1];
        if (scenario.proxies.policy().equals("direct")) {
            // Without a proxy in between, to measure what the stand-ins can do by themselves.
            List<InetSocketAddress> addresses = List.copyOf(plainBackendAddresses.values());
            InetSocketAddress target = addresses.get(number % addresses.size());
            nodes.add(
                    new Node(
                            number,
                            null,
                            new ProxyClient(
                                    loop,
                                    ledger,
                                    buffer,
                                    number,
                                    () -> target,
                                    scenario.sabotage,
                                    rng.split()),
                            tier == 0));
            return nodes.get(number);
        }
        if (!scenario.proxies.policy().equals("lanes")) {
            BaselineProxy baseline =
                    new BaselineProxy(
                            loop,
                            buffer,
                            number,
                            scenario.proxies.policy(),
                            scenario.proxies.maxHandOffs(),
                            scenario.proxies.connectTimeout(),
                            rng.split(),
                            plainBackendAddresses);
            discovery.addBaselineProxy(number, baseline::setActiveBackends);
            nodeRef[0] =
                    new Node(
                            number,
                            null,
                            new ProxyClient(
                                    loop,
                                    ledger,
                                    buffer,
                                    number,
                                    () -> nodeRef[0].serving ? baseline.address() : null,
                                    scenario.sabotage,
                                    rng.split()),
                            tier == 0);
        } else {
            discovery.addProxy(number, backendAddresses);
            long seed = rng.nextLong();
            Host[] hostRef = new Host[1];
            ProxyConfig.PeerSettings[] peerSettings = new ProxyConfig.PeerSettings[1];
            Host host =
                    new Host(
                            name,
                            scenario.proxies.processes(),
                            folder,
                            start -> {
                                try {
                                    return ProxyConfig.json(
                                            name,
                                            hostAndPort(hostRef[0].address()),
                                            hostAndPort(discovery.address(number)),
                                            seed + start,
                                            discovery.fullListJson(number),
                                            tier,
                                            fleet,
                                            scenario.proxies,
                                            scenario.rules,
                                            scenario.zones,
                                            scenario.tenants,
                                            scenario.categories,
                                            peerSettings[0] == null
                                                    ? null
                                                    : peerSettings[0].withManagement(
                                                            hostAndPort(
                                                                    hostRef[0]
                                                                            .managementAddress())));
                                } catch (IOException e) {
                                    throw new UncheckedIOException(e);
                                }
                            },
                            tier == 0 && scenario.membership != null ? operatorFileText() : null);
            hostRef[0] = host;
            if (tier == 0 && scenario.membership != null) {
                peerSettings[0] = peerSettings(number, fleet, host);
            }
            nodeRef[0] =
                    new Node(
                            number,
                            host,
                            new ProxyClient(
                                    loop,
                                    ledger,
                                    buffer,
                                    number,
                                    () -> nodeRef[0].serving ? host.address() : null,
                                    scenario.sabotage,
                                    rng.split()),
                            tier == 0);
        }
        nodes.add(nodeRef[0]);
        return nodeRef[0];
    }

    private String operatorFileText() throws IOException {
        String key = "";
        if (scenario.membership.keyed()) {
            java.nio.file.Path file = folder.resolve("key");
            Files.writeString(file, "a key of the lab's, seed " + scenario.seed);
            key = "key_file = \"" + file + "\"\n";
        }
        return "[membership]\n" + key + scenario.membership.toml();
    }

    /**
     * Returns the peer settings of a proxy of the first tier. Its peers' addresses belong to the
     * lab's network, which forwards the datagrams.
     */
    private ProxyConfig.PeerSettings peerSettings(int number, int fleet, Host host)
            throws IOException {
        List<String> peers = new ArrayList<>();
        for (int p = 0; p < fleet; p++) {
            peers.add(hostAndPort(peerNet.address(p)));
        }
        InetSocketAddress realAddress;
        // The port is released here: a second socket bound to it would receive some of the
        // datagrams.
        try (java.net.DatagramSocket free =
                new java.net.DatagramSocket(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            realAddress = (InetSocketAddress) free.getLocalSocketAddress();
        }
        peerNet.setProxyAddress(number, realAddress);
        return new ProxyConfig.PeerSettings(
                hostAndPort(host.managementAddress()), hostAndPort(realAddress), peers, number);
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Sets a listener that is called on the loop's thread at the end of each second of load. */
    void onSecond(LongConsumer listener) {
        onSecond = listener;
    }

    /**
     * Ends the run early; what was measured until then is reported. May be called from any thread.
     */
    void interrupt() {
        interrupted = true;
        loop.post(this::finish);
    }

    boolean interrupted() {
        return interrupted;
    }

    /** Plays the scenario; returns after all proxies have ended and the files are deleted. */
    void play() throws IOException, InterruptedException {
        if (scenario.tenants.stream().mapToDouble(Scenario.TenantPlan::rate).sum()
                >= WARM_UP_MIN_REQUESTS_PER_SECOND) {
            warmUp();
        }
        playOnce();
    }

    /**
     * Plays a short scenario so that the JIT compiles the stand-ins' code before the measured run.
     * At high rates, runs fell behind merely because of the slow start.
     */
    private static void warmUp() throws IOException, InterruptedException {
        java.nio.file.Path file = Files.createTempFile("warm-up", ".toml");
        try {
            Files.writeString(file, WARM_UP_SCENARIO);
            new Experiment(Scenario.read(file, List.of(), null)).playOnce();
        } catch (InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        } finally {
            Files.delete(file);
        }
    }

    private void playOnce() throws IOException, InterruptedException {
        Thread loopThread =
                new Thread(
                        () -> {
                            try {
                                loop.run();
                            } catch (IOException | RuntimeException | OutOfMemoryError e) {
                                failure = "internal error in the lab: " + e;
                                e.printStackTrace();
                            } finally {
                                loopEnded.countDown();
                            }
                        },
                        "lab");
        loopThread.start();
        try {
            List<Future<?>> starts = new ArrayList<>();
            for (Node node : nodes) {
                starts.add(processExecutor.submit(() -> start(node)));
            }
            for (Future<?> start : starts) {
                start.get();
            }
            if (failure == null) {
                loop.post(this::startLoad);
                loopEnded.await();
            }
        } catch (java.util.concurrent.ExecutionException e) {
            failure = String.valueOf(e.getCause());
        } finally {
            shutDown(loopThread);
        }
        if (failure != null) {
            throw new IOException(failure);
        }
    }

    private void start(Node node) {
        try {
            if (node.host != null) {
                node.host.start(node.starts++);
            }
            node.serving = true;
            loop.post(() -> onProxyUp(node));
        } catch (IOException | RuntimeException e) {
            failure = String.valueOf(e.getMessage());
            loop.post(this::finish);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void onProxyUp(Node node) {
        if (judge != null && node.firstTier) {
            judge.up(node.number, loop.now());
        }
        onMoment(node.host == null ? "" : node.host.name() + ".up");
    }

    /** Schedules the faults that wait for this moment, which has just come. */
    private void onMoment(String name) {
        for (Timeline.Entry entry : waitingFaults.getOrDefault(name, List.of())) {
            loop.at(loop.now() + entry.at(), () -> apply(entry));
        }
        waitingFaults.remove(name);
    }

    private void startLoad() {
        // The load starts only after the proxies have discovered one another.
        loadStart =
                loop.now()
                        + START_LEAD_NANOS
                        + (scenario.membership == null
                                ? 0
                                : SETTLE_PERIODS * scenario.membership.period());
        loop.at(
                loadStart,
                () -> {
                    loop.lateness().reset();
                    if (watcher != null) {
                        watcher.reset();
                    }
                });
        clients.start(schedule, loadStart);
        for (Timeline.Entry entry : timeline) {
            if (entry.after().isEmpty()) {
                loop.at(loadStart + entry.at(), () -> apply(entry));
            } else {
                waitingFaults.computeIfAbsent(entry.after(), m -> new ArrayList<>()).add(entry);
            }
        }
        if (watch != null) {
            nodes.stream()
                    .filter(n -> n.firstTier)
                    .forEach(
                            n ->
                                    watch.watch(
                                            n.host::managementAddress,
                                            view ->
                                                    loop.post(
                                                            () ->
                                                                    judge.sample(
                                                                            n.number,
                                                                            loop.now(),
                                                                            view))));
        }
        scheduleSecond(1);
        loop.at(loadStart + scenario.length, this::awaitLastRequests);
    }

    private void scheduleSecond(long second) {
        loop.at(
                loadStart + second * 1_000_000_000L,
                () -> {
                    onSecond.accept(second);
                    if (second * 1_000_000_000L < scenario.length) {
                        scheduleSecond(second + 1);
                    }
                });
    }

    private void awaitLastRequests() {
        long longest =
                scenario.categories.stream()
                        .mapToLong(Scenario.CategoryPlan::expiry)
                        .max()
                        .orElse(0);
        if (clients.isDone()
                || loop.now() > loadStart + scenario.length + longest + 1_000_000_000L) {
            finish();
        } else {
            loop.after(20_000_000L, this::awaitLastRequests);
        }
    }

    private void finish() {
        clients.stop();
        loop.stop();
    }

    private void shutDown(Thread loopThread) throws InterruptedException {
        loop.stop();
        loopThread.join();
        processExecutor.shutdown();
        if (!processExecutor.awaitTermination(6, TimeUnit.SECONDS)) {
            processExecutor.shutdownNow();
        }
        if (watch != null) {
            watch.close();
            watcher.end();
            peerNet.close();
        }
        for (Node node : nodes) {
            if (node.host != null) {
                node.host.close();
            }
        }
        nodes.forEach(node -> node.client.close());
        for (Backend backend : backends.values()) {
            backend.onProcessEnd = () -> {};
            backend.endProcess(false);
        }
        loop.close();
        try (java.util.stream.Stream<java.nio.file.Path> files = Files.walk(folder)) {
            for (Node node : nodes) {
                java.nio.file.Path log = folder.resolve("n" + node.number + ".log");
                if (Files.exists(log) && Files.size(log) < MAX_LOG_BYTES) {
                    logs.put("n" + node.number, Files.readString(log));
                }
            }
            for (java.nio.file.Path file :
                    files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            // Remaining files stay in the system's temporary directory.
        }
    }

    private void apply(Timeline.Entry entry) {
        List<Backend> targets = entry.backends().stream().map(backends::get).toList();
        long end = loop.now() + entry.length();
        if (!entry.name().isEmpty()) {
            onMoment(entry.name() + ".begin");
            loop.at(end, () -> onMoment(entry.name() + ".end"));
        }
        try {
            switch (entry.kind()) {
                case "slow" ->
                        targets.forEach(
                                b ->
                                        applyUntil(
                                                end,
                                                () -> b.setSlowdown(entry.amount()),
                                                () -> b.setSlowdown(1)));
                case "errors" ->
                        targets.forEach(
                                b ->
                                        applyUntil(
                                                end,
                                                () -> b.errorProbability = entry.amount(),
                                                () -> b.errorProbability = 0));
                case "pause" ->
                        targets.forEach(
                                b ->
                                        applyUntil(
                                                end,
                                                () -> b.setPaused(true),
                                                () -> b.setPaused(false)));
                case "delay" ->
                        targets.forEach(
                                b ->
                                        applyUntil(
                                                end,
                                                () ->
                                                        b.path.delayNanos =
                                                                (long) (entry.amount() * 1e6),
                                                () -> b.path.delayNanos = 0));
                case "throttle" ->
                        targets.forEach(
                                b ->
                                        applyUntil(
                                                end,
                                                () ->
                                                        b.path.bytesPerSecond =
                                                                Math.max(1, (long) entry.amount()),
                                                () -> b.path.bytesPerSecond = 0));
                case "resets" ->
                        targets.forEach(
                                b ->
                                        applyUntil(
                                                end,
                                                () -> b.path.resetProbability = entry.amount(),
                                                () -> b.path.resetProbability = 0));
                case "splits" ->
                        targets.forEach(
                                b ->
                                        applyUntil(
                                                end,
                                                () -> b.path.splitProbability = entry.amount(),
                                                () -> b.path.splitProbability = 0));
                case "garble" ->
                        targets.forEach(
                                b ->
                                        applyUntil(
                                                end,
                                                () -> b.path.corruptionProbability = entry.amount(),
                                                () -> b.path.corruptionProbability = 0));
                case "cut" ->
                        targets.forEach(
                                b -> applyUntil(end, () -> cut(b, true), () -> cut(b, false)));
                case "crash" ->
                        targets.forEach(
                                b -> applyUntil(end, () -> b.endProcess(false), () -> restart(b)));
                case "drain" -> targets.forEach(b -> drain(b, entry));
                case "proxy-kill" -> proxyKill(nodes.get(entry.proxy()), end);
                case "proxy-term" -> proxyTerm(nodes.get(entry.proxy()), entry.length());
                case "proxy-restart" ->
                        proxyRestart(nodes.get(entry.proxy()), entry.series(), entry.length());
                case "proxy-crowd" ->
                        proxyCrowd(nodes.get(entry.proxy()), end, (int) entry.amount());
                case "proxy-pause" -> proxyPause(nodes.get(entry.proxy()), end);
                case "proxy-hang" -> proxyHang(nodes.get(entry.proxy()), end);
                case "proxy-starve" -> proxyStarve(nodes.get(entry.proxy()), end, entry.amount());
                case "proxy-replace" -> proxyReplace(nodes.get(entry.proxy()));
                case "proxy-clock" ->
                        nodes.get(entry.proxy()).host.setClockOffset((long) entry.amount());
                case "peer-forge" ->
                        forgePeriodically(end, (long) (1e9 / Math.max(0.1, entry.amount())));
                case "peer-cut",
                        "peer-split",
                        "peer-loss",
                        "peer-double",
                        "peer-garble",
                        "peer-delay" ->
                        startPeerFault(entry, end);
                default -> discoveryFault(entry, end);
            }
        } catch (IOException e) {
            failure = entry.kind() + " fault could not be applied: " + e.getMessage();
            finish();
        }
    }

    private void discoveryFault(Timeline.Entry entry, long end) throws IOException {
        for (Discovery discovery : discoveries) {
            switch (entry.kind()) {
                case "discovery-down" -> {
                    discovery.setDown(true);
                    loop.at(end, () -> runOrFail(() -> discovery.setDown(false)));
                }
                case "discovery-slow" ->
                        applyUntil(
                                end,
                                () -> discovery.setDelay((long) (entry.amount() * 1e6)),
                                () -> discovery.setDelay(0));
                case "discovery-silent" ->
                        applyUntil(
                                end,
                                () -> discovery.setSilent(true),
                                () -> discovery.setSilent(false));
                case "discovery-stale" ->
                        applyUntil(
                                end,
                                () -> discovery.setStale(true),
                                () -> discovery.setStale(false));
                default -> {
                    discovery.moveToNewAddresses();
                    nodes.stream()
                            .filter(n -> n.host != null && n.serving)
                            .forEach(
                                    n ->
                                            runInBackground(
                                                    () -> {
                                                        n.host.reload(n.starts);
                                                        return null;
                                                    }));
                }
            }
        }
    }

    /** An action that fails only if the machine has run out of sockets. */
    private interface IoAction {
        void run() throws IOException;
    }

    private void runOrFail(IoAction action) {
        try {
            action.run();
        } catch (IOException e) {
            failure = "a fault could not be applied: " + e.getMessage();
            finish();
        }
    }

    private void applyUntil(long end, Runnable start, Runnable stop) {
        start.run();
        loop.at(end, stop);
    }

    private void cut(Backend backend, boolean off) {
        runOrFail(() -> backend.setCutOff(off));
    }

    private void restart(Backend backend) {
        if (backend.processState != Backend.ProcessState.DOWN) {
            return;
        }
        Node ownProxy = ownProxies.get(backend.id);
        Runnable restartBackend =
                () ->
                        runOrFail(
                                () -> {
                                    backend.restart();
                                    discoveries
                                            .get(
                                                    Integer.parseInt(
                                                            backend.id.substring(
                                                                    1, backend.id.indexOf('b'))))
                                            .onBackendRestarted(backend);
                                });
        if (ownProxy == null || ownProxy.host == null) {
            if (ownProxy != null) {
                ownProxy.client.setProxyUnavailable(false);
                ownProxy.serving = true;
            }
            restartBackend.run();
        } else {
            runInBackground(
                    () -> {
                        start(ownProxy);
                        loop.post(
                                () -> {
                                    ownProxy.client.setProxyUnavailable(false);
                                    restartBackend.run();
                                });
                        return null;
                    });
        }
    }

    private void drain(Backend backend, Timeline.Entry entry) {
        Discovery discovery =
                discoveries.get(Integer.parseInt(backend.id.substring(1, backend.id.indexOf('b'))));
        discovery.setHealth(backend, Discovery.Health.LEAVING);
        long leavesAt = loop.now() + (long) entry.amount();
        loop.at(
                leavesAt,
                () -> {
                    discovery.setHealth(backend, Discovery.Health.LEFT);
                    if (backend.processState == Backend.ProcessState.UP) {
                        backend.endProcess(false);
                    }
                });
        loop.at(
                Math.max(loop.now() + entry.length(), leavesAt + MIN_DOWN_NANOS),
                () -> restart(backend));
    }

    /** Stops the process with SIGSTOP until the end; meanwhile it cannot answer its requests. */
    private void proxyPause(Node node, long end) {
        setSuspended(node, true);
        signal(node, true);
        loop.at(
                end,
                () -> {
                    signal(node, false);
                    setSuspended(node, false);
                });
    }

    /**
     * Hands the proxy over to a new process while the old one still serves; its peers should notice
     * nothing.
     */
    private void proxyReplace(Node node) {
        runInBackground(
                () -> {
                    try {
                        loop.post(() -> judge.processReplaced(loop.now()));
                        node.host.replace(node.starts++);
                        loop.post(() -> judge.processReplaced(loop.now()));
                    } catch (IOException e) {
                        failure = String.valueOf(e.getMessage());
                        loop.post(this::finish);
                    }
                    return null;
                });
    }

    private void proxyHang(Node node, long end) {
        setSuspended(node, true);
        runOrFail(() -> node.host.setHung(true));
        loop.at(
                end,
                () -> {
                    runOrFail(() -> node.host.setHung(false));
                    setSuspended(node, false);
                });
    }

    private void setSuspended(Node node, boolean suspended) {
        node.client.setProxyUnavailable(suspended);
        if (suspended) {
            clients.markUnavailable(node.number, loop.now() + scenario.clients.notice());
        } else {
            ledger.proxySuspendedUntil(node.number, loop.now());
            clients.markAvailable(node.number);
        }
        if (judge != null && node.firstTier) {
            if (suspended) {
                judge.down(node.number, loop.now());
            } else {
                judge.up(node.number, loop.now());
            }
        }
    }

    /** Gives the process only a share of a core, by stopping it for the rest of each slice. */
    private void proxyStarve(Node node, long end, double cpuShare) {
        ledger.proxySuspendedUntil(node.number, end);
        starveSlice(node, end, cpuShare);
    }

    private void starveSlice(Node node, long end, double cpuShare) {
        if (loop.now() >= end) {
            return;
        }
        signal(node, true);
        loop.after((long) (STARVE_SLICE_NANOS * (1 - cpuShare)), () -> signal(node, false));
        loop.after(STARVE_SLICE_NANOS, () -> starveSlice(node, end, cpuShare));
    }

    /**
     * Runs a step that may block on processes outside the loop's thread; its exceptions are
     * ignored.
     */
    private void runInBackground(Callable<?> step) {
        Future<?> unused = processExecutor.submit(step);
    }

    private void signal(Node node, boolean suspend) {
        runInBackground(
                () -> {
                    node.host.setStopped(suspend);
                    return null;
                });
    }

    private void forgePeriodically(long end, long intervalNanos) {
        if (peerNet != null && loop.now() < end) {
            peerNet.forge();
            loop.after(intervalNanos, () -> forgePeriodically(end, intervalNanos));
        }
    }

    /**
     * Applies a fault to paths between proxies: to all paths, to those between groups, or only to
     * those from the first group to the others.
     */
    private void startPeerFault(Timeline.Entry entry, long end) {
        if (peerNet == null) {
            return;
        }
        applyPeerFault(entry, true);
        loop.at(end, () -> applyPeerFault(entry, false));
    }

    private void applyPeerFault(Timeline.Entry entry, boolean active) {
        List<List<Integer>> groups = entry.groups();
        int n = scenario.proxies.count();
        for (int a = 0; a < n; a++) {
            for (int b = 0; b < n; b++) {
                int fromGroup = groupOf(groups, a);
                int toGroup = groupOf(groups, b);
                boolean pathAffected =
                        groups.isEmpty()
                                || (fromGroup >= 0
                                        && toGroup >= 0
                                        && fromGroup != toGroup
                                        && (!entry.oneWay() || fromGroup == 0));
                if (a != b && pathAffected) {
                    applyPathFault(entry, a, b, active);
                }
            }
        }
        judge.updateReachability(loop.now(), !active);
    }

    private static int groupOf(List<List<Integer>> groups, int proxy) {
        for (int g = 0; g < groups.size(); g++) {
            if (groups.get(g).contains(proxy)) {
                return g;
            }
        }
        return -1;
    }

    private void applyPathFault(Timeline.Entry entry, int from, int to, boolean active) {
        PeerPaths paths = peerNet.paths();
        double amount = active ? entry.amount() : 0;
        switch (entry.kind()) {
            case "peer-loss" -> paths.setLoss(from, to, amount);
            case "peer-double" -> paths.setDuplication(from, to, amount);
            case "peer-garble" -> paths.setCorruption(from, to, amount);
            case "peer-delay" -> paths.setMaxDelay(from, to, (long) (amount * 1e6));
            default -> {
                paths.setCut(from, to, active);
                judge.setPathOpen(from, to, !paths.isCut(from, to));
            }
        }
    }

    /** Kills the process of a proxy, which is down until it is started again. */
    private void kill(Node node) {
        node.serving = false;
        if (judge != null && node.firstTier) {
            judge.down(node.number, loop.now());
        }
        node.client.setProxyUnavailable(true);
        ledger.proxyRestarted(node.number);
        if (node.host != null) {
            runInBackground(
                    () -> {
                        node.host.kill();
                        return null;
                    });
        }
    }

    private void proxyKill(Node node, long end) {
        kill(node);
        clients.markUnavailable(node.number, loop.now() + scenario.clients.notice());
        loop.at(end, () -> startAgain(node));
    }

    private void proxyTerm(Node node, long downNanos) {
        clients.markUnavailable(node.number, loop.now() + FRONT_AFTER_TERM_NANOS);
        if (node.host == null) {
            // A baseline has no process: the front only stops using it for a while.
            loop.after(downNanos, () -> clients.markAvailable(node.number));
            return;
        }
        runInBackground(
                () -> {
                    node.host.term();
                    loop.post(
                            () -> {
                                node.serving = false;
                                if (judge != null && node.firstTier) {
                                    judge.down(node.number, loop.now());
                                }
                                ledger.proxyRestarted(node.number);
                                loop.after(downNanos, () -> startAgain(node));
                            });
                    return null;
                });
    }

    /**
     * Ends a process by a series of signals and kills it at the earliest time after SIGTERM at
     * which it must expect SIGKILL. Clients continue to use their open connections.
     */
    private void proxyRestart(Node node, SignalSeries series, long downNanos) {
        runInBackground(
                () -> {
                    node.host.endBySignals(
                            series,
                            killAfterMillis(),
                            () ->
                                    loop.post(
                                            () ->
                                                    node.client.onProxyTerminating(
                                                            FRONT_AFTER_TERM_NANOS)));
                    loop.post(
                            () -> {
                                node.serving = false;
                                ledger.proxyRestarted(node.number);
                                loop.after(
                                        downNanos,
                                        () -> startAfterRestart(node, series, downNanos));
                            });
                    return null;
                });
    }

    private void startAfterRestart(Node node, SignalSeries series, long downNanos) {
        runInBackground(
                () -> {
                    start(node);
                    loop.post(node.client::onProxyRestarted);
                    if (series.termsNextWhenReady()) {
                        proxyRestart(node, SignalSeries.TERM, downNanos);
                    }
                    return null;
                });
    }

    /**
     * Returns the milliseconds from SIGTERM to SIGKILL: the longest deadline, at most 3 s, plus a
     * margin (DEPLOY).
     */
    private long killAfterMillis() {
        long longest =
                scenario.categories.stream()
                        .mapToLong(Scenario.CategoryPlan::expiry)
                        .max()
                        .orElse(0);
        return Math.min(MAX_DEADLINE_MILLIS, longest / 1_000_000) + KILL_AFTER_DEADLINE_MILLIS;
    }

    private void proxyCrowd(Node node, long end, int connections) {
        IdleConnections idle =
                new IdleConnections(loop, buffer, () -> node.serving ? node.host.address() : null);
        idle.openAll(connections);
        loop.at(end, idle::closeAll);
    }

    private void startAgain(Node node) {
        runInBackground(
                () -> {
                    start(node);
                    loop.post(
                            () -> {
                                node.client.setProxyUnavailable(false);
                                clients.markAvailable(node.number);
                            });
                    return null;
                });
    }

    /** Returns the figures on which the verdict is based. */
    Map<String, Double> figures() {
        Map<String, Double> figures = new TreeMap<>();
        figures.put("service", series.service(-1));
        figures.put("sent", (double) clients.sent());
        figures.put("finished", (double) series.total(Series.Count.FINISHED));
        figures.put("deferred", (double) series.total(Series.Count.DEFERRED));
        figures.put("written_off", (double) series.total(Series.Count.WRITTEN_OFF));
        figures.put("late", (double) series.total(Series.Count.LATE));
        figures.put("lost", (double) ledger.count(Ledger.Rule.LOST));
        figures.put("twice", (double) ledger.count(Ledger.Rule.TWICE));
        figures.put("drains", (double) ledger.count(Ledger.Rule.DRAINS));
        figures.put("cold", (double) ledger.count(Ledger.Rule.COLD));
        figures.put("p50_ms", series.latency.getValueAtPercentile(50) / 1_000.0);
        figures.put("p99_ms", series.latency.getValueAtPercentile(99) / 1_000.0);
        double worst = 1;
        for (int s = 0; s < scenario.length / 1_000_000_000L; s++) {
            worst = Math.min(worst, series.service(s));
        }
        figures.put("worst_s", worst);
        figures.put("unanswered", (double) ledger.unansweredOfKilledProxies());
        figures.put("retried", (double) clients.retried());
        figures.put("sends_per_item", ledger.sends() / Math.max(1.0, (double) clients.sent()));
        figures.put("behind_ms", loop.lateness().getValueAtPercentile(99.9) / 1_000.0);
        if (judge != null) {
            judge.figures(loop.now(), figures);
            figures.put("peer_bytes_s", (double) peerNet.maxBytesPerSecond());
            figures.put("peer_mean_s", peerNet.meanBytesPerSecond(loop.now()));
            figures.put("watch_ms", watcher.worstMs());
        }
        return figures;
    }

    Verdict verdict() {
        return new Verdict(
                figures(),
                scenario.bounds,
                scenario.lateLimit / 1e6,
                scenario.membership == null
                        ? Double.MAX_VALUE
                        : scenario.membership.watchLimitMs());
    }

    /** Returns the log of each proxy's processes, across restarts. */
    Map<String, String> logs() {
        return logs;
    }

    /**
     * Returns the judge that compares the proxies' views of one another with the truth; null
     * without membership.
     */
    MembersJudge judge() {
        return judge;
    }

    Scenario scenario() {
        return scenario;
    }

    Series series() {
        return series;
    }

    Ledger ledger() {
        return ledger;
    }

    List<Arrivals.Arrival> schedule() {
        return schedule;
    }

    List<Timeline.Entry> timeline() {
        return timeline;
    }

    /** Returns how late the tasks of the stand-ins ran, in microseconds. */
    org.HdrHistogram.Histogram late() {
        return loop.lateness();
    }
}

package cottonlock.proxy;

import cottonlock.admin.ManagementOperations;
import cottonlock.admin.ManagementServer;
import cottonlock.admin.Metrics;
import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.control.ManualEjections;
import cottonlock.proxy.control.PeerMessenger;
import cottonlock.proxy.control.ProcessHandover;
import cottonlock.proxy.control.ProxyConfiguration;
import cottonlock.proxy.control.RolloutActor;
import cottonlock.proxy.control.SharedFile;
import cottonlock.proxy.discovery.EndpointList;
import cottonlock.proxy.discovery.EndpointListParser;
import cottonlock.proxy.discovery.EndpointListWatch;
import cottonlock.proxy.http.BodySpillFiles;
import cottonlock.proxy.http.BufferPool;
import cottonlock.proxy.http.HttpWriter;
import cottonlock.proxy.io.DescriptorLimit;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import cottonlock.setup.LoadBalancerFactory;
import cottonlock.setup.OperatorConfig;
import cottonlock.setup.Settings;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** A load balancer on sockets: what an embedding program starts and closes. */
public final class Proxy {
    /**
     * Descriptors for the program itself, its jars, discovery, peers and the listener, and for a
     * moment a connection just accepted, files that processes share, the configuration.
     */
    private static final int RESERVED_DESCRIPTORS = 24;

    /** Part of the others that backends have: clients hold a third of all at most for requests. */
    private static final double BACKEND_SOCKET_SHARE = 0.375;

    /** MB that the program takes by itself, and connections of clients that one more holds. */
    private static final int RESERVED_MEMORY_MB = 48;

    private static final int CLIENTS_PER_MB = 6;

    /** The longest deadline that whoever stops the program waits for, and how much longer. */
    private static final long MAX_DEADLINE_MILLIS = 3_000;

    private static final long KILL_DELAY_MILLIS = 700;

    /**
     * Milliseconds before that by which all is answered: time to leave in, also with little of a
     * core.
     */
    private static final long EXIT_MARGIN_MILLIS = 300;

    /**
     * Milliseconds for which new connections go on coming after the program was told to stop: 0.4 s
     * at most.
     */
    private static final long MIN_ACCEPT_MILLIS = 450;

    /** Milliseconds that the last requests taken have at least: twice what most of them need. */
    private static final long LAST_REQUESTS_MILLIS = 900;

    /**
     * Where the settings give none, in their microseconds: a far network's connect, a common idle
     * time.
     */
    private static final double DEFAULT_CONNECT_TIMEOUT_MICROS = 250_000;

    private static final double DEFAULT_IDLE_TIMEOUT_MICROS = 15_000_000;

    /** One of so many sockets is left for the file of a long body. */
    private static final int SOCKETS_PER_BODY_FILE = 12;

    /** Milliseconds between looks at whether all is answered. */
    private static final long DRAIN_CHECK_MILLIS = 5;

    private final Path configuration;

    /** What is in force: the file as it was last taken, and what its requests are taken in by. */
    private ProxyConfiguration currentConfiguration;

    private RequestRules rules;
    private final Metrics metrics = new Metrics();
    private final ManualEjections manualEjections;
    private final ProcessHandover handover;

    /** Null where operators have no address to call. */
    private ManagementServer management;

    private volatile boolean serving;
    private final RateLimitedLog log;
    private final List<Thread> threads = new ArrayList<>();
    private final RequestValidator validator;
    private final ClientListener listener;
    private final PeerMessenger peers;

    /** What it knows of the other proxies; null where it knows nothing. */
    private MembershipAdapter membership;

    private final LoadBalancerActor loadBalancer;
    private final EndpointListWatch watch;
    private final ConnectionThreads workers = new ConnectionThreads();
    private final BufferPool buffers;

    /** What learns of changes to the settings; null where nothing does. */
    private RolloutActor rollout;

    /** Whether settings that control has told are in force, not the file's. */
    private boolean controlSettingsInForce;

    /** The module that is only watched, or null. */
    private ShadowLoadBalancer shadow;

    /** Starts a proxy by its configuration file; it serves when this returns. */
    public Proxy(Path configuration) throws IOException {
        this(configuration, OperatorConfig.NONE, null, null);
    }

    /**
     * The same, with what an operator's file asks for. Operators call at the configuration's
     * address, else at the given one, if any. What the processes of one proxy share is kept in the
     * folder; null: nothing is.
     */
    public Proxy(Path configuration, OperatorConfig operator, String defaultManagementAddress, Path stateDirectory)
            throws IOException {
        this.configuration = configuration;
        ProxyConfiguration config = ProxyConfiguration.read(configuration);
        String managementAddress = config.text("mgmt", defaultManagementAddress);
        boolean sharesPorts = managementAddress != null;
        Settings settings = config.settings();
        LoadBalancerFactory factory = new LoadBalancerFactory(settings);
        log = new RateLimitedLog(System.getLogger("cottonlock"));
        TickClock clock = new TickClock();
        SplittableRandom random = new SplittableRandom(config.seed());
        // Operators' calls hold theirs for seconds: taken from what is left for the list, they kept
        // it away.
        int reservedDescriptors = RESERVED_DESCRIPTORS + (sharesPorts ? ManagementServer.MAX_CONNECTIONS : 0);
        int sockets = Math.max(4, allowedSockets(config) - reservedDescriptors);
        sockets -= sockets / SOCKETS_PER_BODY_FILE;
        int maxBackendConnections = Math.max(2, (int) (sockets * BACKEND_SOCKET_SHARE));
        int memoryMb = config.limit("memory_mb", 192);
        int maxClientConnections =
                Math.min(
                        sockets - maxBackendConnections,
                        Math.max(16, (memoryMb - RESERVED_MEMORY_MB) * CLIENTS_PER_MB));
        // An eighth of the memory, a third of the heap at most: one for each connection, the rest
        // for bodies.
        long bufferBytes = Math.min(((long) memoryMb << 20) / 8, Runtime.getRuntime().maxMemory() / 3);
        int connections = maxClientConnections + maxBackendConnections;
        buffers = new BufferPool((int) Math.max(connections, bufferBytes / BufferPool.SIZE), connections);
        Path spillDirectory = stateDirectory == null ? Path.of(System.getProperty("java.io.tmpdir")) : stateDirectory;
        BodySpillFiles spillFiles =
                new BodySpillFiles(spillDirectory, Math.max(2, sockets / SOCKETS_PER_BODY_FILE));
        HttpWriter writer = new HttpWriter(buffers);
        WriteTimeoutWatchdog watchdog = new WriteTimeoutWatchdog();
        ConnectionPermits permits = new ConnectionPermits(maxBackendConnections);
        KeepAlivePolicy keepAlive = new KeepAlivePolicy();
        long connectTimeoutMillis =
                settings.ticksRoundedDown("Limits.ConnectTimeout", DEFAULT_CONNECT_TIMEOUT_MICROS)
                        / 10;
        long idleTimeoutMillis = settings.ticksRoundedDown("Limits.ConnIdle", DEFAULT_IDLE_TIMEOUT_MICROS) / 10;
        String name = config.text("name", "proxy") + "-" + config.text("listen", "");
        Path sharedStateDirectory = sharesPorts ? stateDirectory : null;
        handover = new ProcessHandover(new SharedFile(sharedStateDirectory, name, "serving", log));
        loadBalancer =
                new LoadBalancerActor(
                        clock,
                        entry ->
                                new BackendActor(
                                        entry.address(),
                                        permits,
                                        keepAlive,
                                        workers,
                                        connectTimeoutMillis,
                                        idleTimeoutMillis,
                                        BackendActor.SETTLE_NANOS,
                                        buffers,
                                        writer,
                                        watchdog,
                                        clock,
                                        metrics,
                                        log),
                        metrics,
                        log);
        manualEjections =
                new ManualEjections(
                        new SharedFile(sharedStateDirectory, name, "bans", log), clock, loadBalancer::manualEjectionsChanged);
        EndpointListParser listParser =
                new EndpointListParser(log, settings.list("Zones"), settings.list("Flavors"));
        EndpointList cachedList = config.cachedEndpointList(listParser);
        watch =
                new EndpointListWatch(
                        config.address("discovery"),
                        listParser,
                        new EndpointListWatch.Options(
                                cachedList.version(),
                                factory.isEndpointListPolled(),
                                EndpointListWatch.SILENCE_TIMEOUT_MILLIS),
                        loadBalancer,
                        buffers,
                        log,
                        random.split());
        InetSocketAddress allPeersAddress = config.addressOrNull("peers_all");
        InetSocketAddress peerListen = config.addressOrNull("peer_listen");
        boolean hasPeers = peerListen != null && allPeersAddress != null;
        DatagramSocket peerSocket = hasPeers ? PeerMessenger.openSocket(peerListen, sharesPorts) : null;
        peers = new PeerMessenger(peerSocket, config.addresses("peers"), allPeersAddress, loadBalancer::peerMessageReceived, log);
        loadBalancer.initialize(factory.create(loadBalancer, random.nextLong()), watch, peers, manualEjections);
        if (!operator.shadowSettings().isEmpty()) {
            Settings shadowSettings = config.settings();
            operator.shadowSettings().forEach(shadowSettings::put);
            shadow = new ShadowLoadBalancer(log);
            shadow.setLoadBalancer(new LoadBalancerFactory(shadowSettings).create(shadow, random.nextLong()));
            loadBalancer.setShadow(shadow);
        }
        loadBalancer.endpointListReceived(cachedList, true);
        currentConfiguration = config;
        rules = new RequestRules(null, factory, settings);
        rules.namesInForce().forEach(metrics::registerRequestClass);
        rules.tenantNames.forEach(metrics::registerTenant);
        validator = new RequestValidator(clock, rules);
        InetSocketAddress listen = config.address("listen");
        listener =
                new ClientListener(
                        listen,
                        sharesPorts,
                        maxClientConnections,
                        (socket, from) ->
                                new ClientConnection(
                                        socket, from, loadBalancer, validator, buffers, spillFiles, writer,
                                        watchdog, metrics, log),
                        workers,
                        log);
        if (operator.rollout() != null) {
            rollout =
                    new RolloutActor(
                            operator.rollout(),
                            settings,
                            this::applySettings,
                            new SharedFile(stateDirectory, name, "configuration", log),
                            clock,
                            random.split(),
                            log);
            metrics.addSource(rollout::metrics);
            rollout.begin();
        }
        threads.add(Sockets.start("module", loadBalancer));
        threads.add(Sockets.start("watchdog", watchdog));
        threads.add(Sockets.start("list", watch));
        if (operator.membership() != null) {
            membership =
                    new MembershipAdapter(
                            operator.membership(),
                            config,
                            random.split(),
                            new MembershipAdapter.Collaborators(
                                    peerSocket,
                                    peers,
                                    loadBalancer,
                                    clock,
                                    sharedStateDirectory == null ? null : handover,
                                    log));
            metrics.addSource(membership.service()::metricsJson);
        }
        if (membership == null || !membership.sharesPeerSocket()) {
            threads.add(Sockets.start("peers", peers));
        }
        threads.add(Sockets.start("listener", listener));
        if (sharesPorts) {
            // Called before the module had the list, ids that are there were told to be nobody's.
            loadBalancer.awaitProcessed();
            management =
                    new ManagementServer(ProxyConfiguration.address("mgmt", managementAddress), new ManagementCommands());
            threads.add(Sockets.start("management", management));
            threads.add(Sockets.start("bans", manualEjections));
        }
        handover.announceServing();
        if (membership != null) {
            threads.add(Sockets.start("members", membership.service()));
        }
        if (rollout != null) {
            threads.add(Sockets.start("rollout", rollout));
        }
        serving = true;
    }

    /** Where the system allows fewer, more would only fail when they are opened. */
    private int allowedSockets(ProxyConfiguration config) {
        int configured = config.limit("sockets", 1024);
        int descriptors = DescriptorLimit.current();
        if (descriptors < configured) {
            log.warn(
                    "sockets",
                    "limits.sockets is "
                            + configured
                            + ", but the system allows "
                            + descriptors
                            + " descriptors: these are kept to");
        }
        return Math.min(configured, descriptors);
    }

    /** What operators ask for, carried out on the threads of their calls. */
    private final class ManagementCommands implements ManagementOperations {
        @Override
        public boolean isServing() {
            return serving;
        }

        @Override
        public String metricsJson() {
            return metrics.toJson();
        }

        @Override
        public String membersReport() {
            return membership == null ? null : membership.service().statusLines();
        }

        @Override
        public String ejectBackend(String id) {
            return setEjected(id, true);
        }

        @Override
        public String restoreBackend(String id) {
            return setEjected(id, false);
        }

        private String setEjected(String id, boolean ejected) {
            if (!loadBalancer.isListed(id) && !manualEjections.isEjected(id)) {
                return "no backend has that id";
            }
            if (!manualEjections.setEjected(id, ejected)) {
                return "too many backends are out";
            }
            manualEjections.awaitPropagation();
            return null;
        }
    }

    /**
     * Reads the configuration again: follows discovery to where it is now, and takes in work by the
     * settings that it holds now, unless control has told others. What it may not change stays as
     * it is; a bad file changes nothing at all.
     */
    public synchronized void reload() {
        try {
            ProxyConfiguration config = ProxyConfiguration.read(configuration);
            config.requireCompatibleWith(currentConfiguration);
            Settings settings = config.settings();
            InetSocketAddress discovery = config.address("discovery");
            // A file that could not start a proxy is not trusted with where discovery is either.
            LoadBalancerFactory factory = checkedFactory(settings);
            if (!controlSettingsInForce) {
                applySettings(settings, factory);
            }
            currentConfiguration = config;
            watch.move(discovery);
            metrics.configurationReloaded(true);
            log.info(
                    "configuration",
                    "read again, discovery is at "
                            + discovery
                            + (controlSettingsInForce ? "; the settings that control has told stay in force" : ""));
        } catch (RuntimeException e) {
            // A slip in a file must not end a proxy that serves.
            metrics.configurationReloaded(false);
            log.warn(
                    "configuration",
                    configuration + ": the old one stays in force: " + e.getMessage());
        }
    }

    /** A module by these settings, to the side: whatever can't be built ends here. */
    private LoadBalancerFactory checkedFactory(Settings settings) {
        LoadBalancerFactory factory = new LoadBalancerFactory(settings);
        factory.create(loadBalancer, 0);
        return factory;
    }

    /** Takes in work by these settings from now on, or by the old ones where they can't be used. */
    private synchronized void applySettings(Settings settings) {
        applySettings(settings, checkedFactory(settings));
        // Under the same lock: a SIGHUP just behind it would put the file's settings in their
        // place.
        controlSettingsInForce = true;
    }

    private void applySettings(Settings settings, LoadBalancerFactory factory) {
        int maxAttempts = settings.count("Limits.MaxHandOffs", 1);
        rules = new RequestRules(rules, factory, settings);
        rules.namesInForce().forEach(metrics::registerRequestClass);
        // The module first: it must know a category before a request of it comes.
        loadBalancer.reconfigure(rules.requestClasses, maxAttempts);
        validator.setRules(rules);
    }

    /**
     * Serves on for as long as what comes can still be answered, then answers what it has taken;
     * returns when all is answered. Clients whose front has nobody else for them would find nobody
     * until the restart.
     */
    public void drain() throws InterruptedException {
        drain(System.nanoTime());
    }

    /**
     * The same, for a proxy that was told to at that moment, by the monotonic clock: before it
     * served.
     */
    public void drain(long signalledAtNanos) throws InterruptedException {
        long remainingMillis =
                Math.min(MAX_DEADLINE_MILLIS, validator.maxTimeoutMillis())
                        + KILL_DELAY_MILLIS
                        - EXIT_MARGIN_MILLIS;
        remainingMillis -= (System.nanoTime() - signalledAtNanos) / 1_000_000;
        long endNanos = System.nanoTime() + remainingMillis * 1_000_000;
        // Taken before, some requests might wait for longer than the program is let live.
        loadBalancer.limitDeadlines(validator.limitDeadlines(remainingMillis));
        if (handover.isReplaced()) {
            // Another process takes what comes from now on: this one answers what it has, and one
            // more each.
            listener.drain();
            awaitNoClients(endNanos, () -> {});
        } else {
            Thread.sleep(
                    Math.max(
                            0,
                            Math.min(
                                    remainingMillis,
                                    Math.max(
                                            MIN_ACCEPT_MILLIS,
                                            Math.max(remainingMillis / 2, remainingMillis - LAST_REQUESTS_MILLIS)))));
            if (membership != null) {
                membership.service().leave();
            }
            listener.drain();
        }
        // A look at who is busy would not do: a request may have been read and not yet be known to
        // be.
        awaitNoClients(endNanos + EXIT_MARGIN_MILLIS / 2 * 1_000_000, listener::closeIdle);
    }

    /** Waits until no connection is left, or the time has come. */
    private void awaitNoClients(long endNanos, Runnable beforeEachCheck) throws InterruptedException {
        while (!listener.isEmpty() && System.nanoTime() < endNanos) {
            beforeEachCheck.run();
            Thread.sleep(DRAIN_CHECK_MILLIS);
        }
    }

    /**
     * Ends it at once: connections are closed without the answers that they wait for. When this
     * returns, its addresses are free, no thread of it is left but those that answer a management
     * command just now, and every connection that was accepted has been closed. May be called by
     * any thread, and more than once.
     */
    public void close() {
        serving = false;
        if (management != null) {
            management.close();
        }
        listener.close();
        listener.abort();
        peers.close();
        if (membership != null) {
            membership.close();
        }
        threads.forEach(Thread::interrupt);
        watch.close();
        if (rollout != null) {
            rollout.close();
        }
        List<Thread> unfinished = Sockets.join(threads);
        workers.close();
        for (Thread thread : unfinished) {
            log.warn("close", "the thread " + thread.getName() + " has not ended");
        }
    }

    /** The port that it listens on. */
    public int port() {
        return listener.port();
    }

    /** The port that operators call at; -1 without one. */
    int managementPort() {
        return management == null ? -1 : management.port();
    }

    /**
     * What the watched module would have decided otherwise, by kind; null where none is watched.
     */
    Map<ShadowLoadBalancer.Kind, Long> shadowCounts() {
        return shadow == null ? null : shadow.counts();
    }

    /** For tests alone. */
    ClientListener listener() {
        return listener;
    }

    /** For tests alone. */
    LoadBalancerActor loadBalancer() {
        return loadBalancer;
    }

    /** How many buffers of the pool are free. */
    int freeBuffers() {
        return buffers.available();
    }

    /** Waits until it is closed. */
    public void join() throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
    }
}

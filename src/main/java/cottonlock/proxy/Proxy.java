package cottonlock.proxy;

import cottonlock.admin.ManagementServer;
import cottonlock.admin.Metrics;
import cottonlock.core.Ticks;
import cottonlock.proxy.concurrent.ActorTimers;
import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.control.ManualEjections;
import cottonlock.proxy.control.PeerMessenger;
import cottonlock.proxy.control.ProcessHandover;
import cottonlock.proxy.control.ProxyConfiguration;
import cottonlock.proxy.control.RolloutActor;
import cottonlock.proxy.control.SharedFile;
import cottonlock.proxy.control.SharedIdTable;
import cottonlock.proxy.control.SystemProcessMemory;
import cottonlock.proxy.discovery.EndpointList;
import cottonlock.proxy.discovery.EndpointListParser;
import cottonlock.proxy.discovery.EndpointListWatch;
import cottonlock.proxy.http.BufferPool;
import cottonlock.proxy.http.HttpWriter;
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
     * The longest deadline that the supervisor waits for when it stops the process, and how much
     * longer it waits before it kills the process.
     */
    private static final long MAX_DEADLINE_MILLIS = 3_000;

    private static final long KILL_DELAY_MILLIS = 700;

    /**
     * Milliseconds before the kill by which all requests are answered: time to exit, even with
     * little CPU time.
     */
    private static final long EXIT_MARGIN_MILLIS = 300;

    /**
     * Minimum milliseconds during which new connections are accepted after the signal to stop: they
     * keep arriving for up to 0.4 s.
     */
    private static final long MIN_ACCEPT_MILLIS = 450;

    /** Minimum milliseconds for the requests accepted last: twice what most of them need. */
    private static final long LAST_REQUESTS_MILLIS = 900;

    /**
     * Defaults for settings that are missing, in the microseconds of the settings: connecting over
     * a distant network, and a common idle timeout.
     */
    private static final double DEFAULT_CONNECT_TIMEOUT_MICROS = 250_000;

    private static final double DEFAULT_IDLE_TIMEOUT_MICROS = 15_000_000;

    /** Milliseconds between checks whether all requests are answered. */
    private static final long DRAIN_CHECK_MILLIS = 5;

    private final Path configuration;

    /** The configuration that was applied last, and the rules that requests are validated by. */
    private ProxyConfiguration currentConfiguration;

    private RequestRules rules;
    private final Metrics metrics = new Metrics();
    private final ManualEjections manualEjections;
    private final ProcessHandover handover;

    /** Null if there is no management address. */
    private ManagementServer management;

    private volatile boolean serving;
    private final RateLimitedLog log;
    private final List<Thread> threads = new ArrayList<>();
    private final TickClock clock = new TickClock();
    private final RequestValidator validator;
    private final ClientListener listener;

    /** Null if this process shares nothing with others. */
    private final SharedIdTable sharedIds;

    private final PeerMessenger peers;

    /** The membership of the fleet; null if membership is not configured. */
    private MembershipAdapter membership;

    private final LoadBalancerActor loadBalancer;
    private final EndpointListWatch watch;
    private final WorkerThreads workers;
    private final OpenBackendConnections backendConnections = new OpenBackendConnections();

    /** Has a thread from the first timer on. */
    private final ActorTimers timers = new ActorTimers();

    private final MemoryResources memory;

    /** Receives changes of the settings; null if rollouts are not configured. */
    private RolloutActor rollout;

    /** Whether settings from the control server are in force instead of the file's. */
    private boolean controlSettingsInForce;

    /** The shadow load balancer, or null. */
    private ShadowLoadBalancer shadow;

    /** Starts a proxy by its configuration file; it serves requests when this returns. */
    public Proxy(Path configuration) throws IOException {
        this(configuration, OperatorConfig.NONE, null, null);
    }

    /**
     * Starts a proxy by its configuration file and an operator's file.
     *
     * @param operator the content of the operator's file
     * @param defaultManagementAddress the management address if the configuration has none; null
     *     for none
     * @param stateDirectory for what the processes of one proxy share and for spill files; null if
     *     the processes share nothing
     */
    public Proxy(
            Path configuration,
            OperatorConfig operator,
            String defaultManagementAddress,
            Path stateDirectory)
            throws IOException {
        this(configuration, operator, defaultManagementAddress, stateDirectory, false);
    }

    /**
     * The same, for a process that may be the proxy's alone.
     *
     * @param runsAlone whether this process runs nothing but the proxy, so that the memory limit of
     *     the configuration is the process's
     */
    public Proxy(
            Path configuration,
            OperatorConfig operator,
            String defaultManagementAddress,
            Path stateDirectory,
            boolean runsAlone)
            throws IOException {
        this.configuration = configuration;
        ProxyConfiguration config = ProxyConfiguration.read(configuration);
        String managementAddress = config.text("mgmt", defaultManagementAddress);
        boolean sharesPorts = managementAddress != null;
        Settings settings = config.settings();
        LoadBalancerFactory factory = new LoadBalancerFactory(settings);
        log = new RateLimitedLog(System.getLogger("cottonlock"));
        workers = new WorkerThreads(log);
        SplittableRandom random = new SplittableRandom(config.seed());
        SystemProcessMemory processMemory = new SystemProcessMemory(runsAlone);
        ResourceLimits limits =
                ResourceLimits.of(config, sharesPorts, processMemory.ownBytes().orElse(0), log);
        Path spillDirectory =
                stateDirectory == null
                        ? Path.of(System.getProperty("java.io.tmpdir"))
                        : stateDirectory;
        WriteTimeoutWatchdog watchdog = new WriteTimeoutWatchdog();
        String name = config.text("name", "proxy") + "-" + config.text("listen", "");
        Path sharedStateDirectory = sharesPorts ? stateDirectory : null;
        memory =
                new MemoryResources(
                        limits,
                        spillDirectory,
                        new SharedFile(sharedStateDirectory, name, "spill", log),
                        processMemory,
                        workers::count,
                        this::listedBackends,
                        log);
        BufferPool buffers = memory.buffers();
        HttpWriter writer = new HttpWriter(buffers);
        metrics.addSource(memory::metricsJson);
        ConnectionPermits permits =
                new ConnectionPermits(
                        limits.maxBackendConnections(),
                        memory,
                        this::clientCount,
                        backendConnections);
        BackendResources backendResources =
                new BackendResources(
                        connectionTimeouts(settings),
                        permits,
                        backendConnections,
                        new KeepAlivePolicy(),
                        workers,
                        workers,
                        timers,
                        buffers,
                        writer,
                        watchdog,
                        clock,
                        metrics,
                        log);
        handover = new ProcessHandover(new SharedFile(sharedStateDirectory, name, "serving", log));
        loadBalancer =
                new LoadBalancerActor(
                        clock,
                        entry -> new BackendActor(entry.address(), backendResources),
                        metrics,
                        log);
        manualEjections =
                new ManualEjections(
                        new SharedFile(sharedStateDirectory, name, "bans", log),
                        clock,
                        loadBalancer::manualEjectionsChanged);
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
        DatagramSocket peerSocket =
                hasPeers ? PeerMessenger.openSocket(peerListen, sharesPorts) : null;
        peers =
                new PeerMessenger(
                        peerSocket,
                        config.addresses("peers"),
                        allPeersAddress,
                        loadBalancer::peerMessageReceived,
                        log);
        loadBalancer.initialize(
                factory.create(loadBalancer, random.nextLong()), watch, peers, manualEjections);
        if (!operator.shadowSettings().isEmpty()) {
            Settings shadowSettings = config.settings();
            operator.shadowSettings().forEach(shadowSettings::put);
            shadow = new ShadowLoadBalancer(log);
            LoadBalancerFactory shadowFactory = new LoadBalancerFactory(shadowSettings);
            shadow.setLoadBalancer(shadowFactory.create(shadow, random.nextLong()), shadowFactory);
            loadBalancer.setShadow(shadow);
        }
        loadBalancer.endpointListReceived(cachedList, true);
        currentConfiguration = config.withoutCachedEndpointList();
        rules = new RequestRules(null, factory, settings, clock.now());
        rules.namesInForce().forEach(metrics::registerRequestClass);
        rules.tenantNames.forEach(metrics::registerTenant);
        sharedIds = openSharedIds(sharedStateDirectory, name, limits.maxConnections());
        validator = new RequestValidator(clock, rules, new OpenRequestIds(sharedIds));
        if (sharedIds != null) {
            sharedIds.awaitAnnounced();
        }
        InetSocketAddress listen = config.address("listen");
        listener =
                new ClientListener(
                        listen,
                        sharesPorts,
                        limits.maxClientConnections(),
                        limits.maxWaitingClients(),
                        permits,
                        (socket, from) ->
                                new ClientConnection(
                                        socket,
                                        from,
                                        loadBalancer,
                                        validator,
                                        buffers,
                                        memory.spillFiles(),
                                        writer,
                                        watchdog,
                                        metrics,
                                        log),
                        workers,
                        log);
        metrics.addSource(listener::metricsJson);
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
        threads.add(Sockets.start("starter", workers));
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
            // Management commands are accepted only after the load balancer has processed the list:
            // earlier ones were refused for an unknown backend although the list contained it.
            loadBalancer.awaitProcessed();
            management =
                    new ManagementServer(
                            ProxyConfiguration.address("mgmt", managementAddress),
                            new ManagementCommands(
                                    this::isServing,
                                    metrics,
                                    this::membersReport,
                                    loadBalancer,
                                    manualEjections));
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

    private static BackendResources.ConnectionTimeouts connectionTimeouts(Settings settings) {
        return new BackendResources.ConnectionTimeouts(
                Ticks.toMillis(
                        settings.ticksRoundedDown(
                                "Limits.ConnectTimeout", DEFAULT_CONNECT_TIMEOUT_MICROS)),
                Ticks.toMillis(
                        settings.ticksRoundedDown("Limits.ConnIdle", DEFAULT_IDLE_TIMEOUT_MICROS)),
                BackendActor.SETTLE_NANOS);
    }

    private int listedBackends() {
        return loadBalancer.listedCount();
    }

    private int clientCount() {
        return listener.clientCount();
    }

    /**
     * The table that shows open ids to the proxy's other processes; null if there are none, or if
     * there is no space for it.
     */
    private SharedIdTable openSharedIds(Path directory, String name, int capacity) {
        if (directory == null) {
            return null;
        }
        try {
            return new SharedIdTable(directory, name, capacity, log);
        } catch (IOException e) {
            log.warn("open ids", "cannot be shown to other processes: " + e);
            return null;
        }
    }

    private boolean isServing() {
        return serving;
    }

    /** The members as text, one a line; null if membership is not configured. */
    private String membersReport() {
        return membership == null ? null : membership.service().statusLines();
    }

    /**
     * Reads the configuration again: follows discovery to its new address and applies the file's
     * settings to new requests, unless settings from the control server are in force. What a reload
     * can't change stays as it is; an invalid file changes nothing at all.
     */
    public synchronized void reload() {
        try {
            ProxyConfiguration config = ProxyConfiguration.read(configuration);
            config.requireCompatibleWith(currentConfiguration);
            Settings settings = config.settings();
            InetSocketAddress discovery = config.address("discovery");
            // A file that could not start a proxy is not trusted with the address of discovery
            // either.
            LoadBalancerFactory factory = checkedFactory(settings);
            if (!controlSettingsInForce) {
                applySettings(settings, factory);
            }
            currentConfiguration = config.withoutCachedEndpointList();
            watch.move(discovery);
            metrics.configurationReloaded(true);
            log.info(
                    "configuration",
                    "read again, discovery is at "
                            + discovery
                            + (controlSettingsInForce
                                    ? "; settings from the control server stay in force"
                                    : ""));
        } catch (RuntimeException e) {
            // A mistake in the file must not end a proxy that serves requests.
            metrics.configurationReloaded(false);
            log.warn(
                    "configuration",
                    configuration + ": the old one stays in force: " + e.getMessage());
        }
    }

    /**
     * Builds a load balancer from the settings without using it, so that settings that can't be
     * used fail here.
     */
    private LoadBalancerFactory checkedFactory(Settings settings) {
        LoadBalancerFactory factory = new LoadBalancerFactory(settings);
        factory.create(loadBalancer, 0);
        return factory;
    }

    /**
     * Applies settings to requests from now on; throws if they can't be used, and the old ones stay
     * in force.
     */
    private synchronized void applySettings(Settings settings) {
        applySettings(settings, checkedFactory(settings));
        // Under the same lock: a SIGHUP just after it would replace these settings by the file's.
        controlSettingsInForce = true;
    }

    private void applySettings(Settings settings, LoadBalancerFactory factory) {
        rules = new RequestRules(rules, factory, settings, clock.now());
        rules.namesInForce().forEach(metrics::registerRequestClass);
        // The shadow load balancer first: it does not know a new request class by itself.
        loadBalancer.settingsReplaced();
        validator.setRules(rules);
    }

    /**
     * Shuts down gracefully: accepts requests as long as they can still be answered, then answers
     * all that were accepted; returns when that is done. Clients that have no other proxy would
     * otherwise find none until the restart.
     */
    public void drain() throws InterruptedException {
        drain(System.nanoTime());
    }

    /**
     * The same, for a proxy that was signalled to stop before it served requests.
     *
     * @param signalledAtNanos when it was signalled, by the monotonic clock
     */
    public void drain(long signalledAtNanos) throws InterruptedException {
        long remainingMillis =
                Math.min(MAX_DEADLINE_MILLIS, validator.maxTimeoutMillis())
                        + KILL_DELAY_MILLIS
                        - EXIT_MARGIN_MILLIS;
        remainingMillis -= (System.nanoTime() - signalledAtNanos) / 1_000_000;
        long endNanos = System.nanoTime() + remainingMillis * 1_000_000;
        // Without this limit, some accepted requests might wait longer than the process lives.
        loadBalancer.limitDeadlines(validator.limitDeadlines(remainingMillis));
        if (handover.isReplaced()) {
            // Another process accepts new connections: this one answers the requests it has, and
            // one more on each connection.
            listener.drain();
            // What this process no longer needs is memory for the other one.
            workers.endIdleThreadsSoon();
            awaitNoClients(endNanos, backendConnections::closeAllIdle);
        } else {
            Thread.sleep(
                    Math.max(
                            0,
                            Math.min(
                                    remainingMillis,
                                    Math.max(
                                            MIN_ACCEPT_MILLIS,
                                            Math.max(
                                                    remainingMillis / 2,
                                                    remainingMillis - LAST_REQUESTS_MILLIS)))));
            if (membership != null) {
                membership.service().leave();
            }
            listener.drain();
        }
        // A check for busy connections would not do: a request may have been read and not be
        // recorded yet.
        awaitNoClients(endNanos + EXIT_MARGIN_MILLIS / 2 * 1_000_000, listener::closeIdle);
    }

    /** Waits until no client connection is left or the time is up. */
    private void awaitNoClients(long endNanos, Runnable beforeEachCheck)
            throws InterruptedException {
        while (!listener.isEmpty() && System.nanoTime() < endNanos) {
            beforeEachCheck.run();
            Thread.sleep(DRAIN_CHECK_MILLIS);
        }
    }

    /**
     * Closes the proxy at once, without the responses that its clients wait for. When this returns,
     * its addresses are free, none of its threads is left except those that are answering a
     * management command, and every accepted connection has been closed. May be called by any
     * thread, and more than once.
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
        backendConnections.close();
        List<Thread> unfinished = Sockets.join(threads);
        timers.close();
        workers.close();
        if (sharedIds != null) {
            sharedIds.close();
        }
        for (Thread thread : unfinished) {
            log.warn("close", "the thread " + thread.getName() + " has not ended");
        }
    }

    /** The port that it listens on. */
    public int port() {
        return listener.port();
    }

    /** The port of the management listener; -1 if there is none. */
    int managementPort() {
        return management == null ? -1 : management.port();
    }

    /** How often the shadow load balancer's decisions differed, by kind; null if there is none. */
    Map<ShadowLoadBalancer.Kind, Long> shadowCounts() {
        return shadow == null ? null : shadow.counts();
    }

    /** For tests only. */
    ClientListener listener() {
        return listener;
    }

    /** For tests only. */
    LoadBalancerActor loadBalancer() {
        return loadBalancer;
    }

    /** The bytes of spill files that are allocated to bodies. */
    long spillBytes() {
        return memory.spillBytes();
    }

    /** The number of free buffers in the pool. */
    int freeBuffers() {
        return memory.buffers().available();
    }

    /** Waits until the proxy is closed. */
    public void join() throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
    }
}

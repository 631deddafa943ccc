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
    private static final int OWN_SOCKETS = 24;

    /** Part of the others that backends have: clients hold a third of all at most for requests. */
    private static final double BACKEND_SOCKET_SHARE = 0.375;

    /** MB that the program takes by itself, and connections of clients that one more holds. */
    private static final int OWN_MEMORY_MB = 48;

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
    private static final long LAST_REQUEST_MILLIS = 900;

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
    private ProxyConfiguration inForce;

    private RequestRules rules;
    private final Metrics figures = new Metrics();
    private final ManualEjections bans;
    private final ProcessHandover succession;

    /** Null where operators have no address to call. */
    private ManagementServer management;

    private volatile boolean serves;
    private final RateLimitedLog log;
    private final List<Thread> threads = new ArrayList<>();
    private final RequestValidator admission;
    private final ClientListener listener;
    private final PeerMessenger peers;

    /** What it knows of the other proxies; null where it knows nothing. */
    private MembershipAdapter members;

    private final LoadBalancerActor module;
    private final EndpointListWatch watch;
    private final ConnectionThreads workers = new ConnectionThreads();
    private final BufferPool buffers;

    /** What learns of changes to the settings; null where nothing does. */
    private RolloutActor rollout;

    /** Whether settings that control has told are in force, not the file's. */
    private boolean told;

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
    public Proxy(Path configuration, OperatorConfig operator, String calledAt, Path folder)
            throws IOException {
        this.configuration = configuration;
        ProxyConfiguration config = ProxyConfiguration.read(configuration);
        String operators = config.text("mgmt", calledAt);
        boolean shares = operators != null;
        Settings settings = config.settings();
        LoadBalancerFactory assembly = new LoadBalancerFactory(settings);
        log = new RateLimitedLog(System.getLogger("cottonlock"));
        TickClock clock = new TickClock();
        SplittableRandom random = new SplittableRandom(config.seed());
        // Operators' calls hold theirs for seconds: taken from what is left for the list, they kept
        // it away.
        int own = OWN_SOCKETS + (shares ? ManagementServer.MAX_CONNECTIONS : 0);
        int sockets = Math.max(4, allowedSockets(config) - own);
        sockets -= sockets / SOCKETS_PER_BODY_FILE;
        int toBackends = Math.max(2, (int) (sockets * BACKEND_SOCKET_SHARE));
        int memoryMb = config.limit("memory_mb", 192);
        int fromClients =
                Math.min(
                        sockets - toBackends,
                        Math.max(16, (memoryMb - OWN_MEMORY_MB) * CLIENTS_PER_MB));
        // An eighth of the memory, a third of the heap at most: one for each connection, the rest
        // for bodies.
        long bytes = Math.min(((long) memoryMb << 20) / 8, Runtime.getRuntime().maxMemory() / 3);
        int connections = fromClients + toBackends;
        buffers = new BufferPool((int) Math.max(connections, bytes / BufferPool.SIZE), connections);
        Path spooled = folder == null ? Path.of(System.getProperty("java.io.tmpdir")) : folder;
        BodySpillFiles spools =
                new BodySpillFiles(spooled, Math.max(2, sockets / SOCKETS_PER_BODY_FILE));
        HttpWriter writer = new HttpWriter(buffers);
        WriteTimeoutWatchdog watchdog = new WriteTimeoutWatchdog();
        ConnectionPermits permits = new ConnectionPermits(toBackends);
        KeepAlivePolicy keepAlive = new KeepAlivePolicy();
        long connect =
                settings.ticksRoundedDown("Limits.ConnectTimeout", DEFAULT_CONNECT_TIMEOUT_MICROS)
                        / 10;
        long idle = settings.ticksRoundedDown("Limits.ConnIdle", DEFAULT_IDLE_TIMEOUT_MICROS) / 10;
        String name = config.text("name", "proxy") + "-" + config.text("listen", "");
        Path kept = shares ? folder : null;
        succession = new ProcessHandover(new SharedFile(kept, name, "serving", log));
        module =
                new LoadBalancerActor(
                        clock,
                        entry ->
                                new BackendActor(
                                        entry.address(),
                                        permits,
                                        keepAlive,
                                        workers,
                                        connect,
                                        idle,
                                        BackendActor.SETTLE_NANOS,
                                        buffers,
                                        writer,
                                        watchdog,
                                        clock,
                                        figures,
                                        log),
                        figures,
                        log);
        bans =
                new ManualEjections(
                        new SharedFile(kept, name, "bans", log), clock, module::bansChanged);
        EndpointListParser directory =
                new EndpointListParser(log, settings.list("Zones"), settings.list("Flavors"));
        EndpointList known = config.cachedEndpointList(directory);
        watch =
                new EndpointListWatch(
                        config.address("discovery"),
                        directory,
                        new EndpointListWatch.Options(
                                known.version(),
                                assembly.isEndpointListPolled(),
                                EndpointListWatch.SILENCE_TIMEOUT_MILLIS),
                        module,
                        buffers,
                        log,
                        random.split());
        InetSocketAddress all = config.addressOrNull("peers_all");
        InetSocketAddress peerListen = config.addressOrNull("peer_listen");
        boolean talks = peerListen != null && all != null;
        DatagramSocket peerSocket = talks ? PeerMessenger.openSocket(peerListen, shares) : null;
        peers = new PeerMessenger(peerSocket, config.addresses("peers"), all, module::heard, log);
        module.join(assembly.create(module, random.nextLong()), watch, peers, bans);
        if (!operator.shadowSettings().isEmpty()) {
            Settings others = config.settings();
            operator.shadowSettings().forEach(others::put);
            shadow = new ShadowLoadBalancer(log);
            shadow.join(new LoadBalancerFactory(others).create(shadow, random.nextLong()));
            module.watch(shadow);
        }
        module.endpointListReceived(known, true);
        inForce = config;
        rules = new RequestRules(null, assembly, settings);
        rules.names().forEach(figures::registerRequestClass);
        rules.tenantNames.forEach(figures::registerTenant);
        admission = new RequestValidator(clock, rules);
        InetSocketAddress listen = config.address("listen");
        listener =
                new ClientListener(
                        listen,
                        shares,
                        fromClients,
                        (socket, from) ->
                                new ClientConnection(
                                        socket, from, module, admission, buffers, spools, writer,
                                        watchdog, figures, log),
                        workers,
                        log);
        if (operator.rollout() != null) {
            rollout =
                    new RolloutActor(
                            operator.rollout(),
                            settings,
                            this::takeIn,
                            new SharedFile(folder, name, "configuration", log),
                            clock,
                            random.split(),
                            log);
            figures.addSource(rollout::metrics);
            rollout.begin();
        }
        threads.add(Sockets.start("module", module));
        threads.add(Sockets.start("watchdog", watchdog));
        threads.add(Sockets.start("list", watch));
        if (operator.membership() != null) {
            members =
                    new MembershipAdapter(
                            operator.membership(),
                            config,
                            random.split(),
                            new MembershipAdapter.Collaborators(
                                    peerSocket,
                                    peers,
                                    module,
                                    clock,
                                    kept == null ? null : succession,
                                    log));
            figures.addSource(members.service()::metricsJson);
        }
        if (members == null || !members.sharesPeerSocket()) {
            threads.add(Sockets.start("peers", peers));
        }
        threads.add(Sockets.start("listener", listener));
        if (shares) {
            // Called before the module had the list, ids that are there were told to be nobody's.
            module.settle();
            management =
                    new ManagementServer(ProxyConfiguration.address("mgmt", operators), new Desk());
            threads.add(Sockets.start("management", management));
            threads.add(Sockets.start("bans", bans));
        }
        succession.announceServing();
        if (members != null) {
            threads.add(Sockets.start("members", members.service()));
        }
        if (rollout != null) {
            threads.add(Sockets.start("rollout", rollout));
        }
        serves = true;
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
    private final class Desk implements ManagementOperations {
        @Override
        public boolean isServing() {
            return serves;
        }

        @Override
        public String metricsJson() {
            return figures.toJson();
        }

        @Override
        public String membersReport() {
            return members == null ? null : members.service().statusLines();
        }

        @Override
        public String ejectBackend(String id) {
            return change(id, true);
        }

        @Override
        public String restoreBackend(String id) {
            return change(id, false);
        }

        private String change(String id, boolean out) {
            if (!module.lists(id) && !bans.isEjected(id)) {
                return "no backend has that id";
            }
            if (!bans.setEjected(id, out)) {
                return "too many backends are out";
            }
            bans.awaitPropagation();
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
            config.requireCompatibleWith(inForce);
            Settings settings = config.settings();
            InetSocketAddress discovery = config.address("discovery");
            // A file that could not start a proxy is not trusted with where discovery is either.
            LoadBalancerFactory assembly = tried(settings);
            if (!told) {
                takeIn(settings, assembly);
            }
            inForce = config;
            watch.move(discovery);
            figures.configurationReloaded(true);
            log.info(
                    "configuration",
                    "read again, discovery is at "
                            + discovery
                            + (told ? "; the settings that control has told stay in force" : ""));
        } catch (RuntimeException e) {
            // A slip in a file must not end a proxy that serves.
            figures.configurationReloaded(false);
            log.warn(
                    "configuration",
                    configuration + ": the old one stays in force: " + e.getMessage());
        }
    }

    /** A module by these settings, to the side: whatever can't be built ends here. */
    private LoadBalancerFactory tried(Settings settings) {
        LoadBalancerFactory assembly = new LoadBalancerFactory(settings);
        assembly.create(module, 0);
        return assembly;
    }

    /** Takes in work by these settings from now on, or by the old ones where they can't be used. */
    private synchronized void takeIn(Settings settings) {
        takeIn(settings, tried(settings));
        // Under the same lock: a SIGHUP just behind it would put the file's settings in their
        // place.
        told = true;
    }

    private void takeIn(Settings settings, LoadBalancerFactory assembly) {
        int most = settings.count("Limits.MaxHandOffs", 1);
        rules = new RequestRules(rules, assembly, settings);
        rules.names().forEach(figures::registerRequestClass);
        // The module first: it must know a category before a request of it comes.
        module.retune(rules.categories, most);
        admission.follow(rules);
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
    public void drain(long toldAt) throws InterruptedException {
        long left =
                Math.min(MAX_DEADLINE_MILLIS, admission.longest())
                        + KILL_DELAY_MILLIS
                        - EXIT_MARGIN_MILLIS;
        left -= (System.nanoTime() - toldAt) / 1_000_000;
        long end = System.nanoTime() + left * 1_000_000;
        // Taken before, some requests might wait for longer than the program is let live.
        module.endBy(admission.endWithin(left));
        if (succession.isReplaced()) {
            // Another process takes what comes from now on: this one answers what it has, and one
            // more each.
            listener.leave();
            emptied(end, () -> {});
        } else {
            Thread.sleep(
                    Math.max(
                            0,
                            Math.min(
                                    left,
                                    Math.max(
                                            MIN_ACCEPT_MILLIS,
                                            Math.max(left / 2, left - LAST_REQUEST_MILLIS)))));
            if (members != null) {
                members.service().leave();
            }
            listener.leave();
        }
        // A look at who is busy would not do: a request may have been read and not yet be known to
        // be.
        emptied(end + EXIT_MARGIN_MILLIS / 2 * 1_000_000, listener::endResting);
    }

    /** Waits until no connection is left, or the time has come. */
    private void emptied(long until, Runnable each) throws InterruptedException {
        while (!listener.empty() && System.nanoTime() < until) {
            each.run();
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
        serves = false;
        if (management != null) {
            management.close();
        }
        listener.close();
        listener.abort();
        peers.close();
        if (members != null) {
            members.close();
        }
        threads.forEach(Thread::interrupt);
        watch.close();
        if (rollout != null) {
            rollout.close();
        }
        List<Thread> left = Sockets.join(threads);
        workers.close();
        for (Thread thread : left) {
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
    Map<ShadowLoadBalancer.Kind, Long> watched() {
        return shadow == null ? null : shadow.counts();
    }

    /** For tests alone. */
    ClientListener listener() {
        return listener;
    }

    /** For tests alone. */
    LoadBalancerActor module() {
        return module;
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

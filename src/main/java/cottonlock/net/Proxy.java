package cottonlock.net;

import cottonlock.setup.Assembly;
import cottonlock.setup.Settings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** A load balancer on sockets: what an embedding program starts and closes. */
public final class Proxy {
    /** Descriptors for the program itself, discovery, peers and the listener: eight in use, measured. */
    private static final int OWN_SOCKETS = 24;
    /** Part of the others that backends have: clients hold a third of all at most for requests. */
    private static final double TO_BACKENDS = 0.375;
    /** MB that the program takes by itself, and connections of clients that one more holds, measured. */
    private static final int OWN_MEMORY = 48;
    private static final int CLIENTS_A_MB = 6;
    /** Milliseconds of patience, at most, that whoever stops the program waits for, and how many more. */
    private static final long WAITED_FOR = 3_000;
    private static final long MORE = 700;
    /** Milliseconds before that by which all is answered: time to leave in, also with little of a core. */
    private static final long MARGIN = 300;
    /** Milliseconds that the last work items taken have at least: twice what most of them need. */
    private static final long LAST = 900;
    /** Where the settings give none, in their microseconds: a far network's connect, a common idle time. */
    private static final double CONNECT = 250_000;
    private static final double IDLE = 15_000_000;
    /** Milliseconds between looks at whether all is answered. */
    private static final long LOOK = 5;

    private final Path configuration;
    private final Log log;
    private final List<Thread> threads = new ArrayList<>();
    private final Admission admission;
    private final Listener listener;
    private final Peers peers;
    private final ModuleActor module;
    private final ListWatch watch;
    private final Workers workers = new Workers();
    private final Buffers buffers;
    private final long longestExpiry;
    /** The module that is only watched, or null. */
    private Shadow shadow;

    /** Starts a proxy by its configuration file; it serves when this returns. */
    public Proxy(Path configuration) throws IOException {
        this(configuration, Map.of());
    }

    /** The same; the decisions of a module with these settings in place of its own are counted beside it. */
    public Proxy(Path configuration, Map<String, String> watched) throws IOException {
        this.configuration = configuration;
        Config config = Config.read(configuration);
        Settings settings = config.settings();
        Assembly assembly = new Assembly(settings);
        log = new Log(System.getLogger("cottonlock"));
        Clock clock = new Clock();
        SplittableRandom random = new SplittableRandom(config.seed());
        int sockets = Math.max(4, config.limit("sockets", 1024) - OWN_SOCKETS);
        int toBackends = Math.max(2, (int) (sockets * TO_BACKENDS));
        int memoryMb = config.limit("memory_mb", 192);
        int fromClients = Math.min(sockets - toBackends,
            Math.max(16, (memoryMb - OWN_MEMORY) * CLIENTS_A_MB));
        // An eighth of the memory, a third of the heap at most: one for each connection, the rest for bodies.
        long bytes = Math.min(((long) memoryMb << 20) / 8, Runtime.getRuntime().maxMemory() / 3);
        buffers = new Buffers((int) Math.max(fromClients + toBackends, bytes / Buffers.SIZE));
        HttpWriter writer = new HttpWriter(buffers);
        Watchdog watchdog = new Watchdog();
        Places places = new Places(toBackends);
        Keeping keeping = new Keeping();
        long connect = settings.timeDown("Limits.ConnectTimeout", CONNECT) / 10;
        long idle = settings.timeDown("Limits.ConnIdle", IDLE) / 10;
        module = new ModuleActor(clock, entry -> {
            BackendActor actor = new BackendActor(entry.dial(), places, keeping, workers, connect, idle,
                buffers, writer, watchdog, clock, log);
            Sockets.start("backend", actor);
            return actor;
        }, log);
        Directory directory = new Directory(log, settings.words("Zones"), settings.words("Flavors"));
        Directory.News known = config.known(directory);
        watch = new ListWatch(config.address("discovery"), directory, known.version(),
            assembly.mustAsk(), module, buffers, log, random.split());
        peers = new Peers(config.addressIfAny("peer_listen"), config.addresses("peers"),
            config.addressIfAny("peers_all"), module, log);
        module.join(assembly.balancer(module, random.nextLong()), watch, peers);
        if (!watched.isEmpty()) {
            Settings others = config.settings();
            watched.forEach(others::put);
            shadow = new Shadow(log);
            shadow.join(new Assembly(others).balancer(shadow, random.nextLong()));
            module.watch(shadow);
        }
        module.list(known, true);
        admission = new Admission(clock, assembly, settings);
        InetSocketAddress listen = config.address("listen");
        listener = new Listener(listen, fromClients, (socket, from) -> new Client(socket, from, module,
            admission, buffers, writer, watchdog, log), workers, log);
        longestExpiry = admission.longest();
        threads.add(Sockets.start("module", module));
        threads.add(Sockets.start("watchdog", watchdog));
        threads.add(Sockets.start("list", watch));
        threads.add(Sockets.start("peers", peers));
        threads.add(Sockets.start("listener", listener));
    }

    /** Reads the configuration again, and follows discovery to where it is now; all else stays as it is. */
    public synchronized void reload() {
        try {
            Config config = Config.read(configuration);
            // A file that could not start a proxy is not trusted with where discovery is either.
            new Assembly(config.settings()).balancer(module, 0);
            InetSocketAddress discovery = config.address("discovery");
            watch.move(discovery);
            log.info("configuration", "read again, discovery is at " + discovery);
        } catch (RuntimeException e) {
            // A slip in a file must not end a proxy that serves.
            log.warn("configuration", "the old one stays in force: " + e.getMessage());
        }
    }

    /**
     * Serves on for as long as what comes can still be answered, then answers what it has taken; returns when
     * all is answered. Clients whose front has nobody else for them would find nobody until the restart.
     */
    public void drain() throws InterruptedException {
        long left = Math.min(WAITED_FOR, longestExpiry) + MORE - MARGIN;
        long taking = Math.max(left / 2, left - LAST);
        admission.endWithin(left);
        Thread.sleep(taking);
        listener.close();
        long until = System.nanoTime() + longestExpiry * 1_000_000;
        while (listener.busy() && System.nanoTime() < until) {
            Thread.sleep(LOOK);
        }
    }

    /** Ends it at once. */
    public void close() {
        listener.close();
        listener.abort();
        peers.close();
        threads.forEach(Thread::interrupt);
        watch.close();
        workers.close();
    }

    /** The port that it listens on. */
    public int port() {
        return listener.port();
    }

    /** What the watched module would have decided otherwise, by kind; null where none is watched. */
    Map<Shadow.Kind, Long> watched() {
        return shadow == null ? null : shadow.counts();
    }

    /** How many buffers of the pool are free. */
    int freeBuffers() {
        return buffers.left();
    }

    /** Waits until it is closed. */
    public void join() throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
    }
}

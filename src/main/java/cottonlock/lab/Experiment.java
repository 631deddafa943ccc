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
 * One run of a scenario: builds the stand-ins and the proxies, plays the schedule and the faults,
 * and ends all.
 */
final class Experiment {
    /** Nanoseconds between the last proxy's start and the first arrival. */
    private static final long LEAD = 300_000_000L;

    /**
     * Nanoseconds that a planned restart's front still sends to the old process (PROTOCOL,
     * Figures).
     */
    private static final long FRONT_AFTER_TERM = 300_000_000L;

    /** The longest deadline that whoever stops a proxy waits for, and how much longer. */
    private static final long MAX_DEADLINE_MILLIS = 3_000;

    private static final long KILL_AFTER_DEADLINE_MILLIS = 700;

    /** Nanoseconds that a backend is gone at least before it starts again. */
    private static final long GONE = 500_000_000L;

    /** Descriptors of the program itself, with room to spare. */
    private static final long OWN_DESCRIPTORS = 300;

    /**
     * Threads that start and end proxies: each start of a process takes half a core for half a
     * second.
     */
    private static final int STARTERS = 6;

    /**
     * Periods after which a view must be right: more than the longest doubt, which is nine by
     * default.
     */
    private static final int SETTLED = 14;

    /** Nanoseconds: a starved process runs once in each. */
    private static final long SLICE = 100_000_000L;

    /** Bytes of a process's log that are kept for its report. */
    private static final long MOST_LOG = 4 << 20;

    /**
     * Requests a second from which a run is warmed up for: below, compiling keeps up by the way.
     */
    private static final double WARM_UP_FROM = 500;

    private static final String WARM_UP =
            """
            seconds = 2
            proxy = {policy = "direct", count = 2}
            tier = [{backends = 2, cores = 64}]
            tenant = [{name = "t", rate = 1500}]
            category = [{name = "c", due_ms = 500, expiry_ms = 500, work_ms = 0.1}]
            """;

    /** One proxy: who calls it, and where it runs, or the baseline that stands in. */
    private static final class Node {
        final int number;
        final Host host;
        final Caller caller;
        volatile boolean serving;

        /** Of the first tier, whose proxies clients call. */
        final boolean first;

        long starts;

        Node(int number, Host host, Caller caller, boolean first) {
            this.number = number;
            this.host = host;
            this.caller = caller;
            this.first = first;
        }
    }

    private final Scenario scenario;
    private final Loop loop = new Loop();
    private final ByteBuffer buffer = Conn.sharedBuffer();
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

    /** Where the proxies of the first tier know one another; null where they don't. */
    private PeerNet net;

    private MembersJudge judge;
    private MembersWatch watch;
    private Watcher watcher;

    /** Faults that wait for a moment, by its name. */
    private final Map<String, List<Timeline.Entry>> waiting = new HashMap<>();

    private final Map<String, String> logs = new TreeMap<>();
    private final ExecutorService starters = Executors.newFixedThreadPool(STARTERS);
    private final CountDownLatch over = new CountDownLatch(1);
    private final long wallStart = System.currentTimeMillis();
    private long from;
    private volatile String fault;
    private volatile boolean interrupted;
    private LongConsumer eachSecond = second -> {};

    /** Builds it; throws where the machine can't hold it. */
    Experiment(Scenario scenario) throws IOException, InvalidConfigurationException {
        this.scenario = scenario;
        descriptors();
        schedule =
                Arrivals.draw(
                        scenario.seed,
                        scenario.length,
                        scenario.rooms.size(),
                        scenario.tenants,
                        scenario.categories,
                        scenario.clients,
                        scenario.bursts);
        timeline =
                Timeline.draw(
                        scenario.seed,
                        scenario.faults,
                        scenario.random,
                        scenario.rooms,
                        scenario.tiers,
                        scenario.proxies.count());
        ledger = new Ledger(scenario.rules.grace(), scenario.rules.drain());
        series = new Series(scenario.tenants.size(), scenario.categories.size());
        folder = Files.createTempDirectory("cottonlock-lab");
        SplittableRandom chance = new SplittableRandom(scenario.seed + 1);
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
            Map<String, Backend.Marks> marks = new HashMap<>();
            for (int b = 0; b < plan.backends(); b++) {
                Backend backend =
                        new Backend(
                                Scenario.backend(t, b),
                                t,
                                room(b),
                                loop,
                                ledger,
                                series,
                                plan,
                                scenario.rules,
                                categories,
                                marks,
                                chance.split(),
                                scenario.sabotage);
                backends.put(backend.id, backend);
                discoveries.get(t).add(backend);
            }
        }
        if (scenario.knowing != null) {
            net = new PeerNet(loop, scenario.seed, scenario.proxies.count());
            List<String> names = new ArrayList<>();
            for (int p = 0; p < scenario.proxies.count(); p++) {
                names.add("n" + p);
            }
            judge = new MembersJudge(names, SETTLED * scenario.knowing.period());
            watch = new MembersWatch();
            watcher = new Watcher(ServeCommand.code());
        }
        List<Caller> callers = new ArrayList<>();
        int[] rooms = new int[scenario.proxies.count()];
        for (int p = 0; p < rooms.length; p++) {
            rooms[p] = p % scenario.rooms.size();
            callers.add(node(0, rooms.length, chance.split()).caller);
        }
        for (int t = 1; t < scenario.tiers.size(); t++) {
            int before = scenario.tiers.get(t - 1).backends();
            for (int b = 0; b < before; b++) {
                Backend backend = backends.get(Scenario.backend(t - 1, b));
                Node node = node(t, before, chance.split());
                backend.next = node.caller;
                backend.died = () -> kill(node);
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
                        callers,
                        rooms);
    }

    private String room(int number) {
        return scenario.rooms.get(number % scenario.rooms.size());
    }

    /** What would run out in the middle of a run is told before it begins. */
    private void descriptors() throws InvalidConfigurationException {
        if (!(java.lang.management.ManagementFactory.getOperatingSystemMXBean()
                instanceof com.sun.management.UnixOperatingSystemMXBean system)) {
            return;
        }
        long needed = OWN_DESCRIPTORS;
        for (Scenario.Fault crowd : scenario.faults) {
            needed += crowd.kind().equals("proxy-crowd") ? (long) crowd.amount() : 0;
        }
        for (int t = 0; t < scenario.tiers.size(); t++) {
            long proxies = t == 0 ? scenario.proxies.count() : scenario.tiers.get(t - 1).backends();
            long there = scenario.tiers.get(t).backends();
            boolean own = scenario.proxies.processes();
            long kept = Math.min(there, scenario.proxies.sockets() * 3L / 8);
            needed += proxies * there + proxies * kept * (own ? 1 : 2) + proxies * 12;
        }
        long have = system.getMaxFileDescriptorCount();
        if (needed > have) {
            throw new InvalidConfigurationException(
                    List.of(
                            "this scenario needs some "
                                    + needed
                                    + " file descriptors, and the process may "
                                    + "have "
                                    + have
                                    + ": fewer proxies or backends, a smaller proxy.sockets, or a"
                                    + " higher limit"));
        }
    }

    private Node node(int tier, int fleet, SplittableRandom chance) throws IOException {
        int number = nodes.size();
        String name = "n" + number;
        Discovery discovery = discoveries.get(tier);
        Map<String, InetSocketAddress> dials = new LinkedHashMap<>();
        Map<Backend, InetSocketAddress> plainDials = new HashMap<>();
        for (Backend backend : backends.values()) {
            if (backend.id.startsWith("t" + tier + "b")) {
                InetSocketAddress dial = backend.door(buffer, number).address();
                dials.put(backend.id, dial);
                plainDials.put(backend, dial);
            }
        }
        Node[] self = new Node[1];
        if (scenario.proxies.policy().equals("direct")) {
            // No proxy between: what the stand-ins can do by themselves.
            List<InetSocketAddress> doors = List.copyOf(plainDials.values());
            InetSocketAddress only = doors.get(number % doors.size());
            nodes.add(
                    new Node(
                            number,
                            null,
                            new Caller(
                                    loop,
                                    ledger,
                                    buffer,
                                    number,
                                    () -> only,
                                    scenario.sabotage,
                                    chance.split()),
                            tier == 0));
            return nodes.get(number);
        }
        if (!scenario.proxies.policy().equals("lanes")) {
            PlainProxy plain =
                    new PlainProxy(
                            loop,
                            buffer,
                            number,
                            scenario.proxies.policy(),
                            scenario.proxies.maxHandOffs(),
                            scenario.proxies.connectTimeout(),
                            chance.split(),
                            plainDials);
            discovery.servePlain(number, plain::list);
            self[0] =
                    new Node(
                            number,
                            null,
                            new Caller(
                                    loop,
                                    ledger,
                                    buffer,
                                    number,
                                    () -> self[0].serving ? plain.address() : null,
                                    scenario.sabotage,
                                    chance.split()),
                            tier == 0);
        } else {
            discovery.serve(number, dials);
            long seed = chance.nextLong();
            Host[] at = new Host[1];
            ProxyConfig.Talk[] talk = new ProxyConfig.Talk[1];
            Host host =
                    new Host(
                            name,
                            scenario.proxies.processes(),
                            folder,
                            start -> {
                                try {
                                    return ProxyConfig.json(
                                            name,
                                            text(at[0].address()),
                                            text(discovery.address(number)),
                                            seed + start,
                                            discovery.whole(number),
                                            tier,
                                            fleet,
                                            scenario.proxies,
                                            scenario.rules,
                                            scenario.rooms,
                                            scenario.tenants,
                                            scenario.categories,
                                            talk[0] == null
                                                    ? null
                                                    : talk[0].calledAt(text(at[0].calledAt())));
                                } catch (IOException e) {
                                    throw new UncheckedIOException(e);
                                }
                            },
                            tier == 0 && scenario.knowing != null ? operatorsFile() : null);
            at[0] = host;
            if (tier == 0 && scenario.knowing != null) {
                talk[0] = talk(number, fleet, host);
            }
            self[0] =
                    new Node(
                            number,
                            host,
                            new Caller(
                                    loop,
                                    ledger,
                                    buffer,
                                    number,
                                    () -> self[0].serving ? host.address() : null,
                                    scenario.sabotage,
                                    chance.split()),
                            tier == 0);
        }
        nodes.add(self[0]);
        return self[0];
    }

    private String operatorsFile() throws IOException {
        String key = "";
        if (scenario.knowing.keyed()) {
            java.nio.file.Path file = folder.resolve("key");
            Files.writeString(file, "a key of the lab's, seed " + scenario.seed);
            key = "key_file = \"" + file + "\"\n";
        }
        return "[membership]\n" + key + scenario.knowing.toml();
    }

    /** How a proxy of the first tier reaches the others: by the lab's own addresses of them. */
    private ProxyConfig.Talk talk(int number, int fleet, Host host) throws IOException {
        List<String> peers = new ArrayList<>();
        for (int p = 0; p < fleet; p++) {
            peers.add(text(net.address(p)));
        }
        InetSocketAddress real;
        // Not held until then: a second socket on it would get a part of what comes.
        try (java.net.DatagramSocket free =
                new java.net.DatagramSocket(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            real = (InetSocketAddress) free.getLocalSocketAddress();
        }
        net.listens(number, real);
        return new ProxyConfig.Talk(text(host.calledAt()), text(real), peers, number);
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Told on the loop's thread what second of the load has ended. */
    void eachSecond(LongConsumer whom) {
        eachSecond = whom;
    }

    /** From any thread: ends the run early; what was measured until then is reported. */
    void interrupt() {
        interrupted = true;
        loop.post(this::finish);
    }

    boolean interrupted() {
        return interrupted;
    }

    /** Plays it; returns when all is over and nothing is left behind. */
    void play() throws IOException, InterruptedException {
        if (scenario.tenants.stream().mapToDouble(Scenario.TenantPlan::rate).sum()
                >= WARM_UP_FROM) {
            warmUp();
        }
        perform();
    }

    /**
     * The stand-ins' code is compiled before it counts: at high rates a slow start alone made runs
     * fall behind.
     */
    private static void warmUp() throws IOException, InterruptedException {
        java.nio.file.Path file = Files.createTempFile("warm-up", ".toml");
        try {
            Files.writeString(file, WARM_UP);
            new Experiment(Scenario.read(file, List.of(), null)).perform();
        } catch (InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        } finally {
            Files.delete(file);
        }
    }

    private void perform() throws IOException, InterruptedException {
        Thread stage =
                new Thread(
                        () -> {
                            try {
                                loop.run();
                            } catch (IOException | RuntimeException | OutOfMemoryError e) {
                                fault = "the lab itself failed: " + e;
                                e.printStackTrace();
                            } finally {
                                over.countDown();
                            }
                        },
                        "lab");
        stage.start();
        try {
            List<Future<?>> starts = new ArrayList<>();
            for (Node node : nodes) {
                starts.add(starters.submit(() -> start(node)));
            }
            for (Future<?> start : starts) {
                start.get();
            }
            if (fault == null) {
                loop.post(this::begin);
                over.await();
            }
        } catch (java.util.concurrent.ExecutionException e) {
            fault = String.valueOf(e.getCause());
        } finally {
            end(stage);
        }
        if (fault != null) {
            throw new IOException(fault);
        }
    }

    private void start(Node node) {
        try {
            if (node.host != null) {
                node.host.start(node.starts++);
            }
            node.serving = true;
            loop.post(() -> isUp(node));
        } catch (IOException | RuntimeException e) {
            fault = String.valueOf(e.getMessage());
            loop.post(this::finish);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void isUp(Node node) {
        if (judge != null && node.first) {
            judge.up(node.number, loop.now());
        }
        moment(node.host == null ? "" : node.host.name() + ".up");
    }

    /** What the timeline may name has happened: faults that wait for it are set. */
    private void moment(String name) {
        for (Timeline.Entry entry : waiting.getOrDefault(name, List.of())) {
            loop.at(loop.now() + entry.at(), () -> apply(entry));
        }
        waiting.remove(name);
    }

    private void begin() {
        // Until the proxies have found one another nothing is counted.
        from =
                loop.now()
                        + LEAD
                        + (scenario.knowing == null ? 0 : SETTLED * scenario.knowing.period());
        loop.at(
                from,
                () -> {
                    loop.late().reset();
                    if (watcher != null) {
                        watcher.reset();
                    }
                });
        clients.start(schedule, from);
        for (Timeline.Entry entry : timeline) {
            if (entry.after().isEmpty()) {
                loop.at(from + entry.at(), () -> apply(entry));
            } else {
                waiting.computeIfAbsent(entry.after(), m -> new ArrayList<>()).add(entry);
            }
        }
        if (watch != null) {
            nodes.stream()
                    .filter(n -> n.first)
                    .forEach(
                            n ->
                                    watch.watch(
                                            n.host::calledAt,
                                            view ->
                                                    loop.post(
                                                            () ->
                                                                    judge.sample(
                                                                            n.number,
                                                                            loop.now(),
                                                                            view))));
        }
        tick(1);
        loop.at(from + scenario.length, this::awaitLast);
    }

    private void tick(long second) {
        loop.at(
                from + second * 1_000_000_000L,
                () -> {
                    eachSecond.accept(second);
                    if (second * 1_000_000_000L < scenario.length) {
                        tick(second + 1);
                    }
                });
    }

    private void awaitLast() {
        long longest =
                scenario.categories.stream()
                        .mapToLong(Scenario.CategoryPlan::expiry)
                        .max()
                        .orElse(0);
        if (clients.allOver() || loop.now() > from + scenario.length + longest + 1_000_000_000L) {
            finish();
        } else {
            loop.after(20_000_000L, this::awaitLast);
        }
    }

    private void finish() {
        clients.end();
        loop.stop();
    }

    private void end(Thread stage) throws InterruptedException {
        loop.stop();
        stage.join();
        starters.shutdown();
        if (!starters.awaitTermination(6, TimeUnit.SECONDS)) {
            starters.shutdownNow();
        }
        if (watch != null) {
            watch.close();
            watcher.end();
            net.close();
        }
        for (Node node : nodes) {
            if (node.host != null) {
                node.host.end();
            }
        }
        nodes.forEach(node -> node.caller.close());
        for (Backend backend : backends.values()) {
            backend.died = () -> {};
            backend.die(false);
        }
        loop.close();
        try (java.util.stream.Stream<java.nio.file.Path> files = Files.walk(folder)) {
            for (Node node : nodes) {
                java.nio.file.Path log = folder.resolve("n" + node.number + ".log");
                if (Files.exists(log) && Files.size(log) < MOST_LOG) {
                    logs.put("n" + node.number, Files.readString(log));
                }
            }
            for (java.nio.file.Path file :
                    files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            // What is left of it lies in the system's folder for such files.
        }
    }

    private void apply(Timeline.Entry entry) {
        List<Backend> hit = entry.backends().stream().map(backends::get).toList();
        long end = loop.now() + entry.length();
        if (!entry.name().isEmpty()) {
            moment(entry.name() + ".begin");
            loop.at(end, () -> moment(entry.name() + ".end"));
        }
        try {
            switch (entry.kind()) {
                case "slow" ->
                        hit.forEach(
                                b -> during(end, () -> b.slow(entry.amount()), () -> b.slow(1)));
                case "errors" ->
                        hit.forEach(
                                b ->
                                        during(
                                                end,
                                                () -> b.errors = entry.amount(),
                                                () -> b.errors = 0));
                case "pause" ->
                        hit.forEach(b -> during(end, () -> b.pause(true), () -> b.pause(false)));
                case "delay" ->
                        hit.forEach(
                                b ->
                                        during(
                                                end,
                                                () -> b.path.delay = (long) (entry.amount() * 1e6),
                                                () -> b.path.delay = 0));
                case "throttle" ->
                        hit.forEach(
                                b ->
                                        during(
                                                end,
                                                () ->
                                                        b.path.bytesPerSecond =
                                                                Math.max(1, (long) entry.amount()),
                                                () -> b.path.bytesPerSecond = 0));
                case "resets" ->
                        hit.forEach(
                                b ->
                                        during(
                                                end,
                                                () -> b.path.resets = entry.amount(),
                                                () -> b.path.resets = 0));
                case "splits" ->
                        hit.forEach(
                                b ->
                                        during(
                                                end,
                                                () -> b.path.splits = entry.amount(),
                                                () -> b.path.splits = 0));
                case "garble" ->
                        hit.forEach(
                                b ->
                                        during(
                                                end,
                                                () -> b.path.garbles = entry.amount(),
                                                () -> b.path.garbles = 0));
                case "cut" ->
                        hit.forEach(b -> during(end, () -> cut(b, true), () -> cut(b, false)));
                case "crash" -> hit.forEach(b -> during(end, () -> b.die(false), () -> restart(b)));
                case "drain" -> hit.forEach(b -> drain(b, entry));
                case "proxy-kill" -> proxyKill(nodes.get(entry.proxy()), end);
                case "proxy-term" -> proxyTerm(nodes.get(entry.proxy()), entry.length());
                case "proxy-restart" ->
                        proxyRestart(nodes.get(entry.proxy()), entry.series(), entry.length());
                case "proxy-crowd" -> crowd(nodes.get(entry.proxy()), end, (int) entry.amount());
                case "proxy-pause" -> proxyPause(nodes.get(entry.proxy()), end);
                case "proxy-hang" -> proxyHang(nodes.get(entry.proxy()), end);
                case "proxy-starve" -> proxyStarve(nodes.get(entry.proxy()), end, entry.amount());
                case "proxy-replace" -> proxyReplace(nodes.get(entry.proxy()));
                case "proxy-clock" -> nodes.get(entry.proxy()).host.clock((long) entry.amount());
                case "peer-forge" -> forge(end, (long) (1e9 / Math.max(0.1, entry.amount())));
                case "peer-cut",
                        "peer-split",
                        "peer-loss",
                        "peer-double",
                        "peer-garble",
                        "peer-delay" ->
                        between(entry, end);
                default -> discoveryFault(entry, end);
            }
        } catch (IOException e) {
            fault = entry.kind() + " could not be played: " + e.getMessage();
            finish();
        }
    }

    private void discoveryFault(Timeline.Entry entry, long end) throws IOException {
        for (Discovery discovery : discoveries) {
            switch (entry.kind()) {
                case "discovery-down" -> {
                    discovery.down(true);
                    loop.at(end, () -> quietly(() -> discovery.down(false)));
                }
                case "discovery-slow" ->
                        during(
                                end,
                                () -> discovery.slow((long) (entry.amount() * 1e6)),
                                () -> discovery.slow(0));
                case "discovery-silent" ->
                        during(end, () -> discovery.silent(true), () -> discovery.silent(false));
                case "discovery-stale" ->
                        during(end, () -> discovery.stale(true), () -> discovery.stale(false));
                default -> {
                    discovery.move();
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

    /** Something that fails only when the machine has no more sockets. */
    private interface Step {
        void take() throws IOException;
    }

    private void quietly(Step step) {
        try {
            step.take();
        } catch (IOException e) {
            fault = "a fault could not be played: " + e.getMessage();
            finish();
        }
    }

    private void during(long end, Runnable begins, Runnable ends) {
        begins.run();
        loop.at(end, ends);
    }

    private void cut(Backend backend, boolean off) {
        quietly(() -> backend.cut(off));
    }

    private void restart(Backend backend) {
        if (backend.life != Backend.Life.DOWN) {
            return;
        }
        Node own = ownProxies.get(backend.id);
        Runnable up =
                () ->
                        quietly(
                                () -> {
                                    backend.restart();
                                    discoveries
                                            .get(
                                                    Integer.parseInt(
                                                            backend.id.substring(
                                                                    1, backend.id.indexOf('b'))))
                                            .restarted(backend);
                                });
        if (own == null || own.host == null) {
            if (own != null) {
                own.caller.dying(false);
                own.serving = true;
            }
            up.run();
        } else {
            runInBackground(
                    () -> {
                        start(own);
                        loop.post(
                                () -> {
                                    own.caller.dying(false);
                                    up.run();
                                });
                        return null;
                    });
        }
    }

    private void drain(Backend backend, Timeline.Entry entry) {
        Discovery discovery =
                discoveries.get(Integer.parseInt(backend.id.substring(1, backend.id.indexOf('b'))));
        discovery.set(backend, Discovery.Health.LEAVING);
        long left = loop.now() + (long) entry.amount();
        loop.at(
                left,
                () -> {
                    discovery.set(backend, Discovery.Health.LEFT);
                    if (backend.life == Backend.Life.UP) {
                        backend.die(false);
                    }
                });
        loop.at(Math.max(loop.now() + entry.length(), left + GONE), () -> restart(backend));
    }

    /** The process is stopped where it stands: what it owes meanwhile it can't give. */
    private void proxyPause(Node node, long end) {
        stands(node, true);
        signal(node, true);
        loop.at(
                end,
                () -> {
                    signal(node, false);
                    stands(node, false);
                });
    }

    /**
     * Another process of the proxy takes over while this one serves: to the others nothing happens.
     */
    private void proxyReplace(Node node) {
        runInBackground(
                () -> {
                    try {
                        loop.post(() -> judge.processReplaced(loop.now()));
                        node.host.replace(node.starts++);
                        loop.post(() -> judge.processReplaced(loop.now()));
                    } catch (IOException e) {
                        fault = String.valueOf(e.getMessage());
                        loop.post(this::finish);
                    }
                    return null;
                });
    }

    private void proxyHang(Node node, long end) {
        stands(node, true);
        quietly(() -> node.host.hang(true));
        loop.at(
                end,
                () -> {
                    quietly(() -> node.host.hang(false));
                    stands(node, false);
                });
    }

    private void stands(Node node, boolean still) {
        node.caller.dying(still);
        if (still) {
            clients.gone(node.number, loop.now() + scenario.clients.notice());
        } else {
            ledger.proxySuspendedUntil(node.number, loop.now());
            clients.back(node.number);
        }
        if (judge != null && node.first) {
            if (still) {
                judge.down(node.number, loop.now());
            } else {
                judge.up(node.number, loop.now());
            }
        }
    }

    /** It gets only a part of a core: stopped for most of each {@link #SLICE}. */
    private void proxyStarve(Node node, long end, double part) {
        ledger.proxySuspendedUntil(node.number, end);
        starveSlice(node, end, part);
    }

    private void starveSlice(Node node, long end, double part) {
        if (loop.now() >= end) {
            return;
        }
        signal(node, true);
        loop.after((long) (SLICE * (1 - part)), () -> signal(node, false));
        loop.after(SLICE, () -> starveSlice(node, end, part));
    }

    /** Runs a step that waits for processes outside the loop's thread; its failure is dropped. */
    private void runInBackground(Callable<?> step) {
        Future<?> unused = starters.submit(step);
    }

    private void signal(Node node, boolean stop) {
        runInBackground(
                () -> {
                    node.host.stop(stop);
                    return null;
                });
    }

    private void forge(long end, long every) {
        if (net != null && loop.now() < end) {
            net.forge();
            loop.after(every, () -> forge(end, every));
        }
    }

    /**
     * Something befalls the ways between proxies: all, those between groups, or from the first
     * group on.
     */
    private void between(Timeline.Entry entry, long end) {
        if (net == null) {
            return;
        }
        ways(entry, true);
        loop.at(end, () -> ways(entry, false));
    }

    private void ways(Timeline.Entry entry, boolean begins) {
        List<List<Integer>> groups = entry.groups();
        int n = scenario.proxies.count();
        for (int a = 0; a < n; a++) {
            for (int b = 0; b < n; b++) {
                int from = group(groups, a);
                int to = group(groups, b);
                boolean hit =
                        groups.isEmpty()
                                || (from >= 0
                                        && to >= 0
                                        && from != to
                                        && (!entry.oneWay() || from == 0));
                if (a != b && hit) {
                    way(entry, a, b, begins);
                }
            }
        }
        judge.updateReachability(loop.now(), !begins);
    }

    private static int group(List<List<Integer>> groups, int proxy) {
        for (int g = 0; g < groups.size(); g++) {
            if (groups.get(g).contains(proxy)) {
                return g;
            }
        }
        return -1;
    }

    private void way(Timeline.Entry entry, int from, int to, boolean begins) {
        PeerPaths paths = net.paths();
        double amount = begins ? entry.amount() : 0;
        switch (entry.kind()) {
            case "peer-loss" -> paths.loss(from, to, amount);
            case "peer-double" -> paths.twice(from, to, amount);
            case "peer-garble" -> paths.garble(from, to, amount);
            case "peer-delay" -> paths.delay(from, to, (long) (amount * 1e6));
            default -> {
                paths.cut(from, to, begins);
                judge.setPathOpen(from, to, !paths.isCut(from, to));
            }
        }
    }

    /** A process of a proxy is killed, and is not there until it is started again. */
    private void kill(Node node) {
        node.serving = false;
        if (judge != null && node.first) {
            judge.down(node.number, loop.now());
        }
        node.caller.dying(true);
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
        clients.gone(node.number, loop.now() + scenario.clients.notice());
        loop.at(end, () -> back(node));
    }

    private void proxyTerm(Node node, long away) {
        clients.gone(node.number, loop.now() + FRONT_AFTER_TERM);
        if (node.host == null) {
            // A baseline has no process: it is only left out by the front.
            loop.after(away, () -> clients.back(node.number));
            return;
        }
        runInBackground(
                () -> {
                    node.host.term();
                    loop.post(
                            () -> {
                                node.serving = false;
                                if (judge != null && node.first) {
                                    judge.down(node.number, loop.now());
                                }
                                ledger.proxyRestarted(node.number);
                                loop.after(away, () -> back(node));
                            });
                    return null;
                });
    }

    /**
     * A process is ended by a series of signals and killed at the earliest moment that it has to
     * count with; clients go on to use the connections that they have.
     */
    private void proxyRestart(Node node, SignalSeries series, long away) {
        runInBackground(
                () -> {
                    node.host.end(
                            series,
                            killAfterMillis(),
                            () -> loop.post(() -> node.caller.leaves(FRONT_AFTER_TERM)));
                    loop.post(
                            () -> {
                                node.serving = false;
                                ledger.proxyRestarted(node.number);
                                loop.after(away, () -> backAfterRestart(node, series, away));
                            });
                    return null;
                });
    }

    private void backAfterRestart(Node node, SignalSeries series, long away) {
        runInBackground(
                () -> {
                    start(node);
                    loop.post(node.caller::restarted);
                    if (series.againWhenReady()) {
                        proxyRestart(node, SignalSeries.TERM, away);
                    }
                    return null;
                });
    }

    /** The longest deadline, of three seconds at most, and a little more (DEPLOY). */
    private long killAfterMillis() {
        long longest =
                scenario.categories.stream()
                        .mapToLong(Scenario.CategoryPlan::expiry)
                        .max()
                        .orElse(0);
        return Math.min(MAX_DEADLINE_MILLIS, longest / 1_000_000) + KILL_AFTER_DEADLINE_MILLIS;
    }

    private void crowd(Node node, long end, int connections) {
        Crowd crowd = new Crowd(loop, buffer, () -> node.serving ? node.host.address() : null);
        crowd.gather(connections);
        loop.at(end, crowd::disperse);
    }

    private void back(Node node) {
        runInBackground(
                () -> {
                    start(node);
                    loop.post(
                            () -> {
                                node.caller.dying(false);
                                clients.back(node.number);
                            });
                    return null;
                });
    }

    /** The figures that the verdict judges. */
    Map<String, Double> figures() {
        Map<String, Double> f = new TreeMap<>();
        f.put("service", series.service(-1));
        f.put("sent", (double) clients.sent());
        f.put("finished", (double) series.total(Series.Count.FINISHED));
        f.put("deferred", (double) series.total(Series.Count.DEFERRED));
        f.put("written_off", (double) series.total(Series.Count.WRITTEN_OFF));
        f.put("late", (double) series.total(Series.Count.LATE));
        f.put("lost", (double) ledger.count(Ledger.Rule.LOST));
        f.put("twice", (double) ledger.count(Ledger.Rule.TWICE));
        f.put("drains", (double) ledger.count(Ledger.Rule.DRAINS));
        f.put("cold", (double) ledger.count(Ledger.Rule.COLD));
        f.put("p50_ms", series.latency.getValueAtPercentile(50) / 1_000.0);
        f.put("p99_ms", series.latency.getValueAtPercentile(99) / 1_000.0);
        double worst = 1;
        for (int s = 0; s < scenario.length / 1_000_000_000L; s++) {
            worst = Math.min(worst, series.service(s));
        }
        f.put("worst_s", worst);
        f.put("unanswered", (double) ledger.unansweredOfKilledProxies());
        f.put("retried", (double) clients.retried());
        f.put("sends_per_item", ledger.sends() / Math.max(1.0, (double) clients.sent()));
        f.put("behind_ms", loop.late().getValueAtPercentile(99.9) / 1_000.0);
        if (judge != null) {
            judge.figures(loop.now(), f);
            f.put("peer_bytes_s", (double) net.worstSecond());
            f.put("peer_mean_s", net.mean(loop.now()));
            f.put("watch_ms", watcher.worstMs());
        }
        return f;
    }

    Verdict verdict() {
        return new Verdict(
                figures(),
                scenario.bounds,
                scenario.lateLimit / 1e6,
                scenario.knowing == null ? Double.MAX_VALUE : scenario.knowing.watchLimitMs());
    }

    /** What each process of a proxy has logged, over its lives. */
    Map<String, String> logs() {
        return logs;
    }

    /**
     * What proxies knew of one another, held against what was true; null where they know nothing.
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

    /** By how much tasks of the stand-ins ran late, in microseconds. */
    org.HdrHistogram.Histogram late() {
        return loop.late();
    }
}

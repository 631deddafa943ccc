package cottonlock.lab.scale;

import cottonlock.config.InvalidConfigurationException;
import cottonlock.lab.ServeCommand;
import cottonlock.lab.Watcher;
import cottonlock.lab.scale.Samples.What;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/** One scale run: starts the fleet, runs the timeline and ends all processes. */
final class ScaleRun {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** Threads that start real proxies: each start takes half a core for half a second. */
    private static final int STARTER_THREADS = 6;

    /** Milliseconds between two queries whether a change is in force. */
    private static final long POLL_INTERVAL_MILLIS = 100;

    /** Maximum number of membership seeds. */
    private static final int MAX_SEEDS = 8;

    /** Number of membership views that are sampled in each process of simulated proxies. */
    private static final int VIEWS_PER_PROCESS = 5;

    private static final List<String> REPORT_PREFIXES = List.of("second", "late");
    static final String SIMULATED = "hollow";
    static final String REAL = "real";
    static final String CONTROL = "control";

    private final ScaleFile file;
    private final Bounds bounds;
    private final Topology topology;
    private final SplittableRandom random;
    private final Samples samples = new Samples();
    private final List<ScaleEvent> events = new ArrayList<>();
    private final List<ChildProcess> proxyHosts = new CopyOnWriteArrayList<>();
    private final Map<Integer, ChildProcess> hostByProxy = new HashMap<>();
    private final Map<Integer, RealProxy> realProxies = new ConcurrentSkipListMap<>();

    /** By machine number; null while the machine is down. */
    private final ChildProcess[] controlMachines;

    /** The endpoint list: the JSON entry of each proxy's backend, by id. */
    private final Map<String, String> entries = new LinkedHashMap<>();

    private final int[] replacements;
    private final Set<Integer> stoppedProxies = new HashSet<>();

    /** Orders withheld from control machines that are cut off, by machine number. */
    private final Map<Integer, List<String>> withheldOrders = new TreeMap<>();

    private final ExecutorService startExecutor = Executors.newFixedThreadPool(STARTER_THREADS);
    private final Consumer<String> progress;

    /** The last second that each child process has reported, by process name. */
    private final Map<String, Long> lastReportedSecond = new ConcurrentHashMap<>();

    private Path folder;
    private Watcher watcher;
    private long version;
    private long startedAt;
    private volatile long controlLateMicros;
    private volatile boolean ended;

    /** Seconds until all proxies held the list; -1 if they did not in time. */
    double listSettledSeconds = -1;

    /** Seconds until the membership views were complete; -1 if they were not in time. */
    double viewsSettledSeconds = -1;

    /** Smallest share of the running proxies in a sampled view; -1 if not measured. */
    double viewShare = -1;

    /** Size of all list entries joined by commas. */
    long completeListBytes;

    /** Prepares a run; throws, before anything starts, if it would take too much of the machine. */
    ScaleRun(ScaleFile file, Consumer<String> progress) throws InvalidConfigurationException {
        this.file = file;
        this.progress = progress;
        this.bounds = new Bounds(file);
        this.topology = new Topology(file.fleet, file.control.machines());
        this.random = new SplittableRandom(file.seed);
        this.controlMachines = new ChildProcess[file.control.machines()];
        this.replacements = new int[file.fleet.size()];
    }

    ScaleFile file() {
        return file;
    }

    Bounds bounds() {
        return bounds;
    }

    Samples samples() {
        return samples;
    }

    List<ScaleEvent> events() {
        return events;
    }

    Watcher watcher() {
        return watcher;
    }

    double controlLateMs() {
        return controlLateMicros / 1_000.0;
    }

    int roleSize(String role) {
        return role.equals(REAL)
                ? realProxies.size()
                : role.equals(SIMULATED)
                        ? file.fleet.size() - realProxies.size()
                        : controlMachines.length;
    }

    /**
     * Runs the timeline; when this returns or throws, its processes are ended and its files
     * removed.
     */
    void run() throws IOException, InterruptedException {
        try {
            folder = Files.createTempDirectory("cottonlock-scale");
            watcher = new Watcher(ServeCommand.code());
            Thread sampler = new Thread(this::sampleProcesses, "sampler");
            sampler.setDaemon(true);
            sampler.start();
            ScaleEvent start = beginEvent("start");
            buildFleet();
            awaitSettled(start);
            watcher.reset();
            controlLateMicros = 0;
            for (String event : ScaleFile.EVENTS) {
                if (file.events.contains(event)) {
                    runEvent(event);
                }
            }
        } finally {
            stop();
            deleteFolder();
        }
    }

    // Starting the fleet

    private void buildFleet() throws IOException, InterruptedException {
        for (int i = 0; i < file.fleet.size(); i++) {
            entries.put(topology.backend(i, 0), entryJson(i, "active"));
        }
        version = entries.size();
        completeListBytes = String.join(",", entries.values()).length();
        progress.accept("control: " + controlMachines.length + " machines");
        for (int m = 0; m < controlMachines.length; m++) {
            startControlMachine(m);
        }
        for (int m = 0; m < controlMachines.length; m++) {
            openControlAddresses(m, m);
        }
        String operator = null;
        Path operatorFile = folder.resolve("operator.toml");
        List<String> seeds = seedAddresses();
        if (file.membership != null) {
            operator = "[membership]\nenabled = true\n" + file.membershipToml;
            Files.writeString(operatorFile, operator);
        }
        for (int i : topology.real()) {
            String own =
                    operator == null
                            ? null
                            : operator
                                    + "listen = \""
                                    + topology.ip(i)
                                    + ":"
                                    + bounds.port
                                    + "\"\nseeds = [\""
                                    + String.join("\", \"", seeds)
                                    + "\"]\n";
            realProxies.put(
                    i,
                    new RealProxy(
                            i,
                            topology.name(i),
                            folder,
                            topology.ip(i),
                            bounds.port,
                            discoveryAddress(i),
                            file.zoneNames(),
                            own,
                            file.seed + i));
        }
        startProxyHosts(operatorFile, seeds);
        // Before the simulated proxies: while thousands of them join at once, the machine takes
        // minutes to start a process.
        progress.accept("real proxies: " + realProxies.size());
        List<Future<?>> starts = new ArrayList<>();
        for (RealProxy proxy : realProxies.values()) {
            proxy.await(version, topology.backend(proxy.number, 0), true);
            starts.add(
                    startExecutor.submit(
                            () -> {
                                proxy.start();
                                return null;
                            }));
            Thread thread = new Thread(null, proxy::pollUntilEnded, "follow", 256 << 10);
            thread.setDaemon(true);
            thread.start();
        }
        awaitAll(starts);
        startedAt = System.nanoTime();
        progress.accept(
                "simulated proxies: "
                        + hostByProxy.size()
                        + " in "
                        + proxyHosts.size()
                        + " processes");
        for (ChildProcess host : proxyHosts) {
            host.send("start");
            host.flush();
        }
    }

    private static void awaitAll(List<Future<?>> futures) throws IOException, InterruptedException {
        for (Future<?> future : futures) {
            try {
                future.get();
            } catch (java.util.concurrent.ExecutionException e) {
                throw new IOException(e.getCause().getMessage(), e.getCause());
            }
        }
    }

    private void startProxyHosts(Path operatorFile, List<String> seeds) throws IOException {
        List<Integer> simulated = new ArrayList<>();
        for (int i = 0; i < file.fleet.size(); i++) {
            if (!topology.isReal(i)) {
                simulated.add(i);
            }
        }
        for (int h = 0; h < bounds.hosts; h++) {
            List<String> args = new ArrayList<>(List.of(Long.toString(file.seed * 1_000 + h)));
            if (file.membership != null) {
                args.add(operatorFile.toString());
            }
            ChildProcess host =
                    startChild("hollow" + h, bounds.hollowHeapMb, SimulatedProxyHost.class, args);
            proxyHosts.add(host);
            host.send("zones " + String.join(" ", file.zoneNames()));
            if (!topology.real().isEmpty()) {
                host.send(
                        "real "
                                + String.join(
                                        " ", topology.real().stream().map(topology::ip).toList()));
            }
            host.send("seeds " + String.join(" ", seeds));
            for (int k = h; k < simulated.size(); k += bounds.hosts) {
                int i = simulated.get(k);
                host.send(
                        "new "
                                + i
                                + " "
                                + topology.name(i)
                                + " "
                                + topology.ip(i)
                                + ":"
                                + bounds.port
                                + " "
                                + discoveryAddress(i));
                hostByProxy.put(i, host);
            }
            host.flush();
        }
    }

    private ChildProcess startChild(String name, int heapMb, Class<?> main, List<String> args)
            throws IOException {
        synchronized (startExecutor) {
            if (ended) {
                throw new IOException("the scale run was stopped");
            }
            return new ChildProcess(
                    name,
                    folder,
                    heapMb,
                    main,
                    args,
                    REPORT_PREFIXES,
                    words -> {
                        onReport(words);
                        lastReportedSecond.put(name, Long.parseLong(words[1]));
                    });
        }
    }

    private List<String> seedAddresses() {
        List<String> seeds = new ArrayList<>();
        for (int k = 0; k < MAX_SEEDS; k++) {
            // Only simulated proxies are seeds; they all start together, after the real ones.
            int i = k * file.fleet.size() / MAX_SEEDS;
            while (topology.isReal(i) && i < file.fleet.size() - 1) {
                i++;
            }
            String seed = topology.ip(i) + ":" + bounds.port;
            if (!topology.isReal(i) && !seeds.contains(seed)) {
                seeds.add(seed);
            }
        }
        return seeds;
    }

    private String discoveryAddress(int proxy) {
        return topology.controlIp(topology.control(proxy), topology.isReal(proxy))
                + ":"
                + (bounds.port + 2);
    }

    /** Returns the list entry of the backend beside a proxy, as JSON. */
    private String entryJson(int proxy, String health) {
        long born = replacements[proxy] == 0 ? 0 : System.currentTimeMillis();
        return "{\"host\":\""
                + topology.backend(proxy, replacements[proxy])
                + "\",\"dial\":\""
                + topology.ip(proxy)
                + ":"
                + (bounds.port + 2)
                + "\",\"site\":\"z"
                + topology.zone(proxy)
                + "\",\"class\":\"std\",\"block\":"
                + topology.rack(proxy)
                + ",\"health\":\""
                + health
                + "\",\"share\":1.0,\"born_ms\":"
                + born
                + "}";
    }

    private void startControlMachine(int machine) throws IOException {
        ChildProcess process =
                startChild(
                        "control" + machine,
                        bounds.controlHeapMb,
                        ControlStandIn.class,
                        List.of(Double.toString(file.control.callsPerSecond())));
        for (Map.Entry<String, String> entry : entries.entrySet()) {
            process.send("entry " + version + " " + entry.getKey() + " " + entry.getValue());
        }
        process.send("from " + version);
        process.flush();
        controlMachines[machine] = process;
    }

    /**
     * Makes a control machine listen at the addresses of a machine: its own, or those that it takes
     * over.
     */
    private void openControlAddresses(int machine, int addresses)
            throws IOException, InterruptedException {
        for (boolean byReal : new boolean[] {false, true}) {
            controlMachines[machine].send(
                    "open "
                            + (byReal ? REAL : SIMULATED)
                            + " "
                            + topology.controlIp(addresses, byReal)
                            + ":"
                            + (bounds.port + 2));
            controlMachines[machine].flush();
            String answer = controlMachines[machine].readAnswer();
            if (!answer.startsWith("opened")) {
                throw new IOException(answer);
            }
        }
    }

    // Reports of the child processes

    private void onReport(String[] words) {
        long second = Long.parseLong(words[1]);
        if (words[0].equals("late")) {
            controlLateMicros = Math.max(controlLateMicros, Long.parseLong(words[2]));
            return;
        }
        double[] n = new double[words.length - 3];
        for (int i = 0; i < n.length; i++) {
            n[i] = Double.parseDouble(words[i + 3]);
        }
        String role = words[2];
        if (n.length == 5) {
            samples.add(role, second, What.BYTES_IN, n[0]);
            samples.add(role, second, What.BYTES_OUT, n[1]);
            samples.add(role, second, What.MESSAGES_IN, n[2]);
            samples.add(role, second, What.MESSAGES_OUT, n[3]);
            samples.add(role, second, What.WORST_OUT, n[4]);
            return;
        }
        samples.add(role, second, What.BYTES_IN, n[1]);
        samples.add(role, second, What.BYTES_OUT, n[0]);
        samples.add(role, second, What.MESSAGES_IN, n[3]);
        samples.add(role, second, What.MESSAGES_OUT, n[2]);
        samples.add(CONTROL, second, What.BYTES_IN, n[0]);
        samples.add(CONTROL, second, What.BYTES_OUT, n[1]);
        samples.add(CONTROL, second, What.MESSAGES_IN, n[2]);
        samples.add(CONTROL, second, What.MESSAGES_OUT, n[3]);
        samples.add(CONTROL, second, What.CALLS, n[2]);
        samples.add(CONTROL, second, What.WHOLE_LISTS, n[4]);
    }

    private void sampleProcesses() {
        Map<Long, Long> before = new HashMap<>();
        long beforeAt = 0;
        try {
            while (!ended) {
                long now = System.nanoTime();
                Thread.sleep((NANOS_PER_SECOND - now % NANOS_PER_SECOND) / 1_000_000 + 1);
                long at = System.nanoTime();
                long second = at / NANOS_PER_SECOND - 1;
                double span = (at - beforeAt) / 1e9;
                for (Map.Entry<String, List<Long>> role : pids().entrySet()) {
                    for (long pid : role.getValue()) {
                        long ticks = Proc.cpuTicks(pid);
                        Long last = before.put(pid, ticks);
                        if (last != null && ticks >= last) {
                            samples.add(
                                    role.getKey(),
                                    second,
                                    What.CPU,
                                    (ticks - last) / Proc.TICKS_PER_SECOND / span);
                        }
                        samples.add(
                                role.getKey(),
                                second,
                                What.RESIDENT_MB,
                                Math.max(0, Proc.residentMb(pid)));
                    }
                }
                beforeAt = at;
            }
        } catch (InterruptedException e) {
            // The run has ended.
        }
    }

    private Map<String, List<Long>> pids() {
        Map<String, List<Long>> pids = new TreeMap<>();
        pids.put(SIMULATED, proxyHosts.stream().map(ChildProcess::pid).toList());
        pids.put(
                REAL,
                realProxies.values().stream().map(RealProxy::pid).filter(pid -> pid > 0).toList());
        List<Long> machines = new ArrayList<>();
        for (ChildProcess machine : controlMachines) {
            if (machine != null) {
                machines.add(machine.pid());
            }
        }
        pids.put(CONTROL, machines);
        return pids;
    }

    // Queries

    private String[] query(ChildProcess host, String order)
            throws IOException, InterruptedException {
        host.send(order);
        host.flush();
        return host.readAnswer().split(" ");
    }

    /**
     * Waits until all running proxies hold a version, or until the time is over; returns whether
     * they do.
     */
    private boolean awaitVersion(long wanted, long timeoutNanos)
            throws IOException, InterruptedException {
        long until = System.nanoTime() + timeoutNanos;
        while (true) {
            int running = 0;
            int holding = 0;
            for (ChildProcess host : proxyHosts) {
                String[] answer = query(host, "held " + wanted);
                running += Integer.parseInt(answer[2]);
                holding += Integer.parseInt(answer[3]);
            }
            for (RealProxy proxy : realProxies.values()) {
                running += proxy.isAlive() ? 1 : 0;
                holding += proxy.isAlive() && proxy.heldAt(wanted) >= 0 ? 1 : 0;
            }
            if (holding == running) {
                return true;
            }
            if (System.nanoTime() > until) {
                progress.accept("  " + holding + " of " + running + " proxies hold the version");
                return false;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /**
     * Asks all running proxies when a change was in force and records the times.
     *
     * @param cutOff the proxies that were cut off when the change was sent
     */
    private void recordInForce(Change change, Set<Integer> cutOff)
            throws IOException, InterruptedException {
        for (ChildProcess host : proxyHosts) {
            String[] answer = query(host, "times " + change.version);
            for (int i = 2; i < answer.length; i++) {
                int colon = answer[i].indexOf(':');
                int proxy = Integer.parseInt(answer[i].substring(0, colon));
                change.recordInForce(
                        Long.parseLong(answer[i].substring(colon + 1)), cutOff.contains(proxy));
            }
        }
        for (RealProxy proxy : realProxies.values()) {
            if (proxy.isAlive()) {
                change.recordInForce(proxy.heldAt(change.version), cutOff.contains(proxy.number));
            }
        }
    }

    private void awaitSettled(ScaleEvent start) throws IOException, InterruptedException {
        Change first = new Change(version, startedAt);
        start.changes.add(first);
        progress.accept("waiting until all proxies hold the list; entries: " + entries.size());
        boolean all = awaitVersion(version, file.settleTimeoutNanos);
        recordInForce(first, Set.of());
        listSettledSeconds = all ? first.inForceMillis(1) / 1_000 : -1;
        if (file.membership != null) {
            progress.accept("waiting until the membership views are complete");
            long until = startedAt + file.settleTimeoutNanos;
            do {
                viewShare = minViewShare();
                Thread.sleep(10 * POLL_INTERVAL_MILLIS);
            } while (viewShare < 1 && System.nanoTime() < until);
            viewsSettledSeconds = viewShare >= 1 ? (System.nanoTime() - startedAt) / 1e9 : -1;
            progress.accept(
                    String.format(
                            java.util.Locale.ROOT, "  views hold %.3f of the fleet", viewShare));
        }
        finishEvent(start);
    }

    /**
     * Returns the smallest share of the running proxies that any of the sampled views shows as
     * alive.
     */
    private double minViewShare() throws IOException, InterruptedException {
        int least = Integer.MAX_VALUE;
        for (ChildProcess host : proxyHosts) {
            String[] answer = query(host, "views " + VIEWS_PER_PROCESS);
            for (int i = 1; i < answer.length; i++) {
                least = Math.min(least, Integer.parseInt(answer[i]));
            }
        }
        for (RealProxy proxy : realProxies.values()) {
            least = Math.min(least, proxy.isAlive() ? Math.max(0, proxy.aliveMembers()) : least);
        }
        return Math.min(1, least / (double) (file.fleet.size() - stoppedProxies.size()));
    }

    // Events of the timeline

    private ScaleEvent beginEvent(String name) {
        ScaleEvent event = new ScaleEvent(name, System.nanoTime() / NANOS_PER_SECOND);
        events.add(event);
        progress.accept(name);
        return event;
    }

    private void finishEvent(ScaleEvent event) throws InterruptedException, IOException {
        for (ChildProcess host : proxyHosts) {
            if (host.endedUnexpectedly()) {
                throw new IOException(host.name + " ended unexpectedly");
            }
        }
        // Waits for the end of a second, so that counts by second belong to one event only.
        long until = System.nanoTime() + file.quietNanos;
        sleepUntil(
                until
                        + NANOS_PER_SECOND
                        - until % NANOS_PER_SECOND
                        + POLL_INTERVAL_MILLIS * 1_000_000);
        event.toSecond = System.nanoTime() / NANOS_PER_SECOND;
        awaitReports(event.toSecond - 1);
        progress.accept(
                String.format(
                        java.util.Locale.ROOT,
                        "  %s: %d changes, in force at half after %.0f ms, at 99%% after %.0f, at"
                                + " all after %.0f; %d missing",
                        event.name,
                        event.changes.size(),
                        event.worstInForceMillis(0.5),
                        event.worstInForceMillis(0.99),
                        event.worstInForceMillis(1),
                        event.missingCount()));
    }

    /**
     * Waits until all child processes have reported a second, or until the time limit of a change
     * is over: a process that is short of processor time reports late.
     */
    private void awaitReports(long second) throws InterruptedException {
        List<ChildProcess> reporters = new ArrayList<>(proxyHosts);
        for (ChildProcess machine : controlMachines) {
            if (machine != null) {
                reporters.add(machine);
            }
        }
        long until = System.nanoTime() + file.changeTimeoutNanos;
        while (reporters.stream()
                        .anyMatch(c -> lastReportedSecond.getOrDefault(c.name, 0L) < second)
                && System.nanoTime() < until) {
            Thread.sleep(POLL_INTERVAL_MILLIS / 4);
        }
    }

    private void runEvent(String name) throws IOException, InterruptedException {
        ScaleEvent event = beginEvent(name);
        switch (name) {
            case "ordinary" -> runOrdinaryDay(event);
            case "rack" -> runOutage(event, proxiesWhere(i -> topology.rack(i) == 1), Set.of());
            case "zone" -> {
                Set<Integer> machines = new HashSet<>();
                for (int m = 0; m < controlMachines.length; m++) {
                    if (topology.controlZone(m) == file.fleet.zones() - 1) {
                        machines.add(m);
                    }
                }
                runOutage(
                        event,
                        proxiesWhere(i -> topology.zone(i) == file.fleet.zones() - 1),
                        machines);
            }
            case "regions" -> runRegionPartition(event);
            case "control_killed" -> runControlKilled(event);
            default -> runControlRestarted(event);
        }
        finishEvent(event);
    }

    private Set<Integer> proxiesWhere(java.util.function.IntPredicate condition) {
        Set<Integer> matching = new HashSet<>();
        for (int i = 0; i < file.fleet.size(); i++) {
            if (condition.test(i)) {
                matching.add(i);
            }
        }
        return matching;
    }

    /**
     * Sends changed entries to the control machines; those whose health is {@code left} are removed
     * from the list.
     */
    private Change applyChange(Map<String, String> changed) throws IOException {
        version++;
        Change change = new Change(version, System.nanoTime());
        List<String> orders = new ArrayList<>();
        changed.forEach(
                (id, json) -> {
                    orders.add("entry " + version + " " + id + " " + json);
                    if (json.contains("\"health\":\"left\"")) {
                        entries.remove(id);
                    } else {
                        entries.put(id, json);
                    }
                });
        orders.add("push");
        for (int m = 0; m < controlMachines.length; m++) {
            if (withheldOrders.containsKey(m)) {
                withheldOrders.get(m).addAll(orders);
            } else if (controlMachines[m] != null) {
                sendOrders(controlMachines[m], orders);
            }
        }
        return change;
    }

    private static void sendOrders(ChildProcess machine, List<String> orders) throws IOException {
        for (String order : orders) {
            machine.send(order);
        }
        machine.flush();
    }

    /**
     * Replaces the backend beside a proxy: the old one leaves the list in the same change in which
     * the new one joins it.
     */
    private Change replaceBackend(ScaleEvent event, int proxy) throws IOException {
        Map<String, String> changed = new LinkedHashMap<>();
        String old = topology.backend(proxy, replacements[proxy]);
        changed.put(old, entryJson(proxy, "left"));
        replacements[proxy]++;
        String id = topology.backend(proxy, replacements[proxy]);
        changed.put(id, entryJson(proxy, "active"));
        realProxies.values().forEach(running -> running.await(version + 1, id, true));
        Change change = applyChange(changed);
        event.changes.add(change);
        return change;
    }

    private int randomRunningProxy() {
        int proxy = random.nextInt(file.fleet.size());
        while (stoppedProxies.contains(proxy)) {
            proxy = random.nextInt(file.fleet.size());
        }
        return proxy;
    }

    /**
     * Runs a part of an ordinary day: list changes, planned restarts, failures, and one
     * configuration reload of the real proxies.
     */
    private void runOrdinaryDay(ScaleEvent event) throws IOException, InterruptedException {
        List<Integer> actions = new ArrayList<>();
        int changes = file.day.playedCount(file.day.changes());
        int restarts = file.day.playedCount(file.day.restarts());
        int failures = file.day.playedCount(file.day.failures());
        for (int k = 0; k < changes + restarts + failures; k++) {
            actions.add(
                    random.nextInt(actions.size() + 1),
                    k < changes ? 0 : k < changes + restarts ? 1 : 2);
        }
        ConfigurationChannel files = realProxies.isEmpty() ? null : new ReloadChannel(realProxies);
        long from = System.nanoTime();
        List<Future<?>> pendingStarts = new ArrayList<>();
        for (int k = 0; k < actions.size(); k++) {
            sleepUntil(from + file.day.durationNanos() * k / actions.size());
            if (actions.get(k) == 0) {
                replaceBackend(event, randomRunningProxy());
            } else {
                int proxy = randomRunningProxy();
                stoppedProxies.add(proxy);
                stopProxy(proxy, actions.get(k) == 1);
                replaceBackend(event, proxy);
                startProxy(proxy, pendingStarts);
                stoppedProxies.remove(proxy);
            }
            if (files != null && k == actions.size() / 2) {
                files.send(1);
            }
        }
        sleepUntil(from + file.day.durationNanos());
        awaitAll(pendingStarts);
        awaitVersion(version, file.changeTimeoutNanos);
        recordAllInForce(event, Set.of());
        event.figures.put("changes", (double) changes);
        event.figures.put("restarts", (double) restarts);
        event.figures.put("failures", (double) failures);
        event.figures.put("seconds", file.day.durationNanos() / 1e9);
        if (files != null) {
            Change reload = new Change(1, ((ReloadChannel) files).sentAt());
            files.inForceAt(1).values().forEach(at -> reload.recordInForce(at, false));
            event.figures.put("reload_in_force_ms_all", reload.inForceMillis(1));
        }
    }

    private static void sleepUntil(long at) throws InterruptedException {
        Thread.sleep(Math.max(0, (at - System.nanoTime()) / 1_000_000));
    }

    private void recordAllInForce(ScaleEvent event, Set<Integer> cutOff)
            throws IOException, InterruptedException {
        for (Change change : event.changes) {
            recordInForce(change, cutOff);
        }
    }

    private void stopProxy(int proxy, boolean planned) throws IOException, InterruptedException {
        if (topology.isReal(proxy)) {
            if (planned) {
                realProxies.get(proxy).terminate();
            } else {
                realProxies.get(proxy).kill();
            }
        } else {
            hostByProxy.get(proxy).send("kill " + proxy);
            hostByProxy.get(proxy).flush();
        }
    }

    private void startProxy(int proxy, List<Future<?>> starts) throws IOException {
        if (topology.isReal(proxy)) {
            starts.add(
                    startExecutor.submit(
                            () -> {
                                realProxies.get(proxy).start();
                                return null;
                            }));
        } else {
            hostByProxy.get(proxy).send("start " + proxy);
            hostByProxy.get(proxy).flush();
        }
    }

    /**
     * Stops proxies, their backends and control machines together, and starts them together after
     * the outage.
     */
    private void runOutage(ScaleEvent event, Set<Integer> proxies, Set<Integer> machines)
            throws IOException, InterruptedException {
        event.figures.put("proxies", (double) proxies.size());
        stoppedProxies.addAll(proxies);
        for (int m : machines) {
            controlMachines[m].kill();
            controlMachines[m] = null;
        }
        for (int proxy : proxies) {
            stopProxy(proxy, false);
        }
        Change removal = changeEntries(proxies, "left");
        event.changes.add(removal);
        awaitVersion(version, file.changeTimeoutNanos);
        recordInForce(removal, Set.of());
        sleepUntil(removal.sentAt + file.outageNanos);
        for (int m : machines) {
            startControlMachine(m);
            openControlAddresses(m, m);
        }
        List<Future<?>> starts = new ArrayList<>();
        for (int proxy : proxies) {
            replacements[proxy]++;
            startProxy(proxy, starts);
        }
        Change restoration = changeEntries(proxies, "active");
        stoppedProxies.removeAll(proxies);
        awaitAll(starts);
        awaitVersion(version, file.changeTimeoutNanos);
        recordInForce(restoration, Set.of());
        event.changes.add(restoration);
        event.figures.put("gone_in_force_ms_all", removal.inForceMillis(1));
        event.figures.put("back_in_force_ms_all", restoration.inForceMillis(1));
    }

    private Change changeEntries(Set<Integer> proxies, String health) throws IOException {
        Map<String, String> changed = new LinkedHashMap<>();
        String first = null;
        for (int proxy : new java.util.TreeSet<>(proxies)) {
            String id = topology.backend(proxy, replacements[proxy]);
            changed.put(id, entryJson(proxy, health));
            first = first == null ? id : first;
        }
        if (first != null) {
            for (RealProxy proxy : realProxies.values()) {
                proxy.await(version + 1, first, health.equals("active"));
            }
        }
        return applyChange(changed);
    }

    /**
     * Cuts the regions off from one another. A change made in the first region reaches the others
     * once the partition has healed.
     */
    private void runRegionPartition(ScaleEvent event) throws IOException, InterruptedException {
        List<StringBuilder> groups = new ArrayList<>();
        for (int z = 0; z < file.fleet.zones(); z++) {
            int region = topology.region(z);
            if (groups.size() <= region) {
                groups.add(new StringBuilder());
            }
            groups.get(region).append(groups.get(region).length() == 0 ? "" : ",").append(z);
        }
        sendPartition("cut " + String.join(" ", groups));
        for (int m = 0; m < controlMachines.length; m++) {
            if (topology.controlRegion(m) != 0) {
                withheldOrders.put(m, new ArrayList<>());
            }
        }
        Change duringPartition = replaceBackend(event, randomRunningProxy());
        sleepUntil(duringPartition.sentAt + file.outageNanos);
        sendPartition("cut");
        duringPartition.reachableAt = System.nanoTime();
        for (Map.Entry<Integer, List<String>> withheld : withheldOrders.entrySet()) {
            sendOrders(controlMachines[withheld.getKey()], withheld.getValue());
        }
        withheldOrders.clear();
        Change afterHealing = replaceBackend(event, randomRunningProxy());
        awaitVersion(version, file.changeTimeoutNanos);
        recordInForce(
                duringPartition,
                proxiesWhere(i -> topology.controlRegion(topology.control(i)) != 0));
        recordInForce(afterHealing, Set.of());
        event.figures.put("through_cut", (double) duringPartition.earlyCount);
        event.figures.put("apart_s", file.outageNanos / 1e9);
    }

    private void sendPartition(String order) throws IOException {
        for (ChildProcess host : proxyHosts) {
            host.send(order);
            host.flush();
        }
    }

    /**
     * Kills a third of the control machines; others take over their addresses after the takeover
     * time.
     */
    private void runControlKilled(ScaleEvent event) throws IOException, InterruptedException {
        List<Integer> killed = new ArrayList<>();
        for (int m = 0;
                m < controlMachines.length
                        && killed.size() < Math.max(1, controlMachines.length / 3);
                m += 3) {
            controlMachines[m].kill();
            controlMachines[m] = null;
            killed.add(m);
        }
        event.figures.put("machines", (double) killed.size());
        Change duringOutage = replaceBackend(event, randomRunningProxy());
        sleepUntil(duringOutage.sentAt + file.control.takeoverNanos());
        for (int m : killed) {
            int by = m;
            while (controlMachines[by] == null) {
                by = (by + 1) % controlMachines.length;
            }
            openControlAddresses(by, m);
        }
        Change afterTakeover = replaceBackend(event, randomRunningProxy());
        awaitVersion(version, file.changeTimeoutNanos);
        recordInForce(duringOutage, Set.of());
        recordInForce(afterTakeover, Set.of());
        // The killed machines stay down until all control machines are restarted.
        event.figures.put("takeover_s", file.control.takeoverNanos() / 1e9);
    }

    /** Ends all control machines at once and starts them again without any history of changes. */
    private void runControlRestarted(ScaleEvent event) throws IOException, InterruptedException {
        for (int m = 0; m < controlMachines.length; m++) {
            if (controlMachines[m] != null) {
                controlMachines[m].kill();
                controlMachines[m] = null;
            }
        }
        long ended = System.nanoTime();
        sleepUntil(ended + file.control.takeoverNanos());
        for (int m = 0; m < controlMachines.length; m++) {
            startControlMachine(m);
        }
        // No proxy holds this change, and the machines have no history, so each proxy gets the
        // complete list.
        Change change = replaceBackend(event, randomRunningProxy());
        for (int m = 0; m < controlMachines.length; m++) {
            sendOrders(controlMachines[m], List.of("from " + version));
            openControlAddresses(m, m);
        }
        awaitVersion(version, file.changeTimeoutNanos);
        recordInForce(change, Set.of());
        event.figures.put("down_s", (change.sentAt - ended) / 1e9);
    }

    // Ending the run

    /**
     * Ends all processes at once; the event that is running fails then. May be called from any
     * thread.
     */
    void stop() {
        synchronized (startExecutor) {
            ended = true;
        }
        startExecutor.shutdownNow();
        realProxies.values().forEach(RealProxy::destroy);
        List.copyOf(proxyHosts).forEach(ChildProcess::destroy);
        for (ChildProcess machine : controlMachines) {
            if (machine != null) {
                machine.destroy();
            }
        }
        if (watcher != null) {
            watcher.end();
        }
    }

    private void deleteFolder() {
        if (folder == null) {
            return;
        }
        try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException | java.io.UncheckedIOException e) {
            // Files that remain are in the temporary folder of the system.
        }
    }
}

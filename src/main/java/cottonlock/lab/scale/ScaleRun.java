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

/** One scale run: builds the fleet, plays the timeline, and ends all. */
final class ScaleRun {
    private static final long SECOND = 1_000_000_000L;

    /** Threads that start and end real proxies: each start takes half a core for half a second. */
    private static final int STARTERS = 6;

    /** Milliseconds between two questions whether a change is in force. */
    private static final long BETWEEN = 100;

    /** Addresses at which the others may be found, at most. */
    private static final int SEEDS = 8;

    /** Views of each process that are looked at. */
    private static final int VIEWS = 5;

    private static final List<String> NEWS = List.of("second", "late");
    static final String HOLLOW = "hollow";
    static final String REAL = "real";
    static final String CONTROL = "control";

    private final ScaleFile file;
    private final Bounds bounds;
    private final Topology topology;
    private final SplittableRandom chance;
    private final Samples samples = new Samples();
    private final List<ScaleEvent> events = new ArrayList<>();
    private final List<Child> hosts = new CopyOnWriteArrayList<>();
    private final Map<Integer, Child> hostOf = new HashMap<>();
    private final Map<Integer, RealHost> real = new ConcurrentSkipListMap<>();

    /** By number; null while it is dead. */
    private final Child[] control;

    /** The list: each proxy's backend, by id. */
    private final Map<String, String> entries = new LinkedHashMap<>();

    private final int[] replaced;
    private final Set<Integer> dead = new HashSet<>();

    /** Machines of control whose changes are kept back, and the orders that wait for them. */
    private final Map<Integer, List<String>> keptBack = new TreeMap<>();

    private final ExecutorService starters = Executors.newFixedThreadPool(STARTERS);
    private final Consumer<String> progress;

    /** The last second of which each process has told what it counted. */
    private final Map<String, Long> toldUpTo = new ConcurrentHashMap<>();

    private Path folder;
    private Watcher watcher;
    private long version;
    private long begun;
    private volatile long controlLate;
    private volatile boolean ended;

    /** Seconds until all held the list, and until views agreed as far as they did. */
    double listSettled = -1;

    double viewsSettled = -1;
    double viewsShare = -1;
    long wholeBytes;

    /** Builds it; throws, before anything starts, what it would take too much of. */
    ScaleRun(ScaleFile file, Consumer<String> progress) throws InvalidConfigurationException {
        this.file = file;
        this.progress = progress;
        this.bounds = new Bounds(file);
        this.topology = new Topology(file.fleet, file.control.machines());
        this.chance = new SplittableRandom(file.seed);
        this.control = new Child[file.control.machines()];
        this.replaced = new int[file.fleet.size()];
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
        return controlLate / 1_000.0;
    }

    int count(String role) {
        return role.equals(REAL)
                ? real.size()
                : role.equals(HOLLOW) ? file.fleet.size() - real.size() : control.length;
    }

    /** Plays it; when this returns or throws, nothing of it is left. */
    void play() throws IOException, InterruptedException {
        try {
            folder = Files.createTempDirectory("cottonlock-scale");
            watcher = new Watcher(ServeCommand.code());
            Thread sampler = new Thread(this::sample, "sampler");
            sampler.setDaemon(true);
            sampler.start();
            ScaleEvent start = begin("start");
            build();
            settle(start);
            watcher.reset();
            controlLate = 0;
            for (String event : ScaleFile.EVENTS) {
                if (file.events.contains(event)) {
                    play(event);
                }
            }
        } finally {
            end();
            remove();
        }
    }

    // How it is built

    private void build() throws IOException, InterruptedException {
        for (int i = 0; i < file.fleet.size(); i++) {
            entries.put(topology.backend(i, 0), entry(i, "active"));
        }
        version = entries.size();
        wholeBytes = String.join(",", entries.values()).length();
        progress.accept("control: " + control.length + " machines");
        for (int m = 0; m < control.length; m++) {
            startControl(m);
        }
        for (int m = 0; m < control.length; m++) {
            open(m, m);
        }
        String operator = null;
        Path operatorFile = folder.resolve("operator.toml");
        List<String> seeds = seeds();
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
            real.put(
                    i,
                    new RealHost(
                            i,
                            topology.name(i),
                            folder,
                            topology.ip(i),
                            bounds.port,
                            discovery(i),
                            file.zoneNames(),
                            own,
                            file.seed + i));
        }
        buildHosts(operatorFile, seeds);
        // First, for a machine on which thousands join at once takes minutes to start a process.
        progress.accept("real proxies: " + real.size());
        List<Future<?>> starts = new ArrayList<>();
        for (RealHost host : real.values()) {
            host.await(version, topology.backend(host.number, 0), true);
            starts.add(
                    starters.submit(
                            () -> {
                                host.start();
                                return null;
                            }));
            Thread thread = new Thread(null, host::follow, "follow", 256 << 10);
            thread.setDaemon(true);
            thread.start();
        }
        await(starts);
        begun = System.nanoTime();
        progress.accept("hollow proxies: " + hostOf.size() + " in " + hosts.size() + " processes");
        for (Child host : hosts) {
            host.tell("start");
            host.flush();
        }
    }

    private static void await(List<Future<?>> futures) throws IOException, InterruptedException {
        for (Future<?> future : futures) {
            try {
                future.get();
            } catch (java.util.concurrent.ExecutionException e) {
                throw new IOException(e.getCause().getMessage(), e.getCause());
            }
        }
    }

    private void buildHosts(Path operatorFile, List<String> seeds) throws IOException {
        List<Integer> hollow = new ArrayList<>();
        for (int i = 0; i < file.fleet.size(); i++) {
            if (!topology.isReal(i)) {
                hollow.add(i);
            }
        }
        for (int h = 0; h < bounds.hosts; h++) {
            List<String> args = new ArrayList<>(List.of(Long.toString(file.seed * 1_000 + h)));
            if (file.membership != null) {
                args.add(operatorFile.toString());
            }
            Child host = child("hollow" + h, bounds.hollowHeapMb, HollowHost.class, args);
            hosts.add(host);
            host.tell("zones " + String.join(" ", file.zoneNames()));
            if (!topology.real().isEmpty()) {
                host.tell(
                        "real "
                                + String.join(
                                        " ", topology.real().stream().map(topology::ip).toList()));
            }
            host.tell("seeds " + String.join(" ", seeds));
            for (int k = h; k < hollow.size(); k += bounds.hosts) {
                int i = hollow.get(k);
                host.tell(
                        "new "
                                + i
                                + " "
                                + topology.name(i)
                                + " "
                                + topology.ip(i)
                                + ":"
                                + bounds.port
                                + " "
                                + discovery(i));
                hostOf.put(i, host);
            }
            host.flush();
        }
    }

    private Child child(String name, int heapMb, Class<?> main, List<String> args)
            throws IOException {
        synchronized (starters) {
            if (ended) {
                throw new IOException("ended early");
            }
            return new Child(
                    name,
                    folder,
                    heapMb,
                    main,
                    args,
                    NEWS,
                    words -> {
                        news(words);
                        toldUpTo.put(name, Long.parseLong(words[1]));
                    });
        }
    }

    private List<String> seeds() {
        List<String> seeds = new ArrayList<>();
        for (int k = 0; k < SEEDS; k++) {
            // Of hollow ones alone: their sockets are there before any process serves.
            int i = k * file.fleet.size() / SEEDS;
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

    private String discovery(int proxy) {
        return topology.controlIp(topology.control(proxy), topology.isReal(proxy))
                + ":"
                + (bounds.port + 2);
    }

    /** One line of the list: the backend beside a proxy. */
    private String entry(int proxy, String health) {
        long born = replaced[proxy] == 0 ? 0 : System.currentTimeMillis();
        return "{\"host\":\""
                + topology.backend(proxy, replaced[proxy])
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

    private void startControl(int machine) throws IOException {
        Child process =
                child(
                        "control" + machine,
                        bounds.controlHeapMb,
                        ControlStandIn.class,
                        List.of(Double.toString(file.control.calls())));
        for (Map.Entry<String, String> entry : entries.entrySet()) {
            process.tell("entry " + version + " " + entry.getKey() + " " + entry.getValue());
        }
        process.tell("from " + version);
        process.flush();
        control[machine] = process;
    }

    /** A machine listens at the addresses of one, its own or those that it takes over. */
    private void open(int machine, int addresses) throws IOException, InterruptedException {
        for (boolean byReal : new boolean[] {false, true}) {
            control[machine].tell(
                    "open "
                            + (byReal ? REAL : HOLLOW)
                            + " "
                            + topology.controlIp(addresses, byReal)
                            + ":"
                            + (bounds.port + 2));
            control[machine].flush();
            String answer = control[machine].answer();
            if (!answer.startsWith("opened")) {
                throw new IOException(answer);
            }
        }
    }

    // What it is told

    private void news(String[] words) {
        long second = Long.parseLong(words[1]);
        if (words[0].equals("late")) {
            controlLate = Math.max(controlLate, Long.parseLong(words[2]));
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

    private void sample() {
        Map<Long, Long> before = new HashMap<>();
        long beforeAt = 0;
        try {
            while (!ended) {
                long now = System.nanoTime();
                Thread.sleep((SECOND - now % SECOND) / 1_000_000 + 1);
                long at = System.nanoTime();
                long second = at / SECOND - 1;
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
            // The run is over.
        }
    }

    private Map<String, List<Long>> pids() {
        Map<String, List<Long>> pids = new TreeMap<>();
        pids.put(HOLLOW, hosts.stream().map(Child::pid).toList());
        pids.put(REAL, real.values().stream().map(RealHost::pid).filter(pid -> pid > 0).toList());
        List<Long> machines = new ArrayList<>();
        for (Child machine : control) {
            if (machine != null) {
                machines.add(machine.pid());
            }
        }
        pids.put(CONTROL, machines);
        return pids;
    }

    // What is asked

    private String[] ask(Child host, String order) throws IOException, InterruptedException {
        host.tell(order);
        host.flush();
        return host.answer().split(" ");
    }

    /**
     * Waits until all that live hold a version, if that is within the time; returns whether they
     * do.
     */
    private boolean awaitHeld(long wanted, long patience) throws IOException, InterruptedException {
        long until = System.nanoTime() + patience;
        while (true) {
            int living = 0;
            int held = 0;
            for (Child host : hosts) {
                String[] answer = ask(host, "held " + wanted);
                living += Integer.parseInt(answer[2]);
                held += Integer.parseInt(answer[3]);
            }
            for (RealHost host : real.values()) {
                living += host.lives() ? 1 : 0;
                held += host.lives() && host.heldAt(wanted) >= 0 ? 1 : 0;
            }
            if (held == living) {
                return true;
            }
            if (System.nanoTime() > until) {
                progress.accept("  " + held + " of " + living + " hold it");
                return false;
            }
            Thread.sleep(BETWEEN);
        }
    }

    /**
     * Asks everybody when a change was in force; whom: those that count, and those that were late.
     */
    private void measure(Change change, Set<Integer> late)
            throws IOException, InterruptedException {
        for (Child host : hosts) {
            String[] answer = ask(host, "times " + change.version);
            for (int i = 2; i < answer.length; i++) {
                int colon = answer[i].indexOf(':');
                int proxy = Integer.parseInt(answer[i].substring(0, colon));
                change.inForce(
                        Long.parseLong(answer[i].substring(colon + 1)), late.contains(proxy));
            }
        }
        for (RealHost host : real.values()) {
            if (host.lives()) {
                change.inForce(host.heldAt(change.version), late.contains(host.number));
            }
        }
    }

    private void settle(ScaleEvent start) throws IOException, InterruptedException {
        Change first = new Change(version, begun);
        start.changes.add(first);
        progress.accept("until all hold the list of " + entries.size());
        boolean all = awaitHeld(version, file.settle);
        measure(first, Set.of());
        listSettled = all ? first.ms(1) / 1_000 : -1;
        if (file.membership != null) {
            progress.accept("until views agree");
            long until = begun + file.settle;
            do {
                viewsShare = viewsShare();
                Thread.sleep(10 * BETWEEN);
            } while (viewsShare < 1 && System.nanoTime() < until);
            viewsSettled = viewsShare >= 1 ? (System.nanoTime() - begun) / 1e9 : -1;
            progress.accept(
                    String.format(
                            java.util.Locale.ROOT, "  views hold %.3f of the fleet", viewsShare));
        }
        finish(start);
    }

    /** The smallest part of the living that any of the views looked at holds. */
    private double viewsShare() throws IOException, InterruptedException {
        int least = Integer.MAX_VALUE;
        for (Child host : hosts) {
            String[] answer = ask(host, "views " + VIEWS);
            for (int i = 1; i < answer.length; i++) {
                least = Math.min(least, Integer.parseInt(answer[i]));
            }
        }
        for (RealHost host : real.values()) {
            least = Math.min(least, host.lives() ? Math.max(0, host.alive()) : least);
        }
        return Math.min(1, least / (double) (file.fleet.size() - dead.size()));
    }

    // What is played

    private ScaleEvent begin(String name) {
        ScaleEvent event = new ScaleEvent(name, System.nanoTime() / SECOND);
        events.add(event);
        progress.accept(name);
        return event;
    }

    private void finish(ScaleEvent event) throws InterruptedException, IOException {
        for (Child host : hosts) {
            if (host.failed()) {
                throw new IOException(host.name + " has ended");
            }
        }
        // To the end of a second: what is counted by seconds is then of one event alone.
        long until = System.nanoTime() + file.quiet;
        sleepUntil(until + SECOND - until % SECOND + BETWEEN * 1_000_000);
        event.to = System.nanoTime() / SECOND;
        awaitTold(event.to - 1);
        progress.accept(
                String.format(
                        java.util.Locale.ROOT,
                        "  %s: %d changes, in force at half after %.0f ms, at 99%% after %.0f, at"
                                + " all after %.0f; %d missing",
                        event.name,
                        event.changes.size(),
                        event.worstMs(0.5),
                        event.worstMs(0.99),
                        event.worstMs(1),
                        event.missing()));
    }

    /** A process that is short of its core tells late what it has counted. */
    private void awaitTold(long second) throws InterruptedException {
        List<Child> tellers = new ArrayList<>(hosts);
        for (Child machine : control) {
            if (machine != null) {
                tellers.add(machine);
            }
        }
        long until = System.nanoTime() + file.patience;
        while (tellers.stream().anyMatch(c -> toldUpTo.getOrDefault(c.name, 0L) < second)
                && System.nanoTime() < until) {
            Thread.sleep(BETWEEN / 4);
        }
    }

    private void play(String name) throws IOException, InterruptedException {
        ScaleEvent event = begin(name);
        switch (name) {
            case "ordinary" -> ordinary(event);
            case "rack" -> lose(event, lost(i -> topology.rack(i) == 1), Set.of());
            case "zone" -> {
                Set<Integer> machines = new HashSet<>();
                for (int m = 0; m < control.length; m++) {
                    if (topology.controlZone(m) == file.fleet.zones() - 1) {
                        machines.add(m);
                    }
                }
                lose(event, lost(i -> topology.zone(i) == file.fleet.zones() - 1), machines);
            }
            case "regions" -> regions(event);
            case "control_killed" -> controlKilled(event);
            default -> controlRestarted(event);
        }
        finish(event);
    }

    private Set<Integer> lost(java.util.function.IntPredicate which) {
        Set<Integer> lost = new HashSet<>();
        for (int i = 0; i < file.fleet.size(); i++) {
            if (which.test(i)) {
                lost.add(i);
            }
        }
        return lost;
    }

    /** Tells control that entries are others now; what left is in there too. */
    private Change change(Map<String, String> changed) throws IOException {
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
        for (int m = 0; m < control.length; m++) {
            if (keptBack.containsKey(m)) {
                keptBack.get(m).addAll(orders);
            } else if (control[m] != null) {
                tell(control[m], orders);
            }
        }
        return change;
    }

    private static void tell(Child machine, List<String> orders) throws IOException {
        for (String order : orders) {
            machine.tell(order);
        }
        machine.flush();
    }

    /** A backend is replaced by another: the old one leaves the list as the new one comes. */
    private Change replace(ScaleEvent event, int proxy) throws IOException {
        Map<String, String> changed = new LinkedHashMap<>();
        String old = topology.backend(proxy, replaced[proxy]);
        changed.put(old, entry(proxy, "left"));
        replaced[proxy]++;
        String id = topology.backend(proxy, replaced[proxy]);
        changed.put(id, entry(proxy, "active"));
        real.values().forEach(host -> host.await(version + 1, id, true));
        Change change = change(changed);
        event.changes.add(change);
        return change;
    }

    private int draw() {
        int proxy = chance.nextInt(file.fleet.size());
        while (dead.contains(proxy)) {
            proxy = chance.nextInt(file.fleet.size());
        }
        return proxy;
    }

    /**
     * Part of a day: changes of the list, restarts, failures, and one change of the files of real
     * ones.
     */
    private void ordinary(ScaleEvent event) throws IOException, InterruptedException {
        List<Integer> acts = new ArrayList<>();
        int changes = file.day.played(file.day.changes());
        int restarts = file.day.played(file.day.restarts());
        int failures = file.day.played(file.day.failures());
        for (int k = 0; k < changes + restarts + failures; k++) {
            acts.add(
                    chance.nextInt(acts.size() + 1),
                    k < changes ? 0 : k < changes + restarts ? 1 : 2);
        }
        ConfigurationChannel files = real.isEmpty() ? null : new ReloadChannel(real);
        long from = System.nanoTime();
        List<Future<?>> back = new ArrayList<>();
        for (int k = 0; k < acts.size(); k++) {
            sleepUntil(from + file.day.over() * k / acts.size());
            if (acts.get(k) == 0) {
                replace(event, draw());
            } else {
                int proxy = draw();
                dead.add(proxy);
                stop(proxy, acts.get(k) == 1);
                replace(event, proxy);
                start(proxy, back);
                dead.remove(proxy);
            }
            if (files != null && k == acts.size() / 2) {
                files.send(1);
            }
        }
        sleepUntil(from + file.day.over());
        await(back);
        awaitHeld(version, file.patience);
        measureAll(event, Set.of());
        event.figures.put("changes", (double) changes);
        event.figures.put("restarts", (double) restarts);
        event.figures.put("failures", (double) failures);
        event.figures.put("seconds", file.day.over() / 1e9);
        if (files != null) {
            Change taken = new Change(1, ((ReloadChannel) files).sentAt());
            files.inForceAt(1).values().forEach(at -> taken.inForce(at, false));
            event.figures.put("reload_in_force_ms_all", taken.ms(1));
        }
    }

    private static void sleepUntil(long at) throws InterruptedException {
        Thread.sleep(Math.max(0, (at - System.nanoTime()) / 1_000_000));
    }

    private void measureAll(ScaleEvent event, Set<Integer> late)
            throws IOException, InterruptedException {
        for (Change change : event.changes) {
            measure(change, late);
        }
    }

    private void stop(int proxy, boolean planned) throws IOException, InterruptedException {
        if (topology.isReal(proxy)) {
            if (planned) {
                real.get(proxy).term();
            } else {
                real.get(proxy).kill();
            }
        } else {
            hostOf.get(proxy).tell("kill " + proxy);
            hostOf.get(proxy).flush();
        }
    }

    private void start(int proxy, List<Future<?>> starts) throws IOException {
        if (topology.isReal(proxy)) {
            starts.add(
                    starters.submit(
                            () -> {
                                real.get(proxy).start();
                                return null;
                            }));
        } else {
            hostOf.get(proxy).tell("start " + proxy);
            hostOf.get(proxy).flush();
        }
    }

    /**
     * Proxies, their backends and machines of control are lost together, and come back together.
     */
    private void lose(ScaleEvent event, Set<Integer> proxies, Set<Integer> machines)
            throws IOException, InterruptedException {
        event.figures.put("proxies", (double) proxies.size());
        dead.addAll(proxies);
        for (int m : machines) {
            control[m].kill();
            control[m] = null;
        }
        for (int proxy : proxies) {
            stop(proxy, false);
        }
        Change gone = batch(proxies, "left");
        event.changes.add(gone);
        awaitHeld(version, file.patience);
        measure(gone, Set.of());
        sleepUntil(gone.at + file.lost);
        for (int m : machines) {
            startControl(m);
            open(m, m);
        }
        List<Future<?>> starts = new ArrayList<>();
        for (int proxy : proxies) {
            replaced[proxy]++;
            start(proxy, starts);
        }
        Change back = batch(proxies, "active");
        dead.removeAll(proxies);
        await(starts);
        awaitHeld(version, file.patience);
        measure(back, Set.of());
        event.changes.add(back);
        event.figures.put("gone_in_force_ms_all", gone.ms(1));
        event.figures.put("back_in_force_ms_all", back.ms(1));
    }

    private Change batch(Set<Integer> proxies, String health) throws IOException {
        Map<String, String> changed = new LinkedHashMap<>();
        String first = null;
        for (int proxy : new java.util.TreeSet<>(proxies)) {
            String id = topology.backend(proxy, replaced[proxy]);
            changed.put(id, entry(proxy, health));
            first = first == null ? id : first;
        }
        if (first != null) {
            for (RealHost host : real.values()) {
                host.await(version + 1, first, health.equals("active"));
            }
        }
        return change(changed);
    }

    /**
     * The regions do not reach one another; a change made in the first comes to the others when
     * healed.
     */
    private void regions(ScaleEvent event) throws IOException, InterruptedException {
        List<StringBuilder> groups = new ArrayList<>();
        for (int z = 0; z < file.fleet.zones(); z++) {
            int region = topology.region(z);
            if (groups.size() <= region) {
                groups.add(new StringBuilder());
            }
            groups.get(region).append(groups.get(region).length() == 0 ? "" : ",").append(z);
        }
        cut("cut " + String.join(" ", groups));
        for (int m = 0; m < control.length; m++) {
            if (topology.controlRegion(m) != 0) {
                keptBack.put(m, new ArrayList<>());
            }
        }
        Change apart = replace(event, draw());
        sleepUntil(apart.at + file.lost);
        cut("cut");
        apart.reachableAt = System.nanoTime();
        for (Map.Entry<Integer, List<String>> one : keptBack.entrySet()) {
            tell(control[one.getKey()], one.getValue());
        }
        keptBack.clear();
        Change healed = replace(event, draw());
        awaitHeld(version, file.patience);
        measure(apart, lost(i -> topology.controlRegion(topology.control(i)) != 0));
        measure(healed, Set.of());
        event.figures.put("through_cut", (double) apart.early);
        event.figures.put("apart_s", file.lost / 1e9);
    }

    private void cut(String order) throws IOException {
        for (Child host : hosts) {
            host.tell(order);
            host.flush();
        }
    }

    /**
     * A third of the machines of control are killed; others take over their addresses after a
     * while.
     */
    private void controlKilled(ScaleEvent event) throws IOException, InterruptedException {
        List<Integer> killed = new ArrayList<>();
        for (int m = 0;
                m < control.length && killed.size() < Math.max(1, control.length / 3);
                m += 3) {
            control[m].kill();
            control[m] = null;
            killed.add(m);
        }
        event.figures.put("machines", (double) killed.size());
        Change while0 = replace(event, draw());
        sleepUntil(while0.at + file.control.takeover());
        for (int m : killed) {
            int by = m;
            while (control[by] == null) {
                by = (by + 1) % control.length;
            }
            open(by, m);
        }
        Change after = replace(event, draw());
        awaitHeld(version, file.patience);
        measure(while0, Set.of());
        measure(after, Set.of());
        // The dead machines come back with no address: they are told from the next restart of all
        // on.
        event.figures.put("takeover_s", file.control.takeover() / 1e9);
    }

    /** All machines of control end at once, and begin anew: none knows what changed before. */
    private void controlRestarted(ScaleEvent event) throws IOException, InterruptedException {
        for (int m = 0; m < control.length; m++) {
            if (control[m] != null) {
                control[m].kill();
                control[m] = null;
            }
        }
        long ended = System.nanoTime();
        sleepUntil(ended + file.control.takeover());
        for (int m = 0; m < control.length; m++) {
            startControl(m);
        }
        // What changed meanwhile is known to none of the proxies, so each is told the whole list.
        Change change = replace(event, draw());
        for (int m = 0; m < control.length; m++) {
            tell(control[m], List.of("from " + version));
            open(m, m);
        }
        awaitHeld(version, file.patience);
        measure(change, Set.of());
        event.figures.put("down_s", (change.at - ended) / 1e9);
    }

    // How it ends

    /** From any thread: ends all processes at once, and what is played fails then. */
    void end() {
        synchronized (starters) {
            ended = true;
        }
        starters.shutdownNow();
        real.values().forEach(RealHost::end);
        List.copyOf(hosts).forEach(Child::end);
        for (Child machine : control) {
            if (machine != null) {
                machine.end();
            }
        }
        if (watcher != null) {
            watcher.end();
        }
    }

    private void remove() {
        if (folder == null) {
            return;
        }
        try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException | java.io.UncheckedIOException e) {
            // What is left of it lies in the system's folder for such files.
        }
    }
}

package cottonlock.lab;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A simulated backend: a listener for each proxy, a model of its capacity, and calls to the next
 * tier through a proxy of its own.
 */
final class Backend implements Connection.Owner {
    private static final byte[] EMPTY_BODY = new byte[0];

    /**
     * The state of the backend's process. An overloaded one crashed while it was cold, and stays
     * down unless a later crash fault hits it and restarts it at its end.
     */
    enum ProcessState {
        UP,
        DOWN,
        OVERLOADED
    }

    /** One request, from its first byte to its response. */
    private static final class Job {
        final Connection conn;
        final long firstByte;
        String id;
        String key;
        String tenant;
        Scenario.CategoryPlan category;
        double work;
        long deadline;
        int callsLeft;
        EventLoop.Timer timer;

        Job(Connection conn, long firstByte) {
            this.conn = conn;
            this.firstByte = firstByte;
        }
    }

    /**
     * The state of a connection: the parser of its requests, and the request that awaits its
     * response.
     */
    private static final class ConnectionState {
        final HttpMessageParser parser = new HttpMessageParser();
        long firstByte = -1;
        Job job;
    }

    /** The idempotency keys that the backends of one scope remember together. */
    static final class SeenKeys {
        private final Map<String, Long> expiryByKey = new HashMap<>();

        /** Returns true if the key wasn't seen within the window, and remembers it. */
        boolean addIfNew(String key, long now, long window) {
            Long knownUntil = expiryByKey.get(key);
            if (knownUntil != null && now < knownUntil) {
                return false;
            }
            expiryByKey.put(key, now + window);
            return true;
        }
    }

    final String id;
    final String zone;
    final NetworkPath path;
    final List<Listener> listeners = new ArrayList<>();
    private final int tier;
    private final EventLoop loop;
    private final Ledger ledger;
    private final Series series;
    private final BackendModel<Job> model;
    private final Scenario.Tier plan;
    private final Map<String, Scenario.CategoryPlan> categories;
    private final Map<String, SeenKeys> seenKeys;
    private final SplittableRandom random;
    private final String sabotage;
    private final Map<Connection, ConnectionState> connections = new HashMap<>();
    private final Set<Job> running = new HashSet<>();

    /** The client of the proxy to the next tier; null in the last tier. */
    ProxyClient nextTier;

    /** Called when the process ends, so that the backend's own proxy ends with it. */
    Runnable onProcessEnd = () -> {};

    ProcessState processState = ProcessState.UP;

    /** When the process last started, by the loop's clock; 0 if it started before the run. */
    long startedAt;

    double errorProbability;
    boolean paused;
    private final List<Runnable> deferredTasks = new ArrayList<>();
    private int callCount;

    Backend(
            String id,
            int tier,
            String zone,
            EventLoop loop,
            Ledger ledger,
            Series series,
            Scenario.Tier plan,
            Scenario.Rules rules,
            Map<String, Scenario.CategoryPlan> categories,
            Map<String, SeenKeys> seenKeys,
            SplittableRandom random,
            String sabotage) {
        this.id = id;
        this.tier = tier;
        this.zone = zone;
        this.loop = loop;
        this.ledger = ledger;
        this.series = series;
        this.plan = plan;
        this.categories = categories;
        this.seenKeys = seenKeys;
        this.random = random;
        this.sabotage = sabotage;
        this.path = new NetworkPath(random.split());
        this.model =
                new BackendModel<>(
                        plan.cores(),
                        plan.speed(),
                        plan.queue(),
                        rules.coldShare(),
                        rules.cold(),
                        rules.fallMultiple(),
                        rules.fall());
    }

    /** Opens a listener for a proxy, before the run begins. */
    Listener addListener(ByteBuffer buffer, int proxy) throws IOException {
        Listener listener = new Listener(loop, buffer, this, path, proxy, this);
        listeners.add(listener);
        return listener;
    }

    void setSlowdown(double factor) {
        model.slowdown = factor;
    }

    /**
     * Pauses or resumes the process, as in a long garbage collection: its sockets stay open, but
     * nothing is read or answered.
     */
    void setPaused(boolean value) {
        paused = value;
        if (!value) {
            List<Runnable> tasks = List.copyOf(deferredTasks);
            deferredTasks.clear();
            tasks.forEach(Runnable::run);
        }
    }

    /**
     * Ends the process: open connections are reset, new ones are refused, and jobs in progress are
     * lost.
     */
    void endProcess(boolean overloaded) {
        processState = overloaded ? ProcessState.OVERLOADED : ProcessState.DOWN;
        running.forEach(
                job -> {
                    if (job.timer != null) {
                        job.timer.cancel();
                    }
                });
        running.clear();
        deferredTasks.clear();
        paused = false;
        for (Listener listener : listeners) {
            listener.stopListening();
            listener.resetConnections();
        }
        connections.clear();
        model.start(loop.now());
        onProcessEnd.run();
    }

    /** Starts a new, cold process at the same address. */
    void restart() throws IOException {
        processState = ProcessState.UP;
        startedAt = loop.now();
        model.start(startedAt);
        for (Listener listener : listeners) {
            if (path.cut) {
                listener.blackhole();
            } else {
                listener.startListening();
            }
        }
    }

    /**
     * Cuts the network to the backend silently, or restores it: connections opened before are then
     * reset.
     */
    void setCutOff(boolean off) throws IOException {
        path.cut = off;
        if (processState != ProcessState.UP) {
            return;
        }
        for (Listener listener : listeners) {
            if (off) {
                listener.blackhole();
            } else {
                listener.resetConnections();
                listener.startListening();
            }
        }
    }

    @Override
    public void onConnected(Connection conn) {
        if (connections.size() >= plan.connections()) {
            conn.reset();
            return;
        }
        connections.put(conn, new ConnectionState());
    }

    @Override
    public void onBytes(Connection conn, byte[] bytes, int length) {
        ConnectionState state = connections.get(conn);
        if (state == null) {
            return;
        }
        if (paused) {
            byte[] copy = Arrays.copyOf(bytes, length);
            long at = conn.receivedAt;
            deferredTasks.add(
                    () -> {
                        conn.receivedAt = at;
                        onBytes(conn, copy, copy.length);
                    });
            return;
        }
        if (state.firstByte < 0) {
            // The time at which the bytes left the proxy: delays by this stand-in or its network
            // aren't the proxy's doing.
            state.firstByte = conn.receivedAt;
        }
        state.parser.add(bytes, length);
        try {
            HttpMessageParser.Message message = state.parser.next();
            if (message != null) {
                Job job = new Job(conn, state.firstByte);
                state.firstByte = -1;
                state.job = job;
                handleRequest(job, message);
            }
        } catch (HttpMessageParser.MalformedMessageException e) {
            conn.reset();
        }
    }

    private void handleRequest(Job job, HttpMessageParser.Message message) {
        long now = loop.now();
        job.id = message.field("x-request-id");
        job.key = message.field("idempotency-key");
        job.tenant = message.field("x-tenant-id");
        String target = message.startLine().get(1);
        int workParameter = target.indexOf("?w=");
        job.category =
                workParameter < 0 ? null : categories.get(target.substring(1, workParameter));
        if (job.id == null || job.category == null) {
            // A proxy that forwards requests unchanged never sends this.
            sendResponse(job, 404, null, EMPTY_BODY);
            return;
        }
        job.work = 1_000.0 * Long.parseLong(target.substring(workParameter + 3));
        String timeout = message.field("x-timeout-ms");
        job.deadline = now + 1_000_000L * (timeout == null ? 60_000 : Long.parseLong(timeout));
        job.callsLeft = plan.calls();
        series.received(id, now);
        int proxy = ((Listener) job.conn.attachment).proxy;
        ledger.received(job.firstByte, now, job.id, id, proxy);
        if (sabotage.equals("resend") && random.nextInt(20) == 0) {
            // Simulates a proxy that sends the request twice, here and to another backend.
            ledger.received(job.firstByte, now, job.id, id, proxy);
            ledger.effect(now, job.id, job.category.repeat(), "elsewhere");
        }
        if (model.isOverloadedCold(now, job.work)) {
            ledger.coldBackendOverloaded(now, id);
            endProcess(true);
            return;
        }
        switch (model.admit(job)) {
            case STARTED -> startJob(job);
            case QUEUED -> {}
            default -> {
                series.refused(id, now);
                sendResponse(job, 503, "X-Not-Processed", EMPTY_BODY);
            }
        }
    }

    private void startJob(Job job) {
        long now = loop.now();
        running.add(job);
        if (now >= job.deadline) {
            // The deadline has passed: the job hasn't started, so it has had no effect.
            job.timer =
                    loop.after(
                            0,
                            () -> {
                                sendResponse(job, 503, "X-Not-Processed", EMPTY_BODY);
                                releaseCore(job);
                            });
            return;
        }
        boolean firstTime =
                !job.category.repeat().equals("keyed")
                        || seenKeys.computeIfAbsent(
                                        job.category.scope().equals("room") ? zone : "",
                                        scope -> new SeenKeys())
                                .addIfNew(tier + " " + job.key, now, job.category.window());
        if (firstTime) {
            ledger.effect(now, job.id, job.category.repeat(), zone);
        }
        long workNanos = firstTime ? model.serviceNanos(now, job.work) : 0;
        job.timer = loop.after(workNanos, () -> onWorkDone(job));
    }

    private void onWorkDone(Job job) {
        if (paused) {
            deferredTasks.add(() -> onWorkDone(job));
            return;
        }
        // The core is free while the next tier processes the calls.
        if (job.callsLeft > 0 && nextTier != null) {
            startQueuedJob();
            callNextTier(job);
        } else {
            boolean fails = errorProbability > 0 && random.nextDouble() < errorProbability;
            respond(job, fails ? 500 : 200);
            releaseCore(job);
        }
    }

    private void callNextTier(Job job) {
        long remaining = job.deadline - loop.now();
        if (remaining <= 1_000_000 || processState != ProcessState.UP) {
            respond(job, 500);
            running.remove(job);
            return;
        }
        String callId =
                id
                        + "-"
                        + Long.toString(++callCount, 36)
                        + "-"
                        + Long.toString(random.nextLong() >>> 32, 36);
        String callKey = job.key + "/" + job.callsLeft;
        job.callsLeft--;
        nextTier.send(
                new ProxyClient.Request(
                        callId,
                        job.key == null ? callId : callKey,
                        callKey,
                        job.category,
                        job.tenant,
                        remaining,
                        false,
                        job.work),
                true,
                -1,
                result -> {
                    if (!running.contains(job)) {
                        return;
                    }
                    if (result.outcome() != ProxyClient.Outcome.COMPLETED) {
                        respond(job, 500);
                        running.remove(job);
                    } else if (job.callsLeft > 0) {
                        callNextTier(job);
                    } else {
                        respond(job, 200);
                        running.remove(job);
                    }
                });
    }

    private void respond(Job job, int status) {
        if (status == 200) {
            byte[] body =
                    (job.id + " " + job.category.name()).getBytes(StandardCharsets.ISO_8859_1);
            ledger.responseProduced(job.id, Arrays.hashCode(body));
            series.done(id, loop.now());
            sendResponse(job, 200, null, body);
        } else {
            sendResponse(job, status, null, EMPTY_BODY);
        }
    }

    private void releaseCore(Job job) {
        if (running.remove(job)) {
            startQueuedJob();
        }
    }

    private void startQueuedJob() {
        Job waiting = model.onCoreFree();
        while (waiting != null && waiting.conn.isClosed()) {
            waiting = model.onCoreFree();
        }
        if (waiting != null) {
            startJob(waiting);
        }
    }

    private void sendResponse(Job job, int status, String name, byte[] body) {
        ConnectionState state = connections.get(job.conn);
        if (state == null || state.job != job) {
            return;
        }
        state.job = null;
        String value = name == null ? null : "1";
        if (plan.reports() && name == null) {
            name = "X-Server-Load";
            value =
                    "inflight="
                            + (model.busy() + model.queued())
                            + ",queue="
                            + model.queued()
                            + ",util="
                            + Math.round(100.0 * model.busy() / model.cores()) / 100.0;
        }
        job.conn.writeResponse(HttpMessageParser.encodeResponse(status, name, value, body));
    }

    @Override
    public void onClosed(Connection conn, boolean byReset) {
        ((Listener) conn.attachment).connections.remove(conn);
        ConnectionState state = connections.remove(conn);
        if (state != null && state.job != null && model.removeQueued(state.job)) {
            state.job = null;
        }
    }

    boolean isUp() {
        return processState == ProcessState.UP;
    }
}

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
 * The stand-in of one backend: a door for each proxy, a model of what it can do, and calls to the
 * next tier through a proxy of its own.
 */
final class Backend implements Conn.Owner {
    private static final byte[] NOTHING = new byte[0];

    /** Its life as a process. */
    enum Life {
        UP,
        DOWN,
        FALLEN
    }

    /** One request from its first byte to its answer. */
    private static final class Job {
        final Conn conn;
        final long firstByte;
        String id;
        String key;
        String tenant;
        Scenario.CategoryPlan category;
        double work;
        long until;
        int callsLeft;
        Loop.Timer timer;

        Job(Conn conn, long firstByte) {
            this.conn = conn;
            this.firstByte = firstByte;
        }
    }

    /**
     * What a connection holds: what has come of a message, and the request that waits for its
     * answer.
     */
    private static final class State {
        final HttpIn in = new HttpIn();
        long firstByte = -1;
        Job job;
    }

    /** The marks of repeats that the backends of one group remember together. */
    static final class Marks {
        private final Map<String, Long> until = new HashMap<>();

        /** True the first time within the window. */
        boolean isNew(String key, long now, long window) {
            Long known = until.get(key);
            if (known != null && now < known) {
                return false;
            }
            until.put(key, now + window);
            return true;
        }
    }

    final String id;
    final String room;
    final Path path;
    final List<Door> doors = new ArrayList<>();
    private final int tier;
    private final Loop loop;
    private final Ledger ledger;
    private final Series series;
    private final BackendModel<Job> model;
    private final Scenario.Tier plan;
    private final Map<String, Scenario.CategoryPlan> categories;
    private final Map<String, Marks> marks;
    private final SplittableRandom random;
    private final String sabotage;
    private final Map<Conn, State> conns = new HashMap<>();
    private final Set<Job> running = new HashSet<>();

    /** How it reaches the next tier; null in the last. */
    Caller next;

    /** Told when it falls or is killed, so that its own proxy goes with it. */
    Runnable died = () -> {};

    Life life = Life.UP;

    /** When it last started, on the loop's clock; 0 for long ago. */
    long startedAt;

    double errors;
    boolean paused;
    private final List<Runnable> held = new ArrayList<>();
    private int calls;

    Backend(
            String id,
            int tier,
            String room,
            Loop loop,
            Ledger ledger,
            Series series,
            Scenario.Tier plan,
            Scenario.Rules rules,
            Map<String, Scenario.CategoryPlan> categories,
            Map<String, Marks> marks,
            SplittableRandom random,
            String sabotage) {
        this.id = id;
        this.tier = tier;
        this.room = room;
        this.loop = loop;
        this.ledger = ledger;
        this.series = series;
        this.plan = plan;
        this.categories = categories;
        this.marks = marks;
        this.random = random;
        this.sabotage = sabotage;
        this.path = new Path(random.split());
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

    /** A door for a proxy, before the run begins. */
    Door door(ByteBuffer buffer, int proxy) throws IOException {
        Door door = new Door(loop, buffer, this, path, proxy, this);
        doors.add(door);
        return door;
    }

    void slow(double factor) {
        model.slow = factor;
    }

    /**
     * The process stands still, as in a long collection: its sockets stay, nothing is read or
     * answered.
     */
    void pause(boolean stands) {
        paused = stands;
        if (!stands) {
            List<Runnable> tasks = List.copyOf(held);
            held.clear();
            tasks.forEach(Runnable::run);
        }
    }

    /** The process dies: its connections are reset, new ones refused, and what it did is gone. */
    void die(boolean fell) {
        life = fell ? Life.FALLEN : Life.DOWN;
        running.forEach(
                job -> {
                    if (job.timer != null) {
                        job.timer.cancel();
                    }
                });
        running.clear();
        held.clear();
        paused = false;
        for (Door door : doors) {
            door.shut();
            door.resetAll();
        }
        conns.clear();
        model.start(loop.now());
        died.run();
    }

    /** A new process at the same address, cold. */
    void restart() throws IOException {
        life = Life.UP;
        startedAt = loop.now();
        model.start(startedAt);
        for (Door door : doors) {
            if (path.cut) {
                door.wallUp();
            } else {
                door.open();
            }
        }
    }

    /** The network to it is cut silently, or comes back: then what was open is reset. */
    void cut(boolean off) throws IOException {
        path.cut = off;
        if (life != Life.UP) {
            return;
        }
        for (Door door : doors) {
            if (off) {
                door.wallUp();
            } else {
                door.resetAll();
                door.open();
            }
        }
    }

    @Override
    public void up(Conn conn) {
        if (conns.size() >= plan.connections()) {
            conn.reset();
            return;
        }
        conns.put(conn, new State());
    }

    @Override
    public void came(Conn conn, byte[] bytes, int length) {
        State state = conns.get(conn);
        if (state == null) {
            return;
        }
        if (paused) {
            byte[] copy = Arrays.copyOf(bytes, length);
            long at = conn.cameAt;
            held.add(
                    () -> {
                        conn.cameAt = at;
                        came(conn, copy, copy.length);
                    });
            return;
        }
        if (state.firstByte < 0) {
            // When it left the proxy: what this stand-in or its network holds back is not the
            // proxy's doing.
            state.firstByte = conn.cameAt;
        }
        state.in.add(bytes, length);
        try {
            HttpIn.Message message = state.in.next();
            if (message != null) {
                Job job = new Job(conn, state.firstByte);
                state.firstByte = -1;
                state.job = job;
                request(job, message);
            }
        } catch (HttpIn.Unreadable e) {
            conn.reset();
        }
    }

    private void request(Job job, HttpIn.Message message) {
        long now = loop.now();
        job.id = message.field("x-request-id");
        job.key = message.field("idempotency-key");
        job.tenant = message.field("x-tenant-id");
        String target = message.start().get(1);
        int mark = target.indexOf("?w=");
        job.category = mark < 0 ? null : categories.get(target.substring(1, mark));
        if (job.id == null || job.category == null) {
            // No proxy that passes on what it was given sends this.
            answer(job, 404, null, NOTHING);
            return;
        }
        job.work = 1_000.0 * Long.parseLong(target.substring(mark + 3));
        String patience = message.field("x-timeout-ms");
        job.until = now + 1_000_000L * (patience == null ? 60_000 : Long.parseLong(patience));
        job.callsLeft = plan.calls();
        series.received(id, now);
        int proxy = ((Door) job.conn.of).proxy;
        ledger.received(job.firstByte, now, job.id, id, proxy);
        if (sabotage.equals("resend") && random.nextInt(20) == 0) {
            // As if the proxy had sent it twice: here and, by a doubt, to somebody else.
            ledger.received(job.firstByte, now, job.id, id, proxy);
            ledger.effect(now, job.id, job.category.repeat(), "elsewhere");
        }
        if (model.pushedOver(now, job.work)) {
            ledger.coldBackendOverloaded(now, id);
            die(true);
            return;
        }
        switch (model.take(job)) {
            case BEGINS -> begin(job);
            case WAITS -> {}
            default -> {
                series.refused(id, now);
                answer(job, 503, "X-Not-Processed", NOTHING);
            }
        }
    }

    private void begin(Job job) {
        long now = loop.now();
        running.add(job);
        if (now >= job.until) {
            // Nobody waits for it any more: not begun, it has had no effect.
            job.timer =
                    loop.after(
                            0,
                            () -> {
                                answer(job, 503, "X-Not-Processed", NOTHING);
                                over(job);
                            });
            return;
        }
        boolean fresh =
                !job.category.repeat().equals("keyed")
                        || marks.computeIfAbsent(
                                        job.category.scope().equals("room") ? room : "",
                                        r -> new Marks())
                                .isNew(tier + " " + job.key, now, job.category.window());
        if (fresh) {
            ledger.effect(now, job.id, job.category.repeat(), room);
        }
        long takes = fresh ? model.time(now, job.work) : 0;
        job.timer = loop.after(takes, () -> worked(job));
    }

    private void worked(Job job) {
        if (paused) {
            held.add(() -> worked(job));
            return;
        }
        // The core is free while the next tier works.
        if (job.callsLeft > 0 && next != null) {
            freeCore();
            call(job);
        } else {
            boolean fails = errors > 0 && random.nextDouble() < errors;
            finish(job, fails ? 500 : 200);
            over(job);
        }
    }

    private void call(Job job) {
        long left = job.until - loop.now();
        if (left <= 1_000_000 || life != Life.UP) {
            finish(job, 500);
            running.remove(job);
            return;
        }
        String inner =
                id
                        + "-"
                        + Long.toString(++calls, 36)
                        + "-"
                        + Long.toString(random.nextLong() >>> 32, 36);
        String chain = job.key + "/" + job.callsLeft;
        job.callsLeft--;
        next.send(
                new Caller.Request(
                        inner,
                        job.key == null ? inner : chain,
                        chain,
                        job.category,
                        job.tenant,
                        left,
                        false,
                        job.work),
                true,
                -1,
                result -> {
                    if (!running.contains(job)) {
                        return;
                    }
                    if (result.end() != Caller.End.FINISHED) {
                        finish(job, 500);
                        running.remove(job);
                    } else if (job.callsLeft > 0) {
                        call(job);
                    } else {
                        finish(job, 200);
                        running.remove(job);
                    }
                });
    }

    private void finish(Job job, int status) {
        if (status == 200) {
            byte[] body =
                    (job.id + " " + job.category.name()).getBytes(StandardCharsets.ISO_8859_1);
            ledger.responseProduced(job.id, Arrays.hashCode(body));
            series.done(id, loop.now());
            answer(job, 200, null, body);
        } else {
            answer(job, status, null, NOTHING);
        }
    }

    private void over(Job job) {
        if (running.remove(job)) {
            freeCore();
        }
    }

    private void freeCore() {
        Job waiting = model.next();
        while (waiting != null && waiting.conn.isOver()) {
            waiting = model.next();
        }
        if (waiting != null) {
            begin(waiting);
        }
    }

    private void answer(Job job, int status, String name, byte[] body) {
        State state = conns.get(job.conn);
        if (state == null || state.job != job) {
            return;
        }
        state.job = null;
        String value = name == null ? null : "1";
        if (plan.reports() && name == null) {
            name = "X-Server-Load";
            value =
                    "inflight="
                            + (model.busy() + model.waiting())
                            + ",queue="
                            + model.waiting()
                            + ",util="
                            + Math.round(100.0 * model.busy() / model.cores()) / 100.0;
        }
        job.conn.answer(HttpIn.answer(status, name, value, body));
    }

    @Override
    public void ended(Conn conn, boolean byReset) {
        ((Door) conn.of).conns.remove(conn);
        State state = conns.remove(conn);
        if (state != null && state.job != null && model.drop(state.job)) {
            state.job = null;
        }
    }

    /** Whether its process runs. */
    boolean isUp() {
        return life == Life.UP;
    }
}

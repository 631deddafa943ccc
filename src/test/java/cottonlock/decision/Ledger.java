package cottonlock.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.decision.admission.AdmissionController;
import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.Endpoint;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.RejectionReason;
import cottonlock.decision.api.RequestClass;
import cottonlock.decision.api.RequestClass.DeduplicationScope;
import cottonlock.decision.api.RequestClass.Idempotency;
import cottonlock.decision.api.SlowStartConfig;
import cottonlock.decision.api.Tenant;
import cottonlock.decision.backend.BackendRegistry;
import cottonlock.decision.retry.AttemptTracker;
import cottonlock.decision.routing.BackendPicker;
import cottonlock.decision.routing.LaneSelector;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongPredicate;

/**
 * Keeps its own account of what a balancer does, and fails at once where one of the four rules is
 * broken.
 */
final class Ledger implements LoadBalancerActions {
    static final long SLACK = 200;
    static final long COLD = 80_000;
    static final long FALL = 30_000;
    static final double COLD_SHARE = 0.3;
    static final double FALL_MULTIPLE = 2.5;
    static final int MOST = 4;

    /** A request as the ledger knows it. */
    static final class Item {
        final RequestClass category;
        final long expiry;
        final List<Sent> sent = new ArrayList<>();
        boolean answered;
        boolean deferred;

        Item(RequestClass category, long expiry) {
            this.category = category;
            this.expiry = expiry;
        }
    }

    /** An attempt as the ledger knows it. */
    static final class Sent {
        final Endpoint to;
        final long at;
        boolean out = true;
        boolean recalled;
        boolean mayHaveRun = true;

        Sent(Endpoint to, long at) {
            this.to = to;
            this.at = at;
        }
    }

    final List<RequestClass> categories;
    final Map<Long, Item> items = new LinkedHashMap<>();
    final Map<String, Endpoint> listed = new LinkedHashMap<>();
    final Map<String, List<Long>> sends = new LinkedHashMap<>();

    /** By tenant, the backends that requests were first handed to. */
    final Map<Integer, List<String>> firstSent = new LinkedHashMap<>();

    final List<String> told = new ArrayList<>();

    /** Why requests were deferred. */
    final Map<RejectionReason, Integer> ends = new EnumMap<>(RejectionReason.class);

    final List<String> released = new ArrayList<>();
    final List<Long> wakes = new ArrayList<>();
    final LoadBalancer balancer;
    final BackendRegistry fleet;
    long now;
    int asked;
    private double busiest;
    private long nextId = 1;

    Ledger(
            List<RequestClass> categories,
            List<Tenant> tenants,
            long seed,
            boolean first,
            boolean mustAsk) {
        this(categories, tenants, seed, first, mustAsk, true);
    }

    Ledger(
            List<RequestClass> categories,
            List<Tenant> tenants,
            long seed,
            boolean first,
            boolean mustAsk,
            boolean mayRecall) {
        this(categories, tenants, seed, first, mustAsk, mayRecall, 2);
    }

    Ledger(
            List<RequestClass> categories,
            List<Tenant> tenants,
            long seed,
            boolean first,
            boolean mustAsk,
            boolean mayRecall,
            int balancers) {
        this(
                categories,
                tenants,
                seed,
                first,
                mayRecall,
                new DeploymentTopology(balancers, 0, true, 0, true, mustAsk, 100_000, true, 0));
    }

    Ledger(
            List<RequestClass> categories,
            List<Tenant> tenants,
            long seed,
            boolean first,
            boolean mayRecall,
            DeploymentTopology shape) {
        this.categories = categories;
        SplittableRandom random = new SplittableRandom(seed);
        SlowStartConfig cold = new SlowStartConfig(COLD_SHARE, COLD, FALL_MULTIPLE, FALL);
        fleet = new BackendRegistry(this, random.split(), tenants, shape, cold);
        AdmissionController line =
                new AdmissionController(fleet, random.split(), tenants, shape, first);
        balancer =
                new LoadBalancer(
                        this,
                        new RequestIntake(this, categories, tenants, first, shape, 10_000),
                        line,
                        new LaneSelector(line, fleet),
                        new BackendPicker(fleet, random.split()),
                        new AttemptTracker(this, line, fleet, MOST, mayRecall),
                        fleet);
        balancer.start(now);
    }

    static RequestClass category(int number, Idempotency repeat, DeduplicationScope scope) {
        return new RequestClass(number, 10_000, 1, 0, repeat, scope, 15_000);
    }

    static Endpoint ready(int n) {
        return new Endpoint("b" + n, n % 3, n % 2, n / 2, Endpoint.State.READY, 1, 0);
    }

    static List<Endpoint> ready(int from, int to) {
        List<Endpoint> members = new ArrayList<>();
        for (int n = from; n < to; n++) {
            members.add(ready(n));
        }
        return members;
    }

    void list(List<Endpoint> members, boolean whole, boolean cached) {
        if (whole) {
            listed.replaceAll(
                    (id, m) ->
                            new Endpoint(
                                    id,
                                    m.zone(),
                                    m.machineKind(),
                                    m.cell(),
                                    Endpoint.State.GONE,
                                    m.capacityWeight(),
                                    m.startedAtTicks()));
        }
        for (Endpoint m : members) {
            listed.put(m.id(), m);
        }
        balancer.onEndpointList(now, members, whole, cached);
        check();
    }

    long arrive(int category, int tenant, long patience) {
        return arrive(category, tenant, patience, 0);
    }

    long arrive(int category, int tenant, long patience, long hint) {
        long id = nextId++;
        items.put(id, new Item(categories.get(category), now + patience));
        balancer.onRequest(now, id, category, tenant, patience, id % 5 == 0, hint);
        if (items.get(id).sent.size() > 0) {
            firstSent
                    .computeIfAbsent(tenant, t -> new ArrayList<>())
                    .add(items.get(id).sent.get(0).to.id());
        }
        check();
        return id;
    }

    void settle(long id, int number, AttemptOutcome outcome) {
        Item item = items.get(id);
        Sent sent = item.sent.get(number);
        sent.out = false;
        sent.mayHaveRun = !outcome.neverExecuted();
        boolean over = item.answered || outcome == AttemptOutcome.COMPLETED;
        item.answered = over;
        balancer.onAttemptCompleted(now, id, number, outcome, over);
        check();
    }

    void left(long id) {
        items.get(id).answered = true;
        balancer.onClientDisconnected(now, id);
        check();
    }

    /**
     * Finishes what has been out for so long, in order of coming, so many at most; counts by
     * category.
     */
    int[] finish(long age, int most, LongPredicate ids) {
        int[] finished = new int[categories.size()];
        int left = most;
        for (long id : List.copyOf(items.keySet())) {
            Item item = items.get(id);
            int last = item.sent.size() - 1;
            if (left > 0
                    && last >= 0
                    && item.sent.get(last).out
                    && now - item.sent.get(last).at >= age
                    && ids.test(id)) {
                left--;
                finished[item.category.number()]++;
                settle(id, last, AttemptOutcome.COMPLETED);
            }
        }
        return finished;
    }

    /** Lets time pass in steps; timers fire, and attempts still out at an expiry time out. */
    void pass(long time) {
        for (long end = now + time; now < end; ) {
            now = Math.min(end, now + 50);
            for (long id : List.copyOf(items.keySet())) {
                Item item = items.get(id);
                for (int n = 0; item != null && n < item.sent.size(); n++) {
                    if (item.sent.get(n).out && (now >= item.expiry || item.sent.get(n).recalled)) {
                        settle(
                                id,
                                n,
                                now >= item.expiry
                                        ? AttemptOutcome.TIMED_OUT
                                        : AttemptOutcome.CANCELLED);
                    }
                }
            }
            if (wakes.removeIf(at -> at <= now)) {
                balancer.onTimer(now);
            }
            check();
        }
    }

    /** The first rule: no request is without its answer after its expiry. */
    private void check() {
        items.forEach(
                (id, item) ->
                        assertTrue(
                                item.answered || now <= item.expiry + SLACK,
                                () -> "request " + id + " is lost"));
        items.values().removeIf(item -> item.answered && item.sent.stream().noneMatch(s -> s.out));
    }

    private Item open(long req, String act) {
        Item item = items.get(req);
        assertNotNull(item, () -> act + " of request " + req + " after its end");
        assertFalse(item.answered, () -> act + " of request " + req + " after its final answer");
        return item;
    }

    @Override
    public void startAttempt(long req, String backend, long sendBy) {
        Item item = open(req, "attempt");
        assertTrue(
                now < sendBy && sendBy <= item.expiry,
                "may be written until " + sendBy + " at " + now);
        Endpoint to = listed.get(backend);
        assertNotNull(to, "attempt to a backend that no list has named");
        assertEquals(Endpoint.State.READY, to.state(), "attempt to a backend that leaves");
        assertTrue(item.sent.size() < MOST, "too many attempts");
        assertTrue(item.sent.stream().noneMatch(s -> s.out), "two attempts out at once");
        item.sent.stream()
                .filter(s -> s.mayHaveRun)
                .findFirst()
                .ifPresent(
                        ran -> {
                            assertTrue(
                                    item.category.idempotency() != Idempotency.NOT_IDEMPOTENT,
                                    "an unsafe request sent twice");
                            if (item.category.idempotency() == Idempotency.WITH_KEY) {
                                assertTrue(
                                        sendBy < ran.at + item.category.deduplicationWindowTicks(),
                                        "a key too old to be known");
                                assertTrue(
                                        switch (item.category.deduplicationScope()) {
                                            case ALL -> true;
                                            case ZONE -> to.zone() == ran.to.zone();
                                            case CELL -> to.cell() == ran.to.cell();
                                        },
                                        "a key not known there");
                            }
                        });
        item.sent.add(new Sent(to, now));
        sends.computeIfAbsent(backend, b -> new ArrayList<>()).add(now);
        checkCold(to);
    }

    /**
     * The fourth rule, as this balancer's part: in proportion no more than a warm backend was ever
     * sent.
     */
    private void checkCold(Endpoint to) {
        long age = now - to.startedAtTicks();
        double size = to.capacityWeight() > 0 ? to.capacityWeight() : 1;
        if (to.startedAtTicks() == 0 || age >= COLD) {
            busiest = Math.max(busiest, recent(to, FALL + FALL / 10) / size);
            return;
        }
        double warmth = COLD_SHARE + (1 - COLD_SHARE) * age / COLD;
        assertTrue(
                recent(to, FALL) <= Math.max(1, FALL_MULTIPLE * warmth * busiest * size),
                () ->
                        "cold backend "
                                + to.id()
                                + " sent "
                                + recent(to, FALL)
                                + ", warm ones "
                                + busiest);
    }

    /** How many requests of the tenant went first to a backend outside its lane. */
    int spilled(int tenant, Set<String> lane) {
        List<String> to = firstSent.getOrDefault(tenant, List.of());
        return (int) to.stream().filter(b -> !lane.contains(b)).count();
    }

    long recent(Endpoint member, long span) {
        return sends.getOrDefault(member.id(), List.of()).stream()
                .filter(at -> at > now - span)
                .filter(at -> at >= member.startedAtTicks())
                .count();
    }

    @Override
    public void cancelAttempt(long req, int attempt) {
        Sent sent = items.get(req).sent.get(attempt);
        assertTrue(sent.out, "recall of what is not out");
        sent.recalled = true;
    }

    @Override
    public void reject(long req, long comeBack, RejectionReason why) {
        Item item = open(req, "deferral");
        boolean harmless =
                item.sent.stream().noneMatch(s -> s.mayHaveRun)
                        || item.category.idempotency() == Idempotency.IDEMPOTENT
                        || (item.category.idempotency() == Idempotency.WITH_KEY
                                && item.category.deduplicationScope() == DeduplicationScope.ALL
                                && item.sent.stream()
                                        .allMatch(sent -> keyIsKnown(item, sent, now + comeBack)));
        assertTrue(harmless, "deferral of what may have run");
        item.answered = true;
        item.deferred = true;
        ends.merge(why, 1, Integer::sum);
    }

    /** Whether an attempt did not run, or its key is still known when the client comes back. */
    private static boolean keyIsKnown(Item item, Sent sent, long comesBackAt) {
        return !sent.mayHaveRun || comesBackAt < sent.at + item.category.deduplicationWindowTicks();
    }

    @Override
    public void fail(long req, RejectionReason why) {
        open(req, "write-off").answered = true;
    }

    @Override
    public void scheduleTimer(long at) {
        wakes.add(at);
    }

    @Override
    public void subscribeEndpointList() {
        asked++;
    }

    @Override
    public void closeIdleConnections(String backend) {
        assertTrue(listed.containsKey(backend), "closes connections to one that is not listed");
        released.add(backend);
    }

    @Override
    public void probe(String backend) {
        assertNotNull(listed.get(backend), "probe of a backend that no list has named");
    }

    @Override
    public void broadcastToPeers(byte[] message) {
        told.add(new String(message, StandardCharsets.UTF_8));
        assertTrue(message.length <= 256, "too long a message to peers");
    }

    @Override
    public void log(String line) {
        assertFalse(line.contains("\n"), "a note of several lines");
    }
}

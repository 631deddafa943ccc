package cottonlock.proxy;

import cottonlock.admin.Metrics;
import cottonlock.decision.LoadBalancer;
import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.Endpoint;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.RejectionReason;
import cottonlock.decision.api.RequestClass;
import cottonlock.proxy.concurrent.Mailbox;
import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.control.ManualEjections;
import cottonlock.proxy.control.PeerMessenger;
import cottonlock.proxy.discovery.EndpointList;
import cottonlock.proxy.discovery.EndpointListListener;
import cottonlock.proxy.discovery.EndpointListWatch;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * The module's actor: its thread alone calls the module, and it waits for nobody but its mailbox.
 */
final class LoadBalancerActor implements Runnable, LoadBalancerActions, EndpointListListener {
    /** More than the sockets there are: each has a message or two under way at most. */
    private static final int MAILBOX_CAPACITY = 4_096;

    /**
     * Tenths of a millisecond until a wake that failed is tried again: seldom enough to harm
     * nobody.
     */
    private static final long TIMER_RETRY_TICKS = 1_000;

    /**
     * Tenths of a millisecond after a client was last seen there in which an attempt may begin:
     * within 100 ms of its leaving none is a fault, and the write takes some of them.
     */
    private static final long CLIENT_SEEN_TICKS = 800;

    private final Mailbox mailbox;

    /** Writes the answers that the module gives of itself, for this thread waits for no client. */
    private final Mailbox clerk;

    /**
     * Starts backends' threads: whoever starts one waits until it has been given a core for the
     * first time, and this thread must not wait.
     */
    private final Mailbox starter;

    /** What the module's own answers lead to, after the call that made them. */
    private final Deque<Runnable> next = new ArrayDeque<>();

    private final TickClock clock;
    private final Function<EndpointList.Entry, BackendActor> actorOf;
    private final Metrics figures;
    private final RateLimitedLog log;

    /** The backends in the list, as discovery has told them, and their ids for others to see. */
    private final Map<String, Endpoint> listed = new TreeMap<>();

    private final Set<String> unlisted = new TreeSet<>();
    private volatile Set<String> ids = Set.of();
    private boolean listLost;
    private ManualEjections bans;
    private final Map<Long, ClientRequest> requests = new HashMap<>();
    private final Map<String, BackendActor> backends = new TreeMap<>();

    /** Backends that have gone from the list; some still have attempts in flight. */
    private final List<BackendActor> retired = new ArrayList<>();

    private final PriorityQueue<ClientRequest> expiries =
            new PriorityQueue<>(Comparator.comparingLong((ClientRequest req) -> req.expiry));
    private LoadBalancer balancer;
    private EndpointListWatch watch;
    private PeerMessenger peers;

    /** The module that is only watched, or null. */
    private ShadowLoadBalancer shadow;

    /** When its thread last came round, for whoever watches over it. */
    private volatile long progressAt;

    private long lastNumber;

    /** By when all is over, once the proxy leaves. */
    private long latestEnd = Long.MAX_VALUE;

    private long wakeAt;

    LoadBalancerActor(
            TickClock clock,
            Function<EndpointList.Entry, BackendActor> actorOf,
            Metrics figures,
            RateLimitedLog log) {
        this.clock = clock;
        this.actorOf = actorOf;
        this.figures = figures;
        this.log = log;
        this.mailbox = new Mailbox(MAILBOX_CAPACITY, log);
        this.clerk = new Mailbox(MAILBOX_CAPACITY, log);
        this.starter = new Mailbox(MAILBOX_CAPACITY, log);
    }

    /**
     * Before the thread starts: the module, where its asks for the list go, and its messages to
     * peers.
     */
    void join(
            LoadBalancer module,
            EndpointListWatch list,
            PeerMessenger others,
            ManualEjections taken) {
        balancer = module;
        bans = taken;
        watch = list;
        peers = others;
    }

    /** Before the thread starts: a module that is told all and whose decisions are only counted. */
    void watch(ShadowLoadBalancer watched) {
        shadow = watched;
    }

    @Override
    public void run() {
        Thread writing = Sockets.start("clerk", clerk);
        Thread starting = Sockets.start("starter", starter);
        mailbox.guard(() -> balancer.start(clock.now()));
        if (shadow != null) {
            shadow.start(clock.now());
        }
        try {
            while (true) {
                progressAt = clock.now();
                if (next.isEmpty()) {
                    mailbox.runNext(untilDue() * 100);
                } else {
                    mailbox.guard(next.poll());
                }
                mailbox.guard(this::due);
            }
        } catch (InterruptedException e) {
            writing.interrupt();
            starting.interrupt();
            endBackends(List.of(writing, starting));
        }
    }

    /**
     * Returns when the threads of all backends have ended; the starter's before, as it adds some.
     */
    private void endBackends(List<Thread> helpers) {
        List<BackendActor> all = new ArrayList<>(retired);
        all.addAll(backends.values());
        all.forEach(BackendActor::end);
        Sockets.join(helpers);
        List<Thread> threads = new ArrayList<>();
        for (BackendActor backend : all) {
            backend.thread().ifPresent(threads::add);
        }
        Sockets.join(threads);
    }

    private long untilDue() {
        ClientRequest first = expiries.peek();
        return Math.min(wakeAt, first == null ? wakeAt : first.expiry) - clock.now();
    }

    private void due() {
        long now = clock.now();
        while (!expiries.isEmpty() && expiries.peek().expiry <= now) {
            ClientRequest req = expiries.poll();
            for (ClientRequest.Attempt attempt : req.attempts) {
                if (attempt.abandon()) {
                    ended(attempt, AttemptOutcome.TIMED_OUT);
                }
            }
            // The module has given each its answer by now; this is for one that it lost in a fault.
            if (requests.containsKey(req.number) && req.out == 0) {
                fail(req.number, RejectionReason.RESPONSE_LOST);
            }
        }
        if (now >= wakeAt) {
            // The module sets its next time itself; if it failed on the way, it would never be
            // woken again.
            wakeAt = now + TIMER_RETRY_TICKS;
            balancer.onTimer(now);
            retireUnlisted();
            count();
        }
        if (shadow != null) {
            shadow.due(now);
        }
    }

    /** The proxy leaves: all that it holds is answered by then, before it is killed. */
    void endBy(long latest) {
        mailbox.put(
                () -> {
                    latestEnd = latest;
                    balancer.limitDeadlines(latest);
                    List<ClientRequest> held = new ArrayList<>(expiries);
                    expiries.clear();
                    held.forEach(req -> req.expiry = Math.min(req.expiry, latest));
                    expiries.addAll(held);
                });
    }

    /** A client's request has been read whole. */
    void arrive(ClientRequest req) {
        mailbox.put(
                () -> {
                    if (req.claimed()) {
                        // Its client left meanwhile: nothing is decided for it, dialled least of
                        // all.
                        return;
                    }
                    req.number = ++lastNumber;
                    // It may have been admitted just before the end was told, and come here just
                    // behind it.
                    req.expiry = Math.min(req.expiry, latestEnd);
                    requests.put(req.number, req);
                    expiries.add(req);
                    long now = clock.now();
                    if (shadow != null) {
                        shadow.arrive(req, now);
                    }
                    balancer.onRequest(
                            now,
                            req.number,
                            req.category,
                            req.tenant,
                            req.expiry - now,
                            req.repeated,
                            0);
                });
    }

    /** The client of a request has left. */
    void left(ClientRequest req) {
        mailbox.put(
                () -> {
                    if (shadow != null) {
                        shadow.left(clock.now(), req.number);
                    }
                    balancer.onClientDisconnected(clock.now(), req.number);
                    forget(req);
                });
    }

    /**
     * Nobody sees any more whether the client of a request leaves. What waits for room is refused,
     * and no further attempt is made; the first may still go out, soon, or, where it was just about
     * to, at all.
     */
    void unseen(ClientRequest req, boolean first) {
        req.seenUntil = first ? Long.MAX_VALUE : clock.now() + CLIENT_SEEN_TICKS;
        mailbox.put(
                () -> {
                    req.unseen = true;
                    if (req.attempts.isEmpty()) {
                        answer(req.number, RejectionReason.NO_CAPACITY, 503, null, null);
                        if (shadow != null) {
                            shadow.left(clock.now(), req.number);
                        }
                        balancer.onClientDisconnected(clock.now(), req.number);
                    }
                });
    }

    /** An attempt has been settled, by the thread that saw how it ended. */
    void settled(ClientRequest.Attempt attempt, AttemptOutcome outcome) {
        mailbox.put(() -> ended(attempt, outcome));
    }

    private void ended(ClientRequest.Attempt attempt, AttemptOutcome outcome) {
        attempt.req.out--;
        if (shadow != null) {
            shadow.settled(clock.now(), attempt.req.number, outcome, attempt.req.claimed());
        }
        balancer.onAttemptCompleted(
                clock.now(), attempt.req.number, attempt.number, outcome, attempt.req.claimed());
        forget(attempt.req);
    }

    private void forget(ClientRequest req) {
        if (req.claimed() && req.out == 0) {
            if (shadow != null) {
                shadow.decided(req.number, null);
                shadow.forget(clock.now(), req.number);
            }
            requests.remove(req.number);
        }
    }

    @Override
    public void endpointListReceived(EndpointList news, boolean cached) {
        mailbox.put(
                () -> {
                    List<Endpoint> members = new ArrayList<>();
                    Map<String, BackendActor> absent =
                            news.complete() ? new TreeMap<>(backends) : new TreeMap<>();
                    listLost = false;
                    if (news.complete()) {
                        listed.clear();
                    }
                    for (EndpointList.Entry entry : news.entries()) {
                        Endpoint m = entry.endpoint();
                        members.add(bans.effective(m));
                        if (m.state() == Endpoint.State.GONE) {
                            listed.remove(m.id());
                        } else {
                            listed.put(m.id(), m);
                        }
                        BackendActor actor = backends.get(m.id());
                        if (m.state() == Endpoint.State.GONE) {
                            absent.put(m.id(), actor);
                            continue;
                        }
                        absent.remove(m.id());
                        if (actor == null && entry.address() != null) {
                            backends.put(m.id(), actorOf.apply(entry));
                        } else if (entry.address() != null) {
                            actor.listensAt(entry.address());
                        }
                        ready(m);
                    }
                    if (shadow != null) {
                        shadow.list(clock.now(), members, news.complete(), cached);
                    }
                    balancer.onEndpointList(clock.now(), members, news.complete(), cached);
                    unlisted.addAll(absent.keySet());
                    listed.keySet().forEach(unlisted::remove);
                    retireUnlisted();
                    ids = Set.copyOf(listed.keySet());
                    count();
                });
    }

    /** What is on its way to a connection must not go out after a drain or a ban was told. */
    private void ready(Endpoint m) {
        BackendActor actor = backends.get(m.id());
        if (actor != null) {
            actor.ready(bans.effective(m).state() == Endpoint.State.READY);
        }
    }

    /** Where removal from the list binds nobody, the module may use one for some time after it. */
    private void retireUnlisted() {
        unlisted.removeIf(
                id -> {
                    BackendActor actor = balancer.mayUse(id) ? null : backends.remove(id);
                    if (actor != null) {
                        actor.leave();
                        retired.removeIf(BackendActor::isOver);
                        retired.add(actor);
                    }
                    return !balancer.mayUse(id);
                });
    }

    private void count() {
        figures.setBackendCounts(
                listed.size(),
                (int)
                                listed.values().stream()
                                        .filter(
                                                m ->
                                                        bans.effective(m).state()
                                                                != Endpoint.State.READY)
                                        .count()
                        + (int) balancer.avoidedBackendCount(clock.now()));
    }

    /** When its thread last made progress, by the module's clock; from any thread. */
    long progressAt() {
        return progressAt;
    }

    /** For tests alone: its thread stands still for as long as this takes. */
    void hang(Runnable still) {
        mailbox.put(still);
    }

    /** Waits until all is done that it has been told so far, a second at most. */
    void settle() {
        CountDownLatch done = new CountDownLatch(1);
        mailbox.put(done::countDown);
        try {
            done.await(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether the list holds a backend of that id; from any thread. */
    boolean lists(String id) {
        return ids.contains(id);
    }

    /** Backends have been taken out or back by hand; from any thread. */
    void bansChanged() {
        mailbox.put(
                () -> {
                    List<Endpoint> members = new ArrayList<>();
                    for (Endpoint m : listed.values()) {
                        members.add(bans.effective(m));
                        ready(m);
                        if (bans.isEjected(m.id()) && backends.containsKey(m.id())) {
                            // It will be restarted: what rests there would break as soon as it is
                            // used again.
                            backends.get(m.id()).release();
                        }
                    }
                    if (shadow != null) {
                        shadow.list(clock.now(), members, false, false);
                    }
                    balancer.onEndpointList(clock.now(), members, false, false);
                    if (listLost) {
                        // This was no news from discovery: it still has to be asked again.
                        balancer.onEndpointListFailed(clock.now());
                    }
                    count();
                });
    }

    /** Other categories, by number, and most attempts are in force for what comes from now on. */
    void retune(List<RequestClass> categories, int most) {
        mailbox.put(
                () -> {
                    if (shadow != null) {
                        shadow.retune(categories, most);
                    }
                    balancer.reconfigure(categories, most);
                });
    }

    @Override
    public void endpointListWatchEnded() {
        mailbox.put(
                () -> {
                    listLost = true;
                    balancer.onEndpointListFailed(clock.now());
                });
    }

    /** Another balancer of the tier has told something. */
    void heard(byte[] message) {
        mailbox.put(
                () -> {
                    if (shadow != null) {
                        shadow.heard(clock.now(), message);
                    }
                    balancer.onPeerMessage(clock.now(), message);
                });
    }

    @Override
    public void startAttempt(long number, String backend, long sendBy) {
        ClientRequest req = requests.get(number);
        ClientRequest.Attempt attempt =
                new ClientRequest.Attempt(req, req.attempts.size(), sendBy, this);
        req.attempts.add(attempt);
        req.out++;
        if (shadow != null) {
            shadow.decided(number, backend);
        }
        BackendActor actor = backends.get(backend);
        boolean unobservedRetry = req.unseen && attempt.number > 0;
        if ((bans.isEjected(backend) || unobservedRetry) && attempt.abandon()) {
            // An ejection is acknowledged before the load balancer learns of it, and a client that
            // is not observed may have left.
            next.add(() -> ended(attempt, AttemptOutcome.NOT_SENT));
        } else if ((actor == null || !actor.attempt(attempt) || !begun(actor))
                && attempt.abandon()) {
            next.add(() -> ended(attempt, AttemptOutcome.CONNECT_FAILED));
        }
    }

    /**
     * Has its thread started if it has none; false when so many wait for theirs that it would never
     * be.
     */
    private boolean begun(BackendActor actor) {
        if (actor.begins() && !starter.offer(actor::begin)) {
            actor.noThread();
            return false;
        }
        return true;
    }

    @Override
    public void cancelAttempt(long number, int attempt) {
        ClientRequest req = requests.get(number);
        if (req != null && req.attempts.get(attempt).abandon()) {
            next.add(() -> ended(req.attempts.get(attempt), AttemptOutcome.CANCELLED));
        }
    }

    @Override
    public void reject(long number, long comeBack, RejectionReason why) {
        answer(
                number,
                why,
                503,
                comeBack > 0 ? "Retry-After" : null,
                comeBack / 10_000 + "." + Long.toString(10_000 + comeBack % 10_000).substring(1));
    }

    @Override
    public void fail(long number, RejectionReason why) {
        answer(number, why, 502, null, null);
    }

    private void answer(long number, RejectionReason why, int status, String name, String value) {
        ClientRequest req = requests.get(number);
        if (req != null && req.claim()) {
            req.why = why;
            if (!clerk.offer(() -> req.client.finish(req, status, name, value, null))) {
                // So far behind that nobody would still wait: it ends without an answer.
                figures.requestEnded();
                req.client.abort();
            }
        }
        if (req != null) {
            forget(req);
        }
    }

    @Override
    public void scheduleTimer(long at) {
        wakeAt = at;
    }

    @Override
    public void subscribeEndpointList() {
        watch.request();
    }

    @Override
    public void closeIdleConnections(String backend) {
        BackendActor actor = backends.get(backend);
        if (actor != null) {
            actor.release();
        }
    }

    @Override
    public void probe(String backend) {
        // The protocol has no probes.
    }

    @Override
    public void broadcastToPeers(byte[] message) {
        clerk.offer(() -> peers.send(message));
    }

    @Override
    public void log(String line) {
        log.info("module", line);
    }
}

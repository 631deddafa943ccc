package cottonlock.proxy;

import cottonlock.admin.Metrics;
import cottonlock.core.Ticks;
import cottonlock.decision.LoadBalancer;
import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.Endpoint;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.RejectionReason;
import cottonlock.decision.request.RequestArrival;
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
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * The actor that owns the load balancer: only its thread calls the load balancer, and it never
 * waits for anything but its own mailbox.
 */
final class LoadBalancerActor implements Runnable, LoadBalancerActions, EndpointListListener {
    /** Exceeds the number of sockets, each of which has at most one or two messages pending. */
    private static final int MAILBOX_CAPACITY = 4_096;

    /**
     * Ticks of 0.1 ms after which a timer call that failed is retried: rarely enough to cause no
     * noticeable load.
     */
    private static final long TIMER_RETRY_TICKS = 1_000;

    /**
     * Ticks of 0.1 ms after a client was last observed within which an attempt may still start. An
     * attempt that starts more than 100 ms after the client has left counts as a fault, and the
     * write takes part of that time.
     */
    private static final long CLIENT_OBSERVED_TICKS = 800;

    private final Mailbox mailbox;

    /**
     * Runs what may block, so that the load balancer's thread doesn't wait for clients: writing the
     * responses that the load balancer gives itself, and sending peer messages.
     */
    private final Mailbox ioMailbox;

    /**
     * Outcomes of attempts that the load balancer's own actions ended; reported after the call that
     * made them.
     */
    private final Deque<Runnable> deferredEvents = new ArrayDeque<>();

    private final TickClock clock;
    private final Function<EndpointList.Entry, BackendActor> actorFactory;
    private final Metrics metrics;
    private final RateLimitedLog log;

    /** Set once, before the thread starts. */
    private BackendDirectory backends;

    private boolean listWatchEnded;
    private final OpenRequests requests = new OpenRequests();
    private LoadBalancer balancer;
    private EndpointListWatch watch;
    private PeerMessenger peers;

    /** The shadow load balancer, or null. */
    private ShadowLoadBalancer shadow;

    /**
     * When the thread last ran its loop, for the membership service, which watches its progress.
     */
    private volatile long lastProgressTicks;

    private long lastRequestNumber;

    /** Limit of all deadlines once the proxy shuts down. */
    private long shutdownDeadlineTicks = Long.MAX_VALUE;

    private long timerAtTicks;

    LoadBalancerActor(
            TickClock clock,
            Function<EndpointList.Entry, BackendActor> actorFactory,
            Metrics metrics,
            RateLimitedLog log) {
        this.clock = clock;
        this.actorFactory = actorFactory;
        this.metrics = metrics;
        this.log = log;
        this.mailbox = new Mailbox(MAILBOX_CAPACITY, log);
        this.ioMailbox = new Mailbox(MAILBOX_CAPACITY, log);
    }

    /**
     * Sets the load balancer, the watch that it requests the endpoint list from, the sender of its
     * peer messages and the manual ejections. Called before the thread starts.
     */
    void initialize(
            LoadBalancer loadBalancer,
            EndpointListWatch endpointListWatch,
            PeerMessenger peerMessenger,
            ManualEjections ejections) {
        balancer = loadBalancer;
        backends = new BackendDirectory(actorFactory, ejections);
        watch = endpointListWatch;
        peers = peerMessenger;
    }

    /**
     * Sets a load balancer that receives the same events and whose decisions are only counted.
     * Called before the thread starts.
     */
    void setShadow(ShadowLoadBalancer shadowLoadBalancer) {
        shadow = shadowLoadBalancer;
    }

    @Override
    public void run() {
        Thread ioThread = Sockets.start("clerk", ioMailbox);
        mailbox.guard(() -> balancer.start(clock.now()));
        if (shadow != null) {
            shadow.start(clock.now());
        }
        try {
            while (true) {
                lastProgressTicks = clock.now();
                if (deferredEvents.isEmpty()) {
                    mailbox.runNext(ticksUntilNextEvent() * 100);
                } else {
                    mailbox.guard(deferredEvents.poll());
                }
                mailbox.guard(this::runDueTimers);
            }
        } catch (InterruptedException e) {
            ioThread.interrupt();
            Sockets.join(List.of(ioThread));
        }
    }

    private long ticksUntilNextEvent() {
        return requests.earliestDeadline(timerAtTicks) - clock.now();
    }

    private void runDueTimers() {
        long now = clock.now();
        requests.takeDue(now).forEach(this::endAtDeadline);
        if (now >= timerAtTicks) {
            // The load balancer schedules its next timer itself; if it failed on the way, its timer
            // would never fire again.
            timerAtTicks = now + TIMER_RETRY_TICKS;
            balancer.onTimer(now);
            backends.retireUnlisted(balancer::mayUse);
            updateBackendCounts();
        }
        if (shadow != null) {
            shadow.runDueTimers(now);
        }
    }

    private void endAtDeadline(ClientRequest req) {
        for (ClientRequest.Attempt attempt : req.attempts) {
            if (attempt.abandon()) {
                attemptEnded(attempt, AttemptOutcome.TIMED_OUT);
            }
        }
        // The load balancer has ended the request by now, unless a fault made it lose it.
        if (!req.claimed() && req.attemptsInFlight == 0) {
            fail(req.number, RejectionReason.RESPONSE_LOST);
        }
    }

    /**
     * Limits all deadlines, because the proxy shuts down: every request is answered by then, before
     * the process is killed.
     */
    void limitDeadlines(long latestTicks) {
        mailbox.put(
                () -> {
                    shutdownDeadlineTicks = latestTicks;
                    balancer.limitDeadlines(latestTicks);
                    requests.limitDeadlines(latestTicks);
                });
    }

    /** Handles a client's request that has been read completely. */
    void requestReceived(ClientRequest req) {
        mailbox.put(
                () -> {
                    if (req.claimed()) {
                        // The client disconnected meanwhile: decide nothing for its request, and
                        // above all open no connection.
                        return;
                    }
                    req.number = ++lastRequestNumber;
                    // It may have been validated just before the limit was set, and arrive just
                    // after it.
                    req.deadlineTicks = Math.min(req.deadlineTicks, shutdownDeadlineTicks);
                    requests.add(req);
                    long now = clock.now();
                    RequestArrival arrival =
                            new RequestArrival(
                                    req.number,
                                    req.requestClass,
                                    req.maxAttempts,
                                    req.tenant,
                                    req.deadlineTicks - now,
                                    req.retried,
                                    0);
                    if (shadow != null) {
                        shadow.requestReceived(arrival, now);
                    }
                    balancer.onRequest(now, arrival);
                });
    }

    /** Handles that the client of a request has disconnected. */
    void clientDisconnected(ClientRequest req) {
        mailbox.put(
                () -> {
                    if (shadow != null) {
                        shadow.clientDisconnected(clock.now(), req.number);
                    }
                    balancer.onClientDisconnected(clock.now(), req.number);
                    removeIfDone(req);
                });
    }

    /**
     * Handles that a disconnect of a request's client would go unnoticed from now on. A request
     * that waits for capacity is rejected, and no further attempt is made; the first attempt may
     * start until {@link #CLIENT_OBSERVED_TICKS} after the client was last observed.
     *
     * @param observedNanosAgo the time since the client was last known to be there
     */
    void clientUnobserved(ClientRequest req, long observedNanosAgo) {
        req.observedUntilTicks =
                clock.now() - observedNanosAgo / Ticks.NANOSECONDS_PER_TICK + CLIENT_OBSERVED_TICKS;
        endUnlessAttempted(req);
    }

    /**
     * Handles that this side shut a connection's input down just after a request was read. As
     * {@link #clientUnobserved}, but the first attempt may start at any time.
     */
    void inputShutDown(ClientRequest req) {
        req.observedUntilTicks = Long.MAX_VALUE;
        endUnlessAttempted(req);
    }

    private void endUnlessAttempted(ClientRequest req) {
        mailbox.put(
                () -> {
                    req.clientUnobserved = true;
                    if (req.attempts.isEmpty()) {
                        respond(req.number, RejectionReason.NO_CAPACITY, 503, null, null);
                        if (shadow != null) {
                            shadow.clientDisconnected(clock.now(), req.number);
                        }
                        balancer.onClientDisconnected(clock.now(), req.number);
                    }
                });
    }

    /** Handles that a backend has begun to respond to an attempt, which is not settled yet. */
    void responseBegun(ClientRequest.Attempt attempt) {
        mailbox.put(
                () -> balancer.onResponseBegun(clock.now(), attempt.req.number, attempt.number));
    }

    /** Handles an attempt that was settled by the thread that saw how it ended. */
    void attemptSettled(ClientRequest.Attempt attempt, AttemptOutcome outcome) {
        mailbox.put(() -> attemptEnded(attempt, outcome));
    }

    private void attemptEnded(ClientRequest.Attempt attempt, AttemptOutcome outcome) {
        attempt.req.attemptsInFlight--;
        if (shadow != null) {
            shadow.attemptSettled(clock.now(), attempt.req.number, outcome, attempt.req.claimed());
        }
        balancer.onAttemptCompleted(
                clock.now(), attempt.req.number, attempt.number, outcome, attempt.req.claimed());
        removeIfDone(attempt.req);
    }

    private void removeIfDone(ClientRequest req) {
        if (req.claimed() && req.attemptsInFlight == 0) {
            if (shadow != null) {
                shadow.compareFirstDecision(req.number, null);
                shadow.requestEnded(clock.now(), req.number);
            }
            requests.remove(req);
        }
    }

    @Override
    public void endpointListReceived(EndpointList list, boolean cached) {
        mailbox.put(
                () -> {
                    listWatchEnded = false;
                    List<Endpoint> endpoints = backends.update(list);
                    if (shadow != null) {
                        shadow.endpointListReceived(
                                clock.now(), endpoints, list.complete(), cached);
                    }
                    balancer.onEndpointList(clock.now(), endpoints, list.complete(), cached);
                    backends.retireUnlisted(balancer::mayUse);
                    if (list.complete()) {
                        updateBackendCounts();
                    }
                });
    }

    /**
     * Looks at each backend. A change of the list leaves it to the timer: while a large fleet is
     * replaced, changes come at a much higher rate.
     */
    private void updateBackendCounts() {
        metrics.setBackendCounts(
                backends.listedCount(),
                backends.unavailableCount() + (int) balancer.avoidedBackendCount(clock.now()));
    }

    /** When the thread last made progress, in ticks; safe for use by any thread. */
    long lastProgressTicks() {
        return lastProgressTicks;
    }

    /** For tests only: the load balancer's thread stalls for as long as the task runs. */
    void stall(Runnable task) {
        mailbox.put(task);
    }

    /** Waits until all messages sent so far have been processed, for at most one second. */
    void awaitProcessed() {
        CountDownLatch done = new CountDownLatch(1);
        mailbox.put(done::countDown);
        try {
            done.await(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether the endpoint list contains a backend with this id; safe for use by any thread. */
    boolean isListed(String id) {
        return backends.isListed(id);
    }

    /** The number of backends in the endpoint list; safe for use by any thread. */
    int listedCount() {
        return backends.listedCount();
    }

    /** Handles that backends were ejected or restored manually; safe for use by any thread. */
    void manualEjectionsChanged() {
        mailbox.put(
                () -> {
                    List<Endpoint> endpoints = backends.updateEjections();
                    if (shadow != null) {
                        shadow.endpointListReceived(clock.now(), endpoints, false, false);
                    }
                    balancer.onEndpointList(clock.now(), endpoints, false, false);
                    if (listWatchEnded) {
                        // This was no update from discovery: the list still has to be requested
                        // again.
                        balancer.onEndpointListFailed(clock.now());
                    }
                    updateBackendCounts();
                });
    }

    /** Handles that the settings were replaced while the proxy runs. */
    void settingsReplaced() {
        mailbox.put(
                () -> {
                    if (shadow != null) {
                        shadow.settingsReplaced();
                    }
                });
    }

    @Override
    public void endpointListWatchEnded() {
        mailbox.put(
                () -> {
                    listWatchEnded = true;
                    balancer.onEndpointListFailed(clock.now());
                });
    }

    /** Handles a message from another load balancer of the tier. */
    void peerMessageReceived(byte[] message) {
        mailbox.put(
                () -> {
                    if (shadow != null) {
                        shadow.peerMessageReceived(clock.now(), message);
                    }
                    balancer.onPeerMessage(clock.now(), message);
                });
    }

    @Override
    public void startAttempt(long number, String backend, long sendByTicks) {
        ClientRequest req = requests.get(number);
        ClientRequest.Attempt attempt =
                new ClientRequest.Attempt(req, req.attempts.size(), sendByTicks, this);
        req.attempts.add(attempt);
        req.attemptsInFlight++;
        if (shadow != null) {
            shadow.compareFirstDecision(number, backend);
        }
        BackendActor actor = backends.actor(backend);
        boolean unobservedRetry = req.clientUnobserved && attempt.number > 0;
        if ((backends.isEjected(backend) || unobservedRetry) && attempt.abandon()) {
            // An ejection is acknowledged before the load balancer learns of it, and a client that
            // is not observed may have left.
            deferredEvents.add(() -> attemptEnded(attempt, AttemptOutcome.NOT_SENT));
        } else if ((actor == null || !actor.offer(attempt)) && attempt.abandon()) {
            deferredEvents.add(() -> attemptEnded(attempt, AttemptOutcome.CONNECT_FAILED));
        }
    }

    @Override
    public void cancelAttempt(long number, int attempt) {
        ClientRequest req = requests.get(number);
        if (req != null && req.attempts.get(attempt).abandon()) {
            deferredEvents.add(
                    () -> attemptEnded(req.attempts.get(attempt), AttemptOutcome.CANCELLED));
        }
    }

    @Override
    public void reject(long number, long retryAfterTicks, RejectionReason rejectionReason) {
        respond(
                number,
                rejectionReason,
                503,
                retryAfterTicks > 0 ? "Retry-After" : null,
                retryAfterTicks / 10_000
                        + "."
                        + Long.toString(10_000 + retryAfterTicks % 10_000).substring(1));
    }

    @Override
    public void fail(long number, RejectionReason rejectionReason) {
        respond(number, rejectionReason, 502, null, null);
    }

    private void respond(
            long number,
            RejectionReason rejectionReason,
            int status,
            String headerName,
            String headerValue) {
        ClientRequest req = requests.get(number);
        if (req != null && req.claim()) {
            req.rejectionReason = rejectionReason;
            if (!ioMailbox.offer(
                    () -> req.client.sendResponse(req, status, headerName, headerValue, null))) {
                // The mailbox is so far behind that the client has given up by now: end without a
                // response.
                metrics.requestEnded();
                req.client.abort();
            }
        }
        if (req != null) {
            removeIfDone(req);
        }
    }

    @Override
    public void scheduleTimer(long atTicks) {
        timerAtTicks = atTicks;
    }

    @Override
    public void subscribeEndpointList() {
        watch.request();
    }

    @Override
    public void closeIdleConnections(String backend) {
        BackendActor actor = backends.actor(backend);
        if (actor != null) {
            actor.closeIdleConnections();
        }
    }

    @Override
    public void probe(String backend) {
        // The protocol has no probes.
    }

    @Override
    public void broadcastToPeers(byte[] message) {
        ioMailbox.offer(() -> peers.send(message));
    }

    @Override
    public void log(String line) {
        log.info("module", line);
    }
}

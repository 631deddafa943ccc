package cottonlock.proxy;

import cottonlock.admin.Metrics;
import cottonlock.decision.api.AttemptOutcome;
import cottonlock.proxy.concurrent.Mailbox;
import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.http.BufferPool;
import cottonlock.proxy.http.HttpWriter;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * A backend's actor: the only owner of the connections to it. It uses idle connections before it
 * opens new ones.
 */
final class BackendActor implements Runnable {
    /** Exceeds the number of sockets, so that a message from a connection always fits. */
    private static final int MAILBOX_CAPACITY = 4_096;

    /**
     * Fraction of the idle timeout after which a connection is closed, before the backend does it.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.8;

    /**
     * Nanoseconds after a response within which a duplicate of it may arrive, some milliseconds
     * late. If the connection were used again at once, the duplicate would be taken for the
     * response to the next attempt.
     */
    static final long SETTLE_NANOS = 5_000_000;

    /** Maximum microseconds between two checks of the idle connections for expired ones. */
    private static final long IDLE_CHECK_MICROS = 500_000;

    /**
     * Nanoseconds that an attempt waits for a permit, which other actors free by closing an idle
     * connection: far below any latency objective.
     */
    private static final long PERMIT_WAIT_NANOS = 20_000_000;

    /** Microseconds between two checks whether a permit is free. */
    private static final long PERMIT_CHECK_MICROS = 1_000;

    /**
     * An attempt that waits for a permit.
     *
     * @param endNanos when it is given up, by the monotonic clock
     */
    private record PermitWait(ClientRequest.Attempt attempt, long endNanos) {}

    private final Mailbox mailbox;
    private final ConnectionPermits permits;
    private final KeepAlivePolicy keepAlive;
    private final ConnectionThreads workers;
    private final int connectTimeoutMillis;
    private final BufferPool buffers;
    private final HttpWriter writer;
    private final WriteTimeoutWatchdog watchdog;
    private final TickClock clock;
    private final Metrics metrics;
    private final RateLimitedLog log;
    private InetSocketAddress address;
    private final IdleBackendConnections idleConnections;
    private final Set<BackendConnection> connections = new HashSet<>();

    /**
     * Attempts that wait for a connection to settle: that takes less time than a new connection,
     * which also costs more.
     */
    private final Deque<ClientRequest.Attempt> waitingAttempts = new ArrayDeque<>();

    /** Attempts that wait for a permit for a new connection, in the order in which they came. */
    private final Deque<PermitWait> permitWaits = new ArrayDeque<>();

    private boolean closing;

    /**
     * Whether the backend has a thread or is being given one, which its first attempt causes: many
     * lists name hundreds of backends of which a load balancer needs a few. Until then the load
     * balancer's thread owns the state of this actor.
     */
    private volatile boolean started;

    /** Set by the thread that started it; null before that. */
    private volatile Thread thread;

    /**
     * Set while the thread that failed to start the backend's thread runs the pending messages
     * itself, so that their attempts fail.
     */
    private boolean threadUnavailable;

    /**
     * Whether the endpoint list and the manual ejections allow new requests; written by the load
     * balancer's thread, read where bytes are sent.
     */
    private volatile boolean ready = true;

    /** Times are in milliseconds, except {@code settleNanos}. */
    BackendActor(
            InetSocketAddress address,
            ConnectionPermits permits,
            KeepAlivePolicy keepAlive,
            ConnectionThreads workers,
            long connectTimeoutMillis,
            long idleTimeoutMillis,
            long settleNanos,
            BufferPool buffers,
            HttpWriter writer,
            WriteTimeoutWatchdog watchdog,
            TickClock clock,
            Metrics metrics,
            RateLimitedLog log) {
        this.address = address;
        this.permits = permits;
        this.keepAlive = keepAlive;
        this.workers = workers;
        this.connectTimeoutMillis =
                (int) Math.max(1, Math.min(Integer.MAX_VALUE, connectTimeoutMillis));
        long idleTimeoutNanos = (long) (idleTimeoutMillis * IDLE_TIMEOUT_FRACTION * 1_000_000);
        this.idleConnections = new IdleBackendConnections(settleNanos, idleTimeoutNanos);
        this.buffers = buffers;
        this.writer = writer;
        this.watchdog = watchdog;
        this.clock = clock;
        this.metrics = metrics;
        this.log = log;
        this.mailbox = new Mailbox(MAILBOX_CAPACITY, log);
    }

    /**
     * Marks the thread as started, after an attempt was offered; true if the caller must have it
     * started. Called by the load balancer's thread.
     */
    boolean markStarted() {
        boolean firstCall = !started;
        started = true;
        return firstCall;
    }

    /**
     * Reverts {@link #markStarted} when the thread was not started after all. Called by the load
     * balancer's thread.
     */
    void clearStarted() {
        started = false;
    }

    /**
     * Starts the backend's thread. Not called by the load balancer's thread, which would wait for
     * it.
     */
    void startThread() {
        try {
            Thread backendThread = Sockets.thread("backend", this);
            backendThread.start();
            thread = backendThread;
        } catch (OutOfMemoryError e) {
            // No thread is available: these attempts fail and the next one tries again; the proxy
            // must not end.
            log.warn("no thread", "no thread is available for a backend; its attempts failed");
            started = false;
            threadUnavailable = true;
            mailbox.drain();
            threadUnavailable = false;
        }
    }

    /** The backend's thread, if it has been started. */
    Optional<Thread> thread() {
        return Optional.ofNullable(thread);
    }

    /**
     * Whether no thread runs this actor any more. Called by the load balancer's thread, after
     * {@link #removedFromList}.
     */
    boolean isTerminated() {
        Thread backendThread = thread;
        return !started || (backendThread != null && !backendThread.isAlive());
    }

    @Override
    public void run() {
        started = true;
        permits.register(this);
        try {
            while (!closing
                    || !connections.isEmpty()
                    || !waitingAttempts.isEmpty()
                    || !permitWaits.isEmpty()) {
                mailbox.runNext(microsUntilNextCheck());
                // Without a free byte in the heap this fails, and the backend still needs its
                // thread.
                mailbox.guard(idleConnections::closeExpired);
                mailbox.guard(this::sendWaitingAttempts);
                mailbox.guard(this::endPermitWaits);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            permits.unregister(this);
        }
    }

    private long microsUntilNextCheck() {
        long micros =
                waitingAttempts.isEmpty()
                        ? IDLE_CHECK_MICROS
                        : idleConnections.nanosUntilSettled() / 1_000;
        return permitWaits.isEmpty() ? micros : Math.min(micros, PERMIT_CHECK_MICROS);
    }

    /**
     * Sets whether attempts on their way to a connection may be sent. Called by the load balancer's
     * thread.
     */
    void setReady(boolean newReady) {
        ready = newReady;
    }

    /** Whether new requests may be sent to the backend; safe for use by any thread. */
    boolean isReady() {
        return ready;
    }

    /**
     * Offers an attempt without waiting; false when the mailbox is full. Called by the load
     * balancer's thread.
     */
    boolean offer(ClientRequest.Attempt attempt) {
        return mailbox.offer(() -> send(attempt));
    }

    /**
     * Offers a message if there is a thread to run it; without a thread there are no connections
     * either. Called by the load balancer's thread.
     */
    private void offerIfStarted(Runnable message) {
        if (started) {
            mailbox.offer(message);
        }
    }

    /** Sets the address that the endpoint list gives. Called by the load balancer's thread. */
    void addressChanged(InetSocketAddress newAddress) {
        if (!started) {
            address = newAddress;
        }
        offerIfStarted(
                () -> {
                    if (!newAddress.equals(address)) {
                        address = newAddress;
                        idleConnections.closeAll();
                    }
                });
    }

    /**
     * Handles the backend's removal from the list; attempts in flight may still complete. Called by
     * the load balancer's thread.
     */
    void removedFromList() {
        ready = false;
        offerIfStarted(
                () -> {
                    closing = true;
                    idleConnections.closeAll();
                });
    }

    /**
     * Closes the idle connections, because the load balancer finds that they cost more than they
     * save, or because the backend was ejected manually. Called by the load balancer's thread.
     */
    void closeIdleConnections() {
        offerIfStarted(idleConnections::closeAll);
    }

    /**
     * Closes the connection that has been idle longest, because no permit is free. Called by the
     * actor of a backend that needs one.
     */
    void closeOldestIdle() {
        mailbox.offer(idleConnections::closeOldest);
    }

    /** Closes all connections without waiting for attempts in flight: the proxy closes. */
    void stop() {
        offerIfStarted(
                () -> {
                    closing = true;
                    connections.forEach(BackendConnection::closeNow);
                });
    }

    /** For tests only: runs a task on the actor's thread, after all messages sent so far. */
    void runAfterPending(Runnable task) {
        mailbox.put(task);
    }

    /** Called by a connection whose attempt has ended and which can carry the next one. */
    void onIdle(BackendConnection connection) {
        mailbox.put(
                () -> {
                    if (closing
                            || !connection.address().equals(address)
                            || !keepAlive.isReuseAllowed()) {
                        connection.closeNow();
                    } else {
                        idleConnections.add(connection);
                    }
                });
    }

    /**
     * Called by a connection that broke during an attempt that was not its first.
     *
     * @param nanosAfterSend the time since the attempt was sent
     */
    void reusedConnectionBroke(long nanosAfterSend) {
        keepAlive.reusedConnectionBroke(nanosAfterSend);
    }

    /** Called by a connection that has released all its resources. */
    void connectionClosed(BackendConnection connection) {
        permits.release();
        mailbox.put(
                () -> {
                    connections.remove(connection);
                    idleConnections.remove(connection);
                });
    }

    private void sendWaitingAttempts() {
        while (!waitingAttempts.isEmpty() && idleConnections.nanosUntilSettled() <= 0) {
            send(waitingAttempts.poll());
        }
    }

    private void send(ClientRequest.Attempt attempt) {
        if (!trySend(attempt)) {
            permitWaits.add(new PermitWait(attempt, System.nanoTime() + PERMIT_WAIT_NANOS));
        }
    }

    /**
     * Sends an attempt, or settles it, or has it wait for a connection to settle.
     *
     * @return false if it needs a permit for a new connection and none is free
     */
    private boolean trySend(ClientRequest.Attempt attempt) {
        if (!attempt.mayStart(clock.now())) {
            // It waited in the mailbox: for a client that has left, no connection is opened or
            // used.
            attempt.settle(AttemptOutcome.NOT_SENT);
            return true;
        }
        if (threadUnavailable) {
            attempt.settle(AttemptOutcome.CONNECT_FAILED);
            return true;
        }
        // When expired connections were closed only at intervals, some were used after the
        // backend's idle timeout, and were reset.
        idleConnections.closeExpired();
        if (!keepAlive.isReuseAllowed()) {
            idleConnections.closeAll();
        }
        for (BackendConnection connection = idleConnections.takeSettled();
                connection != null;
                connection = idleConnections.takeSettled()) {
            if (!attempt.attach(connection)) {
                idleConnections.putBack(connection);
                return true;
            }
            if (attempt.req.body.isInFile() && sendOnWorkerThread(connection, attempt)) {
                return true;
            }
            if (connection.send(attempt)) {
                return true;
            }
            if (attempt.isSettled()) {
                return true;
            }
        }
        if (idleConnections.size() > waitingAttempts.size()) {
            waitingAttempts.add(attempt);
            return true;
        }
        if (!permits.tryAcquire()) {
            return false;
        }
        open(attempt);
        return true;
    }

    /**
     * Sends the attempts that wait for a permit, in their order, as soon as one or an idle
     * connection is free. What has waited for too long is given up: the lack is this process's, so
     * nothing is held against the backend.
     */
    private void endPermitWaits() {
        for (PermitWait wait = permitWaits.peek(); wait != null; wait = permitWaits.peek()) {
            if (!trySend(wait.attempt())) {
                if (System.nanoTime() - wait.endNanos() < 0) {
                    return;
                }
                log.warn("out of sockets", "no permit for a connection is free; an attempt failed");
                wait.attempt().settle(AttemptOutcome.NOT_SENT);
            }
            permitWaits.poll();
        }
    }

    private void open(ClientRequest.Attempt attempt) {
        BackendConnection connection =
                new BackendConnection(
                        this,
                        address,
                        connectTimeoutMillis,
                        buffers,
                        writer,
                        watchdog,
                        clock,
                        metrics,
                        log,
                        attempt);
        connections.add(connection);
        try {
            workers.serve(connection);
        } catch (OutOfMemoryError e) {
            // No thread is available: this attempt fails; the proxy must not end.
            log.warn("no thread", "no thread is available for a connection; an attempt failed");
            connections.remove(connection);
            permits.release();
            attempt.settle(AttemptOutcome.CONNECT_FAILED);
        }
    }

    /**
     * Writes a long body on another thread, because a backend that reads slowly must not block this
     * actor; false when no thread is available.
     */
    private boolean sendOnWorkerThread(
            BackendConnection connection, ClientRequest.Attempt attempt) {
        try {
            workers.serve(
                    () -> {
                        if (!connection.send(attempt) && !attempt.isSettled()) {
                            mailbox.put(() -> send(attempt));
                        }
                    });
            return true;
        } catch (OutOfMemoryError e) {
            return false;
        }
    }
}

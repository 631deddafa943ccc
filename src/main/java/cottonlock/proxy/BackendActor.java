package cottonlock.proxy;

import cottonlock.decision.api.AttemptOutcome;
import cottonlock.proxy.concurrent.ActorTimer;
import cottonlock.proxy.concurrent.FaultLog;
import cottonlock.proxy.concurrent.SerialMailbox;
import cottonlock.proxy.io.RateLimitedLog;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend's actor: the only one that gives attempts to the connections to it. It uses idle
 * connections before it opens new ones. Lists name thousands of backends, so it has a thread only
 * while it runs messages or an attempt waits, and a timer only while a connection is idle.
 */
final class BackendActor implements SerialMailbox.Actor {
    /** Attempts that may be pending: far more than there are sockets. */
    private static final int MAILBOX_CAPACITY = 4_096;

    /**
     * Nanoseconds after a response within which a duplicate of it may arrive, some milliseconds
     * late. If the connection were used again at once, the duplicate would be taken for the
     * response to the next attempt.
     */
    static final long SETTLE_NANOS = 5_000_000;

    /**
     * Nanoseconds that an attempt waits for a permit, which is freed by closing an idle connection:
     * far below any latency objective.
     */
    private static final long PERMIT_WAIT_NANOS = 20_000_000;

    /** Nanoseconds between two checks whether a permit is free. */
    private static final long PERMIT_CHECK_NANOS = 1_000_000;

    /**
     * Nanoseconds by which an idle connection may be closed later than it could be, so that many
     * are closed by one event.
     */
    private static final long IDLE_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /**
     * An attempt that waits for a permit.
     *
     * @param endNanos when it is given up, by the monotonic clock
     */
    private record PermitWait(ClientRequest.Attempt attempt, long endNanos) {}

    private final BackendResources resources;
    private final RateLimitedLog log;
    private final SerialMailbox mailbox;
    private final ActorTimer timer;
    private final IdleBackendConnections idleConnections;

    /**
     * Attempts that wait for a connection to settle: that takes less time than a new connection,
     * which also costs more.
     */
    private final Deque<ClientRequest.Attempt> waitingAttempts = new ArrayDeque<>(1);

    /** Attempts that wait for a permit for a new connection, in the order in which they came. */
    private final Deque<PermitWait> permitWaits = new ArrayDeque<>(1);

    /** Written by the load balancer's thread. */
    private volatile InetSocketAddress address;

    /**
     * Whether the endpoint list and the manual ejections allow new requests; written by the load
     * balancer's thread, read where bytes are sent.
     */
    private volatile boolean ready = true;

    /** Whether the endpoint list no longer names the backend; written as {@code ready} is. */
    private volatile boolean removed;

    /** The open connections, and those that are being opened. */
    private final AtomicInteger connectionCount = new AtomicInteger();

    /** Whether a message that closes the idle connections is pending. */
    private final AtomicBoolean idleClosePending = new AtomicBoolean();

    BackendActor(InetSocketAddress address, BackendResources resources) {
        this.address = address;
        this.resources = resources;
        this.log = resources.log();
        this.mailbox = new SerialMailbox(MAILBOX_CAPACITY, resources.actorExecutor(), this);
        this.timer = new ActorTimer(resources.timers(), this::timerFired);
        this.idleConnections =
                new IdleBackendConnections(
                        resources.open(),
                        resources.timeouts().settleNanos(),
                        resources.timeouts().maxIdleNanos());
    }

    @Override
    public void process(Runnable message) {
        FaultLog.guard(message, log);
        // Without a free byte in the heap one of them fails, and the others are still needed.
        FaultLog.guard(idleConnections::closeExpired, log);
        FaultLog.guard(this::sendWaitingAttempts, log);
        FaultLog.guard(this::endPermitWaits, log);
        FaultLog.guard(this::setTimer, log);
    }

    /** Called by the timers' thread. */
    private void timerFired() {
        mailbox.put(timer::fired);
    }

    private void setTimer() {
        timer.set(
                idleConnections.size() == 0
                        ? ActorTimer.NEVER
                        : Math.max(IDLE_CHECK_NANOS, idleConnections.nanosUntilExpired()));
    }

    /** Attempts that wait are sent within milliseconds, or given up. */
    @Override
    public long nanosToStay() {
        long nanos = permitWaits.isEmpty() ? Long.MAX_VALUE : PERMIT_CHECK_NANOS;
        if (!waitingAttempts.isEmpty()) {
            // It may have settled just now.
            nanos = Math.min(nanos, Math.max(1, idleConnections.nanosUntilSettled()));
        }
        return nanos == Long.MAX_VALUE ? 0 : nanos;
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

    /** Sets the address that the endpoint list gives. Called by the load balancer's thread. */
    void addressChanged(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            closeIdleConnections();
        }
    }

    /**
     * Handles the backend's removal from the list; attempts in flight may still complete. Called by
     * the load balancer's thread.
     */
    void removedFromList() {
        ready = false;
        removed = true;
        closeIdleConnections();
    }

    /**
     * Closes the idle connections, because the load balancer finds that they cost more than they
     * save, or because they lead to where the backend is no longer. At most one message is pending,
     * however often it is called, and none for the many backends without a connection. Called by
     * the load balancer's thread.
     */
    void closeIdleConnections() {
        if (connectionCount.get() > 0 && idleClosePending.compareAndSet(false, true)) {
            mailbox.put(
                    () -> {
                        idleClosePending.set(false);
                        idleConnections.closeAll();
                    });
        }
    }

    /** For tests only: runs a task as a message of the actor, after all messages sent so far. */
    void runAfterPending(Runnable task) {
        mailbox.put(task);
    }

    /** Called by a connection whose attempt has ended and which can carry the next one. */
    void onIdle(BackendConnection connection) {
        mailbox.put(
                () -> {
                    if (mayBeReused(connection)) {
                        idleConnections.add(connection);
                    } else {
                        connection.closeNow();
                    }
                });
    }

    private boolean mayBeReused(BackendConnection connection) {
        return !removed
                && connection.address().equals(address)
                && resources.keepAlive().isReuseAllowed();
    }

    /**
     * Called by a connection that broke during an attempt that was not its first.
     *
     * @param nanosAfterSend the time since the attempt was sent
     */
    void reusedConnectionBroke(long nanosAfterSend) {
        resources.keepAlive().reusedConnectionBroke(nanosAfterSend);
    }

    /** Called by a connection that has released all its resources. */
    void connectionClosed(BackendConnection connection) {
        release(connection);
        mailbox.put(() -> idleConnections.remove(connection));
    }

    private void release(BackendConnection connection) {
        resources.open().remove(connection);
        resources.permits().release();
        connectionCount.decrementAndGet();
    }

    private void sendWaitingAttempts() {
        while (!waitingAttempts.isEmpty() && idleConnections.nanosUntilSettled() <= 0) {
            send(waitingAttempts.poll());
        }
    }

    private void send(ClientRequest.Attempt attempt) {
        if (!trySend(attempt)) {
            permitWaits.add(new PermitWait(attempt, System.nanoTime() + PERMIT_WAIT_NANOS));
            resources.permits().beginWait();
        }
    }

    /**
     * Sends an attempt, or settles it, or has it wait for a connection to settle.
     *
     * @return false if it needs a permit for a new connection and none is free
     */
    private boolean trySend(ClientRequest.Attempt attempt) {
        if (!attempt.mayStart(resources.clock().now())) {
            // It waited in the mailbox: for a client that has left, no connection is opened or
            // used.
            attempt.settle(AttemptOutcome.NOT_SENT);
            return true;
        }
        // When expired connections were closed only at intervals, some were used after the
        // backend's idle timeout, and were reset.
        idleConnections.closeExpired();
        if (!resources.keepAlive().isReuseAllowed()) {
            idleConnections.closeAll();
        }
        if (sendOnIdleConnection(attempt)) {
            return true;
        }
        if (idleConnections.size() > waitingAttempts.size()) {
            waitingAttempts.add(attempt);
            return true;
        }
        if (!resources.permits().tryAcquire()) {
            return false;
        }
        open(attempt);
        return true;
    }

    /** Sends an attempt on an idle connection, or settles it; false if that is not possible. */
    private boolean sendOnIdleConnection(ClientRequest.Attempt attempt) {
        for (BackendConnection connection = idleConnections.takeSettled();
                connection != null;
                connection = idleConnections.takeSettled()) {
            if (!connection.address().equals(address)) {
                connection.closeNow();
                continue;
            }
            if (!attempt.attach(connection)) {
                idleConnections.putBack(connection);
                return true;
            }
            if (attempt.req.body.isInFile() && sendOnWorkerThread(connection, attempt)) {
                return true;
            }
            if (connection.send(attempt) || attempt.isSettled()) {
                return true;
            }
        }
        return false;
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
                    resources.permits().makeRoomForWaiting();
                    return;
                }
                log.warn("out of sockets", "no permit for a connection is free; an attempt failed");
                wait.attempt().settle(AttemptOutcome.NOT_SENT);
            }
            permitWaits.poll();
            resources.permits().endWait();
        }
    }

    /** Opens a connection for an attempt, which has a permit. */
    private void open(ClientRequest.Attempt attempt) {
        BackendConnection connection = new BackendConnection(this, address, resources, attempt);
        connectionCount.incrementAndGet();
        if (!resources.open().add(connection)) {
            // The proxy is closing.
            release(connection);
            attempt.settle(AttemptOutcome.NOT_SENT);
            return;
        }
        try {
            resources.workers().serve(connection);
        } catch (OutOfMemoryError e) {
            // No thread is available: this attempt fails; the proxy must not end.
            log.warn("no thread", "no thread is available for a connection; an attempt failed");
            release(connection);
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
            resources
                    .workers()
                    .serve(
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

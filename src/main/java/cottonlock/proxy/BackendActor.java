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
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;

/** A backend's actor: the one owner of the connections to it, kept ones first. */
final class BackendActor implements Runnable {
    /** More than the sockets there are: what the connections tell always fits. */
    private static final int MAILBOX_CAPACITY = 4_096;

    /** Parts of the idle time after which a connection is retired, before the backend does it. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.8;

    /**
     * Nanoseconds after an answer within which a second one may come, some milliseconds late: used
     * again at once, the connection would give it to the next attempt.
     */
    static final long SETTLE_NANOS = 5_000_000;

    /** How often the resting connections are looked through at least, in microseconds. */
    private static final long IDLE_CHECK_MICROS = 500_000;

    private final Mailbox mailbox;
    private final ConnectionPermits permits;
    private final KeepAlivePolicy keepAlive;
    private final ConnectionThreads workers;
    private final int connectTimeoutMillis;
    private final long idleTimeoutNanos;
    private final long settleNanos;
    private final BufferPool buffers;
    private final HttpWriter writer;
    private final WriteTimeoutWatchdog watchdog;
    private final TickClock clock;
    private final Metrics metrics;
    private final RateLimitedLog log;
    private InetSocketAddress address;
    private final Deque<BackendConnection> idleConnections = new ArrayDeque<>();
    private final Set<BackendConnection> connections = new HashSet<>();

    /**
     * Attempts that wait for connections to settle: sooner than a new one is up, which also costs
     * more.
     */
    private final Deque<ClientRequest.Attempt> waitingAttempts = new ArrayDeque<>();

    private boolean closing;

    /**
     * Whether it has a thread, or is just being given one: from its first attempt on, for many a
     * list names hundreds of which a balancer needs a few. Until then the module's thread owns what
     * it holds.
     */
    private volatile boolean started;

    /** Set by the thread that started it; null before. */
    private volatile Thread thread;

    /**
     * Whether no thread could be had: what waits is settled by the one that should have started it.
     */
    private boolean threadUnavailable;

    /**
     * What the list and the operators said last; told by the module's thread, looked at where bytes
     * go out.
     */
    private volatile boolean ready = true;

    /** Times in milliseconds; how long a connection settles, in nanoseconds. */
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
        this.connectTimeoutMillis = (int) Math.max(1, Math.min(Integer.MAX_VALUE, connectTimeoutMillis));
        this.idleTimeoutNanos = (long) (idleTimeoutMillis * IDLE_TIMEOUT_FRACTION * 1_000_000);
        this.settleNanos = settleNanos;
        this.buffers = buffers;
        this.writer = writer;
        this.watchdog = watchdog;
        this.clock = clock;
        this.metrics = metrics;
        this.log = log;
        this.mailbox = new Mailbox(MAILBOX_CAPACITY, log);
    }

    /**
     * From the module's thread, behind the attempt: true where the caller has to have it started.
     */
    boolean markStarted() {
        boolean firstCall = !started;
        started = true;
        return firstCall;
    }

    /** From the module's thread: it was not started after all. */
    void clearStarted() {
        started = false;
    }

    /** Starts its thread; never on the module's, which would wait for it. */
    void startThread() {
        try {
            Thread backendThread = Sockets.thread("backend", this);
            backendThread.start();
            thread = backendThread;
        } catch (OutOfMemoryError e) {
            // No thread can be had: these attempts fail, the next one tries again, the proxy must
            // not end.
            log.warn("no thread", "attempts got no connection");
            started = false;
            threadUnavailable = true;
            mailbox.drain();
            threadUnavailable = false;
        }
    }

    /** Its thread, once it has been started. */
    Optional<Thread> thread() {
        return Optional.ofNullable(thread);
    }

    /** From the module's thread, after {@link #leave}: whether no thread runs it any more. */
    boolean isTerminated() {
        Thread backendThread = thread;
        return !started || (backendThread != null && !backendThread.isAlive());
    }

    @Override
    public void run() {
        started = true;
        permits.register(this);
        try {
            while (!closing || !connections.isEmpty() || !waitingAttempts.isEmpty()) {
                mailbox.next(waitingAttempts.isEmpty() ? IDLE_CHECK_MICROS : nanosUntilSettled() / 1_000);
                closeExpiredIdle();
                while (!waitingAttempts.isEmpty() && nanosUntilSettled() <= 0) {
                    send(waitingAttempts.poll());
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            permits.unregister(this);
        }
    }

    /** From the module's thread: whether what is still on its way to a connection may go out. */
    void setReady(boolean newReady) {
        ready = newReady;
    }

    /** Whether anything new may be written to it; from any thread. */
    boolean isReady() {
        return ready;
    }

    /** From the module's thread, which never waits here: false when the mailbox is full. */
    boolean offer(ClientRequest.Attempt attempt) {
        return mailbox.offer(() -> send(attempt));
    }

    /**
     * From the module's thread: without a thread it has no connections, and nobody to read this.
     */
    private void offerIfStarted(Runnable message) {
        if (started) {
            mailbox.offer(message);
        }
    }

    /** From the module's thread: the list has told where it listens now. */
    void addressChanged(InetSocketAddress newAddress) {
        if (!started) {
            address = newAddress;
        }
        offerIfStarted(
                () -> {
                    if (!newAddress.equals(address)) {
                        address = newAddress;
                        idleConnections.forEach(BackendConnection::closeNow);
                        idleConnections.clear();
                    }
                });
    }

    /** From the module's thread: it has gone from the list; what is out may still end. */
    void removedFromList() {
        ready = false;
        offerIfStarted(
                () -> {
                    closing = true;
                    idleConnections.forEach(BackendConnection::closeNow);
                    idleConnections.clear();
                });
    }

    /** From the module's thread: what rests is worth less than it costs. */
    void closeIdleConnections() {
        offerIfStarted(
                () -> {
                    idleConnections.forEach(BackendConnection::closeNow);
                    idleConnections.clear();
                });
    }

    /** From another backend's actor: sockets have run out, so the longest at rest is closed. */
    void closeOldestIdle() {
        mailbox.offer(
                () -> {
                    BackendConnection oldest = idleConnections.pollFirst();
                    if (oldest != null) {
                        oldest.closeNow();
                    }
                });
    }

    /** The proxy closes: nothing that is out is waited for. */
    void stop() {
        offerIfStarted(
                () -> {
                    closing = true;
                    connections.forEach(BackendConnection::closeNow);
                });
    }

    /** For tests alone: carried out on its thread, after all that it has been told. */
    void runAfterPending(Runnable task) {
        mailbox.put(task);
    }

    /** From a connection: its attempt is over and it may carry the next. */
    void onIdle(BackendConnection connection) {
        mailbox.put(
                () -> {
                    if (closing
                            || !connection.address().equals(address)
                            || !keepAlive.isReuseAllowed()) {
                        connection.closeNow();
                    } else {
                        connection.idleSinceNanos = System.nanoTime();
                        idleConnections.addLast(connection);
                    }
                });
    }

    /**
     * From a connection: its attempt, not its first, broke off so many nanoseconds after it was
     * sent.
     */
    void reusedConnectionBroke(long nanosAfterSend) {
        keepAlive.reusedConnectionBroke(nanosAfterSend);
    }

    /** From a connection: it has given back all that it held. */
    void connectionClosed(BackendConnection connection) {
        permits.release();
        mailbox.put(
                () -> {
                    connections.remove(connection);
                    idleConnections.remove(connection);
                });
    }

    /** Nanoseconds until the connection that has rested longest has settled; 0 where none rests. */
    private long nanosUntilSettled() {
        return idleConnections.isEmpty()
                ? 0
                : settleNanos - (System.nanoTime() - idleConnections.peekFirst().idleSinceNanos);
    }

    /** Takes the connection that was used last, of those that have settled; null if none has. */
    private BackendConnection takeSettledConnection() {
        long now = System.nanoTime();
        for (Iterator<BackendConnection> iterator = idleConnections.descendingIterator(); iterator.hasNext(); ) {
            BackendConnection connection = iterator.next();
            if (now - connection.idleSinceNanos >= settleNanos) {
                iterator.remove();
                return connection;
            }
        }
        return null;
    }

    private void send(ClientRequest.Attempt attempt) {
        if (!attempt.mayStart(clock.now())) {
            // It waited in the mailbox: for a client that has left no connection is made or used.
            attempt.settle(AttemptOutcome.NOT_SENT);
            return;
        }
        if (threadUnavailable) {
            attempt.settle(AttemptOutcome.CONNECT_FAILED);
            return;
        }
        // Looked through now and then only, some had rested too long when they were used, and were
        // reset.
        closeExpiredIdle();
        if (!keepAlive.isReuseAllowed()) {
            idleConnections.forEach(BackendConnection::closeNow);
            idleConnections.clear();
        }
        for (BackendConnection connection = takeSettledConnection(); connection != null; connection = takeSettledConnection()) {
            if (!attempt.attach(connection)) {
                idleConnections.addLast(connection);
                return;
            }
            if (attempt.req.body.isInFile() && sendOnWorkerThread(connection, attempt)) {
                return;
            }
            if (connection.send(attempt)) {
                return;
            }
            if (attempt.isSettled()) {
                return;
            }
        }
        if (idleConnections.size() > waitingAttempts.size()) {
            waitingAttempts.add(attempt);
            return;
        }
        if (!permits.acquire()) {
            log.warn("out of sockets", "an attempt got no connection");
            attempt.settle(AttemptOutcome.CONNECT_FAILED);
            return;
        }
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
            // No thread can be had: this attempt fails, the proxy must not.
            log.warn("no thread", "an attempt got no connection");
            connections.remove(connection);
            permits.release();
            attempt.settle(AttemptOutcome.CONNECT_FAILED);
        }
    }

    /**
     * A long body is written on another thread: a backend that reads slowly must not stop this
     * actor.
     */
    private boolean sendOnWorkerThread(BackendConnection connection, ClientRequest.Attempt attempt) {
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

    private void closeExpiredIdle() {
        long now = System.nanoTime();
        while (!idleConnections.isEmpty() && now - idleConnections.peekFirst().idleSinceNanos > idleTimeoutNanos) {
            idleConnections.pollFirst().closeNow();
        }
    }
}

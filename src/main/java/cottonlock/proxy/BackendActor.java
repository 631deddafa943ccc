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
    private static final double IDLE_TIMEOUT_PART = 0.8;

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
    private final int connectLimit;
    private final long retireAfter;
    private final long settle;
    private final BufferPool buffers;
    private final HttpWriter writer;
    private final WriteTimeoutWatchdog watchdog;
    private final TickClock clock;
    private final Metrics figures;
    private final RateLimitedLog log;
    private InetSocketAddress address;
    private final Deque<BackendConnection> resting = new ArrayDeque<>();
    private final Set<BackendConnection> connections = new HashSet<>();

    /**
     * Attempts that wait for connections to settle: sooner than a new one is up, which also costs
     * more.
     */
    private final Deque<ClientRequest.Attempt> held = new ArrayDeque<>();

    private boolean leaving;

    /**
     * Whether it has a thread, or is just being given one: from its first attempt on, for many a
     * list names hundreds of which a balancer needs a few. Until then the module's thread owns what
     * it holds.
     */
    private volatile boolean begun;

    /** Set by the thread that started it; null before. */
    private volatile Thread thread;

    /**
     * Whether no thread could be had: what waits is settled by the one that should have started it.
     */
    private boolean threadless;

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
            long connectLimit,
            long idle,
            long settle,
            BufferPool buffers,
            HttpWriter writer,
            WriteTimeoutWatchdog watchdog,
            TickClock clock,
            Metrics figures,
            RateLimitedLog log) {
        this.address = address;
        this.permits = permits;
        this.keepAlive = keepAlive;
        this.workers = workers;
        this.connectLimit = (int) Math.max(1, Math.min(Integer.MAX_VALUE, connectLimit));
        this.retireAfter = (long) (idle * IDLE_TIMEOUT_PART * 1_000_000);
        this.settle = settle;
        this.buffers = buffers;
        this.writer = writer;
        this.watchdog = watchdog;
        this.clock = clock;
        this.figures = figures;
        this.log = log;
        this.mailbox = new Mailbox(MAILBOX_CAPACITY, log);
    }

    /**
     * From the module's thread, behind the attempt: true where the caller has to have it started.
     */
    boolean begins() {
        boolean first = !begun;
        begun = true;
        return first;
    }

    /** From the module's thread: it was not started after all. */
    void noThread() {
        begun = false;
    }

    /** Starts its thread; never on the module's, which would wait for it. */
    void begin() {
        try {
            Thread started = Sockets.thread("backend", this);
            started.start();
            thread = started;
        } catch (OutOfMemoryError e) {
            // No thread can be had: these attempts fail, the next one tries again, the proxy must
            // not end.
            log.warn("no thread", "attempts got no connection");
            begun = false;
            threadless = true;
            mailbox.drain();
            threadless = false;
        }
    }

    /** Its thread, once it has been started. */
    Optional<Thread> thread() {
        return Optional.ofNullable(thread);
    }

    /** From the module's thread, after {@link #leave}: whether no thread runs it any more. */
    boolean isOver() {
        Thread started = thread;
        return !begun || (started != null && !started.isAlive());
    }

    @Override
    public void run() {
        begun = true;
        permits.join(this);
        try {
            while (!leaving || !connections.isEmpty() || !held.isEmpty()) {
                mailbox.runNext(held.isEmpty() ? IDLE_CHECK_MICROS : unsettled() / 1_000);
                retire();
                while (!held.isEmpty() && unsettled() <= 0) {
                    send(held.poll());
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            permits.leave(this);
        }
    }

    /** From the module's thread: whether what is still on its way to a connection may go out. */
    void ready(boolean now) {
        ready = now;
    }

    /** Whether anything new may be written to it; from any thread. */
    boolean ready() {
        return ready;
    }

    /** From the module's thread, which never waits here: false when the mailbox is full. */
    boolean attempt(ClientRequest.Attempt attempt) {
        return mailbox.offer(() -> send(attempt));
    }

    /**
     * From the module's thread: without a thread it has no connections, and nobody to read this.
     */
    private void tell(Runnable message) {
        if (begun) {
            mailbox.offer(message);
        }
    }

    /** From the module's thread: the list has told where it listens now. */
    void listensAt(InetSocketAddress now) {
        if (!begun) {
            address = now;
        }
        tell(
                () -> {
                    if (!now.equals(address)) {
                        address = now;
                        resting.forEach(BackendConnection::kill);
                        resting.clear();
                    }
                });
    }

    /** From the module's thread: it has gone from the list; what is out may still end. */
    void leave() {
        ready = false;
        tell(
                () -> {
                    leaving = true;
                    resting.forEach(BackendConnection::kill);
                    resting.clear();
                });
    }

    /** From the module's thread: what rests is worth less than it costs. */
    void release() {
        tell(
                () -> {
                    resting.forEach(BackendConnection::kill);
                    resting.clear();
                });
    }

    /** From another backend's actor: sockets have run out, so the longest at rest is closed. */
    void spareOne() {
        mailbox.offer(
                () -> {
                    BackendConnection spare = resting.pollFirst();
                    if (spare != null) {
                        spare.kill();
                    }
                });
    }

    /** The proxy closes: nothing that is out is waited for. */
    void end() {
        tell(
                () -> {
                    leaving = true;
                    connections.forEach(BackendConnection::kill);
                });
    }

    /** For tests alone: carried out on its thread, after all that it has been told. */
    void then(Runnable next) {
        mailbox.put(next);
    }

    /** From a connection: its attempt is over and it may carry the next. */
    void rests(BackendConnection connection) {
        mailbox.put(
                () -> {
                    if (leaving
                            || !connection.address().equals(address)
                            || !keepAlive.worthwhile()) {
                        connection.kill();
                    } else {
                        connection.restingSince = System.nanoTime();
                        resting.addLast(connection);
                    }
                });
    }

    /**
     * From a connection: its attempt, not its first, broke off so many nanoseconds after it was
     * sent.
     */
    void brokeWhenUsedAgain(long after) {
        keepAlive.broke(after);
    }

    /** From a connection: it has given back all that it held. */
    void ended(BackendConnection connection) {
        permits.give();
        mailbox.put(
                () -> {
                    connections.remove(connection);
                    resting.remove(connection);
                });
    }

    /** Nanoseconds until the connection that has rested longest has settled; 0 where none rests. */
    private long unsettled() {
        return resting.isEmpty()
                ? 0
                : settle - (System.nanoTime() - resting.peekFirst().restingSince);
    }

    /** Takes the connection that was used last, of those that have settled; null if none has. */
    private BackendConnection settled() {
        long now = System.nanoTime();
        for (Iterator<BackendConnection> last = resting.descendingIterator(); last.hasNext(); ) {
            BackendConnection connection = last.next();
            if (now - connection.restingSince >= settle) {
                last.remove();
                return connection;
            }
        }
        return null;
    }

    private void send(ClientRequest.Attempt attempt) {
        if (!attempt.mayBegin(clock.now())) {
            // It waited in the mailbox: for a client that has left no connection is made or used.
            attempt.settle(AttemptOutcome.NOT_SENT);
            return;
        }
        if (threadless) {
            attempt.settle(AttemptOutcome.CONNECT_FAILED);
            return;
        }
        // Looked through now and then only, some had rested too long when they were used, and were
        // reset.
        retire();
        if (!keepAlive.worthwhile()) {
            resting.forEach(BackendConnection::kill);
            resting.clear();
        }
        for (BackendConnection connection = settled(); connection != null; connection = settled()) {
            if (!attempt.attach(connection)) {
                resting.addLast(connection);
                return;
            }
            if (attempt.req.body.isInFile() && elsewhere(connection, attempt)) {
                return;
            }
            if (connection.send(attempt)) {
                return;
            }
            if (attempt.settled()) {
                return;
            }
        }
        if (resting.size() > held.size()) {
            held.add(attempt);
            return;
        }
        if (!permits.take()) {
            log.warn("out of sockets", "an attempt got no connection");
            attempt.settle(AttemptOutcome.CONNECT_FAILED);
            return;
        }
        BackendConnection connection =
                new BackendConnection(
                        this,
                        address,
                        connectLimit,
                        buffers,
                        writer,
                        watchdog,
                        clock,
                        figures,
                        log,
                        attempt);
        connections.add(connection);
        try {
            workers.serve(connection);
        } catch (OutOfMemoryError e) {
            // No thread can be had: this attempt fails, the proxy must not.
            log.warn("no thread", "an attempt got no connection");
            connections.remove(connection);
            permits.give();
            attempt.settle(AttemptOutcome.CONNECT_FAILED);
        }
    }

    /**
     * A long body is written on another thread: a backend that reads slowly must not stop this
     * actor.
     */
    private boolean elsewhere(BackendConnection connection, ClientRequest.Attempt attempt) {
        try {
            workers.serve(
                    () -> {
                        if (!connection.send(attempt) && !attempt.settled()) {
                            mailbox.put(() -> send(attempt));
                        }
                    });
            return true;
        } catch (OutOfMemoryError e) {
            return false;
        }
    }

    private void retire() {
        long now = System.nanoTime();
        while (!resting.isEmpty() && now - resting.peekFirst().restingSince > retireAfter) {
            resting.pollFirst().kill();
        }
    }
}

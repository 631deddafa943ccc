package cottonlock.proxy;

import cottonlock.admin.Metrics;
import cottonlock.proxy.concurrent.ActorTimers;
import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.http.BufferPool;
import cottonlock.proxy.http.HttpWriter;
import cottonlock.proxy.io.RateLimitedLog;
import java.util.concurrent.Executor;

/**
 * What the actors of all backends and their connections share. There may be thousands of backends,
 * so that none has threads, buffers or timers of its own while it has no work.
 *
 * @param timeouts how long connections may take and rest
 * @param permits limits the number of connections
 * @param open the connections that are open
 * @param keepAlive whether connections are kept for the next attempt
 * @param workers the threads of connections
 * @param actorExecutor runs the actors' messages; its caller must not wait
 * @param timers sends the actors the events of their timers
 */
record BackendResources(
        ConnectionTimeouts timeouts,
        ConnectionPermits permits,
        OpenBackendConnections open,
        KeepAlivePolicy keepAlive,
        WorkerThreads workers,
        Executor actorExecutor,
        ActorTimers timers,
        BufferPool buffers,
        HttpWriter writer,
        WriteTimeoutWatchdog watchdog,
        TickClock clock,
        Metrics metrics,
        RateLimitedLog log) {
    /**
     * Fraction of the backends' idle timeout after which a connection is closed, before the backend
     * does it.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.8;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * How long connections to backends may take and rest.
     *
     * @param connectMillis how long connecting may take, in milliseconds
     * @param idleMillis the backends' idle timeout in milliseconds
     * @param settleNanos how long a connection rests after a response, in nanoseconds
     */
    record ConnectionTimeouts(long connectMillis, long idleMillis, long settleNanos) {
        /** The connect timeout in milliseconds, as sockets take it. */
        int socketConnectMillis() {
            return (int) Math.max(1, Math.min(Integer.MAX_VALUE, connectMillis));
        }

        /** Nanoseconds after which an idle connection is closed. */
        long maxIdleNanos() {
            return (long) (idleMillis * IDLE_TIMEOUT_FRACTION * NANOS_PER_MILLI);
        }
    }
}

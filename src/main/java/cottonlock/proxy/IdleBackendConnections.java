package cottonlock.proxy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * The idle connections to one backend, in the order in which they became idle. Used by the
 * backend's actor only; other threads may take connections from {@link OpenBackendConnections} and
 * close them meanwhile, and they are skipped here then.
 */
final class IdleBackendConnections {
    private final OpenBackendConnections open;
    private final long settleNanos;
    private final long timeoutNanos;
    private final Deque<BackendConnection> connections = new ArrayDeque<>(1);

    /**
     * No connections.
     *
     * @param open the connections to all backends
     * @param settleNanos the time after a response within which a connection is not used again
     * @param timeoutNanos the time after which a connection is closed
     */
    IdleBackendConnections(OpenBackendConnections open, long settleNanos, long timeoutNanos) {
        this.open = open;
        this.settleNanos = settleNanos;
        this.timeoutNanos = timeoutNanos;
    }

    int size() {
        return connections.size();
    }

    /** Adds a connection that has become idle. */
    void add(BackendConnection connection) {
        connection.idleSinceNanos = System.nanoTime();
        putBack(connection);
    }

    /** Puts a connection back that was taken and not used. */
    void putBack(BackendConnection connection) {
        connections.addLast(connection);
        open.addIdle(connection);
    }

    /** Removes a connection that has ended; it may have become idle just before. */
    void remove(BackendConnection connection) {
        connections.remove(connection);
        open.takeIdle(connection);
    }

    /**
     * Nanoseconds until the connection that has been idle longest has settled; 0 if none is idle.
     */
    long nanosUntilSettled() {
        return connections.isEmpty() ? 0 : settleNanos - oldestIdleNanos();
    }

    /**
     * Nanoseconds until {@link #closeExpired} has a connection to close; a large number if none.
     */
    long nanosUntilExpired() {
        return connections.isEmpty() ? Long.MAX_VALUE : timeoutNanos - oldestIdleNanos();
    }

    private long oldestIdleNanos() {
        return System.nanoTime() - connections.peekFirst().idleSinceNanos;
    }

    /** Takes the most recently used of the connections that have settled; null if there is none. */
    BackendConnection takeSettled() {
        long now = System.nanoTime();
        for (Iterator<BackendConnection> iterator = connections.descendingIterator();
                iterator.hasNext(); ) {
            BackendConnection connection = iterator.next();
            if (now - connection.idleSinceNanos >= settleNanos) {
                iterator.remove();
                if (open.takeIdle(connection)) {
                    return connection;
                }
            }
        }
        return null;
    }

    /** Closes the connections that have been idle for too long. */
    void closeExpired() {
        while (!connections.isEmpty() && oldestIdleNanos() > timeoutNanos) {
            close(connections.pollFirst());
        }
    }

    void closeAll() {
        connections.forEach(this::close);
        connections.clear();
    }

    private void close(BackendConnection connection) {
        if (open.takeIdle(connection)) {
            connection.closeNow();
        }
    }
}

package cottonlock.proxy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** The idle connections to one backend, in the order in which they became idle. One thread. */
final class IdleBackendConnections {
    private final long settleNanos;
    private final long timeoutNanos;
    private final Deque<BackendConnection> connections = new ArrayDeque<>();

    /**
     * No connections.
     *
     * @param settleNanos the time after a response within which a connection is not used again
     * @param timeoutNanos the time after which a connection is closed
     */
    IdleBackendConnections(long settleNanos, long timeoutNanos) {
        this.settleNanos = settleNanos;
        this.timeoutNanos = timeoutNanos;
    }

    int size() {
        return connections.size();
    }

    /** Adds a connection that has become idle. */
    void add(BackendConnection connection) {
        connection.idleSinceNanos = System.nanoTime();
        connections.addLast(connection);
    }

    /** Puts a connection back that was taken and not used. */
    void putBack(BackendConnection connection) {
        connections.addLast(connection);
    }

    void remove(BackendConnection connection) {
        connections.remove(connection);
    }

    /**
     * Nanoseconds until the connection that has been idle longest has settled; 0 if none is idle.
     */
    long nanosUntilSettled() {
        return connections.isEmpty()
                ? 0
                : settleNanos - (System.nanoTime() - connections.peekFirst().idleSinceNanos);
    }

    /** Takes the most recently used of the connections that have settled; null if there is none. */
    BackendConnection takeSettled() {
        long now = System.nanoTime();
        for (Iterator<BackendConnection> iterator = connections.descendingIterator();
                iterator.hasNext(); ) {
            BackendConnection connection = iterator.next();
            if (now - connection.idleSinceNanos >= settleNanos) {
                iterator.remove();
                return connection;
            }
        }
        return null;
    }

    /** Closes the connections that have been idle for too long. */
    void closeExpired() {
        long now = System.nanoTime();
        while (!connections.isEmpty()
                && now - connections.peekFirst().idleSinceNanos > timeoutNanos) {
            connections.pollFirst().closeNow();
        }
    }

    /** Closes the connection that has been idle longest, if there is one. */
    void closeOldest() {
        BackendConnection oldest = connections.pollFirst();
        if (oldest != null) {
            oldest.closeNow();
        }
    }

    void closeAll() {
        connections.forEach(BackendConnection::closeNow);
        connections.clear();
    }
}

package cottonlock.proxy;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The open connections to all backends, and which of them are idle. An idle connection is taken
 * out, to be used or to be closed, by one thread only. Thread-safe.
 */
final class OpenBackendConnections {
    private final Set<BackendConnection> open = new HashSet<>();

    /** The one that has been idle longest is the first. */
    private final Set<BackendConnection> idle = new LinkedHashSet<>();

    /** Those that were closed to make room for others and have not ended yet. */
    private final Set<BackendConnection> ending = new HashSet<>();

    private boolean closed;

    /** Adds a connection that is about to be opened; false when the proxy closes. */
    synchronized boolean add(BackendConnection connection) {
        return !closed && open.add(connection);
    }

    /** Removes a connection that has ended. */
    synchronized void remove(BackendConnection connection) {
        idle.remove(connection);
        ending.remove(connection);
        open.remove(connection);
    }

    /** Records that a connection has become idle. */
    synchronized void addIdle(BackendConnection connection) {
        idle.add(connection);
    }

    /**
     * Takes an idle connection; false when another thread has, which has closed it or is about to.
     */
    synchronized boolean takeIdle(BackendConnection connection) {
        return idle.remove(connection);
    }

    /**
     * Closes the connections that have been idle longest, until so many are ending that were closed
     * for this reason, or none is idle.
     */
    void makeRoom(int count) {
        for (BackendConnection oldest = takeForRoom(count);
                oldest != null;
                oldest = takeForRoom(count)) {
            oldest.closeNow();
        }
    }

    private synchronized BackendConnection takeForRoom(int count) {
        Iterator<BackendConnection> oldestFirst = idle.iterator();
        if (ending.size() >= count || !oldestFirst.hasNext()) {
            return null;
        }
        BackendConnection oldest = oldestFirst.next();
        oldestFirst.remove();
        ending.add(oldest);
        return oldest;
    }

    /** Closes all connections that are idle. */
    void closeAllIdle() {
        makeRoom(Integer.MAX_VALUE);
    }

    /** Closes all connections without waiting for attempts in flight, and accepts no others. */
    void close() {
        List<BackendConnection> all;
        synchronized (this) {
            closed = true;
            all = List.copyOf(open);
        }
        all.forEach(BackendConnection::closeNow);
    }
}

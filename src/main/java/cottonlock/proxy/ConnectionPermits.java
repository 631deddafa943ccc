package cottonlock.proxy;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;

/**
 * Limits the number of connections to backends; shared by the backends' actors. Each connection, of
 * a client or to a backend, has a thread, so their sum is limited by memory: neither of them may
 * take what the others use. Thread-safe.
 */
final class ConnectionPermits implements ClientLimit {
    /** Part of all connections that are open to backends however many clients are connected. */
    private static final int BACKEND_PART_DIVISOR = 4;

    /** Part of the permits that idle connections do not keep. */
    private static final int SPARE_PART_DIVISOR = 32;

    private final int maxConnections;
    private final ConnectionMemory memory;
    private final IntSupplier clientCount;
    private final AtomicInteger inUse = new AtomicInteger();

    /** The attempts that wait for a permit, at any backend. */
    private final AtomicInteger waiting = new AtomicInteger();

    private final OpenBackendConnections open;

    /** A limit that does not depend on clients. */
    ConnectionPermits(int maxConnections, OpenBackendConnections open) {
        this(maxConnections, () -> Integer.MAX_VALUE, () -> 0, open);
    }

    /**
     * Limits that depend on each other.
     *
     * @param maxConnections the connections to backends at most
     * @param memory the memory for connections to backends and of clients
     * @param clientCount the connections of clients at present
     * @param open the connections to backends, of which idle ones are closed to make room
     */
    ConnectionPermits(
            int maxConnections,
            ConnectionMemory memory,
            IntSupplier clientCount,
            OpenBackendConnections open) {
        this.maxConnections = maxConnections;
        this.memory = memory;
        this.clientCount = clientCount;
        this.open = open;
    }

    /**
     * Takes a permit, without waiting; false when all are in use. When few are left, a connection
     * that is idle is closed, so that the next attempt need not wait for one.
     */
    boolean tryAcquire() {
        int max = maxAtPresent();
        int usedBefore = inUse.getAndUpdate(n -> n < max ? n + 1 : n);
        if (usedBefore >= max - max / SPARE_PART_DIVISOR) {
            makeRoom(1);
        }
        return usedBefore < max;
    }

    /** Records that an attempt begins to wait for a permit. */
    void beginWait() {
        waiting.incrementAndGet();
    }

    /** Records that an attempt no longer waits for a permit. */
    void endWait() {
        waiting.decrementAndGet();
    }

    /**
     * Closes idle connections, one for each attempt that waits: those at some backends must not
     * prevent attempts at the others.
     */
    void makeRoomForWaiting() {
        open.makeRoom(waiting.get());
    }

    private int maxAtPresent() {
        int together = memory.maxConnections();
        int leftByClients = together - clientCount.getAsInt();
        return Math.min(maxConnections, Math.max(together / BACKEND_PART_DIVISOR, leftByClients));
    }

    void release() {
        inUse.decrementAndGet();
    }

    @Override
    public int maxClients() {
        return clientsOf(memory.maxConnections());
    }

    @Override
    public int maxOpenClients() {
        return clientsOf(memory.maxOpenConnections());
    }

    private int clientsOf(int together) {
        return together - Math.max(inUse.get(), together / BACKEND_PART_DIVISOR);
    }

    @Override
    public void makeRoom(int count) {
        open.makeRoom(count);
    }

    @Override
    public boolean isMemoryShared() {
        return memory.isShared();
    }

    @Override
    public void releaseUnused() {
        memory.releaseUnused();
    }
}

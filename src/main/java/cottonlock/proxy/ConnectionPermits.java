package cottonlock.proxy;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
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

    private final int maxConnections;
    private final IntSupplier maxWithClients;
    private final IntSupplier clientCount;
    private final AtomicInteger inUse = new AtomicInteger();
    private final List<BackendActor> backends = new CopyOnWriteArrayList<>();

    /** A limit that does not depend on clients. */
    ConnectionPermits(int maxConnections) {
        this(maxConnections, () -> Integer.MAX_VALUE, () -> 0);
    }

    /**
     * Limits that depend on each other.
     *
     * @param maxConnections the connections to backends at most
     * @param maxWithClients the connections to backends and of clients at most, at present
     * @param clientCount the connections of clients at present
     */
    ConnectionPermits(int maxConnections, IntSupplier maxWithClients, IntSupplier clientCount) {
        this.maxConnections = maxConnections;
        this.maxWithClients = maxWithClients;
        this.clientCount = clientCount;
    }

    void register(BackendActor actor) {
        backends.add(actor);
    }

    void unregister(BackendActor actor) {
        backends.remove(actor);
    }

    /**
     * Takes a permit, without waiting; false when all are in use. Connections without an attempt
     * are closed then, so that one may soon be free.
     */
    boolean tryAcquire() {
        int max = maxAtPresent();
        if (inUse.getAndUpdate(n -> n < max ? n + 1 : n) < max) {
            return true;
        }
        makeRoom();
        return false;
    }

    private int maxAtPresent() {
        int together = maxWithClients.getAsInt();
        int leftByClients = together - clientCount.getAsInt();
        return Math.min(maxConnections, Math.max(together / BACKEND_PART_DIVISOR, leftByClients));
    }

    void release() {
        inUse.decrementAndGet();
    }

    @Override
    public int maxClients() {
        return maxWithClients.getAsInt() - inUse.get();
    }

    @Override
    public void makeRoom() {
        // Idle connections to some backends must not prevent attempts at the others.
        backends.forEach(BackendActor::closeOldestIdle);
    }
}

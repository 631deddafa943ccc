package cottonlock.proxy;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** The sockets there may be to backends, shared by their actors. */
final class ConnectionPermits {
    /** Milliseconds for the others to close a connection that rests: far below any due time. */
    private static final long PERMIT_WAIT_MILLIS = 20;

    private final Semaphore free;
    private final List<BackendActor> backends = new CopyOnWriteArrayList<>();

    ConnectionPermits(int maxConnections) {
        this.free = new Semaphore(maxConnections);
    }

    void register(BackendActor actor) {
        backends.add(actor);
    }

    void unregister(BackendActor actor) {
        backends.remove(actor);
    }

    /** Takes a permit; false when all are in use. */
    boolean acquire() {
        if (free.tryAcquire()) {
            return true;
        }
        // Connections that rest at some backends must not shut out work for the others.
        backends.forEach(BackendActor::closeOldestIdle);
        try {
            return free.tryAcquire(PERMIT_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    void release() {
        free.release();
    }
}

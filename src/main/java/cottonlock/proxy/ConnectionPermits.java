package cottonlock.proxy;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** Limits the number of connections to backends; shared by the backends' actors. */
final class ConnectionPermits {
    /**
     * Milliseconds for other actors to close an idle connection: far below any latency objective.
     */
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
        // Idle connections to some backends must not prevent attempts at the others.
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

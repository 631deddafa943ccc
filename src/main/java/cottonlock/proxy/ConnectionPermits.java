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
    private final List<BackendActor> sharers = new CopyOnWriteArrayList<>();

    ConnectionPermits(int most) {
        this.free = new Semaphore(most);
    }

    void join(BackendActor actor) {
        sharers.add(actor);
    }

    void leave(BackendActor actor) {
        sharers.remove(actor);
    }

    /** Takes a permit; false when all are in use. */
    boolean take() {
        if (free.tryAcquire()) {
            return true;
        }
        // Connections that rest at some backends must not shut out work for the others.
        sharers.forEach(BackendActor::spareOne);
        try {
            return free.tryAcquire(PERMIT_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    void give() {
        free.release();
    }
}

package cottonlock.proxy.control;

import cottonlock.decision.api.Endpoint;
import cottonlock.proxy.concurrent.TickClock;
import java.util.List;

/**
 * The backends that operators have taken out of service: the load balancer sees them as draining,
 * whatever discovery says. They are stored for the proxy's next process and shared with another one
 * that serves beside this one.
 *
 * <p>Safe for use by any thread; its own thread polls for what another process has changed.
 */
public final class ManualEjections implements Runnable {
    /** Well below the time that a draining backend is given. */
    private static final long POLL_MILLIS = 100;

    /** How long the other process needs at most to poll a change and act on it. */
    private static final long PROPAGATION_MILLIS = POLL_MILLIS * 3 / 2;

    /** Bounds the file's size. */
    private static final int MAX_EJECTED = 2_000;

    private final SharedFile file;
    private final TickClock clock;
    private final Runnable onChange;

    /** Set under the lock of this, read by any thread. */
    private volatile EjectionState state;

    /** The revision of the file that was read last. Guarded by this. */
    private SharedFile.Revision readRevision;

    /**
     * Reads what is stored.
     *
     * @param onChange is run after each change, by the thread that made or found it
     */
    public ManualEjections(SharedFile file, TickClock clock, Runnable onChange) {
        this.file = file;
        this.clock = clock;
        this.onChange = onChange;
        this.readRevision = file.revision();
        this.state = EjectionState.parse(file.read(), clock.now());
    }

    /** Whether a backend is out: no new request may go to it. */
    public boolean isEjected(String id) {
        return state.ejected().contains(id);
    }

    /**
     * A backend as the load balancer is to see it: draining while it is out, started anew when it
     * has returned.
     *
     * @param listed the backend as discovery lists it
     */
    public Endpoint effective(Endpoint listed) {
        EjectionState current = state;
        boolean ejected = current.ejected().contains(listed.id());
        if (ejected && listed.state() != Endpoint.State.READY) {
            return listed;
        }
        if (ejected) {
            return copyWith(listed, Endpoint.State.DRAINING, listed.startedAtTicks());
        }
        long returnedAtTicks = current.returnedAtTicks().getOrDefault(listed.id(), 0L);
        return copyWith(listed, listed.state(), Math.max(listed.startedAtTicks(), returnedAtTicks));
    }

    private static Endpoint copyWith(Endpoint listed, Endpoint.State state, long startedAtTicks) {
        return new Endpoint(
                listed.id(),
                listed.zone(),
                listed.machineKind(),
                listed.cell(),
                state,
                listed.capacityWeight(),
                startedAtTicks);
    }

    /**
     * Takes a backend out of service, or back into it; in force in this process on return.
     *
     * @return false when too many are out already
     */
    public synchronized boolean setEjected(String id, boolean ejected) {
        if (ejected && state.ejected().size() >= MAX_EJECTED) {
            return false;
        }
        if (isEjected(id) != ejected) {
            List<String> stored = file.change(lines -> changedLines(lines, id, ejected));
            state = EjectionState.parse(stored, clock.now());
            onChange.run();
        }
        return true;
    }

    private List<String> changedLines(List<String> stored, String id, boolean ejected) {
        // Without a file this process's state is all there is.
        List<String> lines = file.revision() == null ? state.toLines() : stored;
        return ejected
                ? EjectionState.withEjected(lines, id)
                : EjectionState.withReturned(lines, id, clock.now());
    }

    /** Waits until another process of this proxy, if there is one, acts on the last change too. */
    public void awaitPropagation() {
        try {
            Thread.sleep(file.revision() == null ? 0 : PROPAGATION_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Takes over what another process of this proxy has changed since the last call. */
    public void poll() {
        synchronized (this) {
            SharedFile.Revision revision = file.revision();
            if (revision == null || revision.equals(readRevision)) {
                return;
            }
            readRevision = revision;
            state = EjectionState.parse(file.read(), clock.now());
        }
        onChange.run();
    }

    @Override
    public void run() {
        try {
            while (true) {
                Thread.sleep(POLL_MILLIS);
                poll();
            }
        } catch (InterruptedException e) {
            // The proxy is closing.
        }
    }
}

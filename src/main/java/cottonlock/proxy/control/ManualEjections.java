package cottonlock.proxy.control;

import cottonlock.decision.api.Endpoint;
import cottonlock.proxy.concurrent.TickClock;
import java.util.List;

/**
 * The backends that operators have ejected manually. To the load balancer they are draining, even
 * if discovery lists them as ready. The ejections are stored for the proxy's next process, and
 * shared with another process that serves at the same time.
 *
 * <p>Safe for use by any thread; its own thread polls for changes by another process.
 */
public final class ManualEjections implements Runnable {
    /** Well below the time that a draining backend has for its requests. */
    private static final long POLL_MILLIS = 100;

    /** The longest time that another process needs to notice a change and act on it. */
    private static final long PROPAGATION_MILLIS = POLL_MILLIS * 3 / 2;

    /** Limits the size of the file. */
    private static final int MAX_EJECTED = 2_000;

    private final SharedFile file;
    private final TickClock clock;
    private final Runnable onChange;

    /** Written while holding the lock of this; read by any thread. */
    private volatile EjectionState state;

    /** The revision of the file when it was last read. Guarded by this. */
    private SharedFile.Revision readRevision;

    /**
     * Reads the stored ejections.
     *
     * @param onChange run after each change, by the thread that made or noticed it
     */
    public ManualEjections(SharedFile file, TickClock clock, Runnable onChange) {
        this.file = file;
        this.clock = clock;
        this.onChange = onChange;
        this.readRevision = file.revision();
        this.state = EjectionState.parse(file.read(), clock.now());
    }

    /** Whether a backend is ejected: no new request may be sent to it. */
    public boolean isEjected(String id) {
        return state.ejected().contains(id);
    }

    /**
     * The state of a backend that the load balancer is to use: draining while it is ejected, and
     * newly started when it has returned to service.
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
     * Ejects a backend or returns it to service; in effect in this process when this returns.
     *
     * @return false if too many backends are ejected already
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
        // Without a file only this process knows the state.
        List<String> lines = file.revision() == null ? state.toLines() : stored;
        return ejected
                ? EjectionState.withEjected(lines, id)
                : EjectionState.withReturned(lines, id, clock.now());
    }

    /** Waits until another process of this proxy, if any, has acted on the last change too. */
    public void awaitPropagation() {
        try {
            Thread.sleep(file.revision() == null ? 0 : PROPAGATION_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Applies changes that another process of this proxy has made since the last call. */
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

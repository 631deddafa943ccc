package cottonlock.decision.request;

import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.backend.Backend;

/** One attempt of a request at one backend. Owned by the load balancer's thread. */
public final class Attempt {
    private final Backend backend;
    private final long sentAtTicks;
    private boolean inFlight = true;
    private boolean cancellable = true;
    private boolean backendWasSilent;
    private boolean neverExecuted;
    private boolean responding;
    private long respondedAtTicks;

    Attempt(Backend backend, long sentAtTicks) {
        this.backend = backend;
        this.sentAtTicks = sentAtTicks;
    }

    /** The backend that it was sent to. */
    public Backend backend() {
        return backend;
    }

    /** When it was sent, in ticks. */
    public long sentAtTicks() {
        return sentAtTicks;
    }

    /** Whether it has no outcome yet. */
    public boolean isInFlight() {
        return inFlight;
    }

    /**
     * Whether it may be cancelled: only once, and only before its response begins to reach the
     * client.
     */
    public boolean isCancellable() {
        return cancellable;
    }

    /** Whether its backend was found silent while it was in flight. */
    public boolean backendWasSilent() {
        return backendWasSilent;
    }

    /** Whether its backend has begun to respond; the response may still be incomplete. */
    public boolean isResponding() {
        return responding;
    }

    /** The time that its backend took to respond, until now if it has not, in ticks. */
    public long latencyTicks(long nowTicks) {
        return (responding ? respondedAtTicks : nowTicks) - sentAtTicks;
    }

    /** Whether its outcome proves that the backend did not execute it. */
    boolean isNeverExecuted() {
        return neverExecuted;
    }

    /** Records its outcome. */
    public void complete(AttemptOutcome outcome) {
        inFlight = false;
        neverExecuted = outcome.neverExecuted();
    }

    /** Records that it was cancelled, or that its response has begun to reach the client. */
    public void forbidCancelling() {
        cancellable = false;
    }

    /** Records that its backend has begun to respond, so that it is not cancelled. */
    public void onResponseBegun(long nowTicks) {
        responding = true;
        respondedAtTicks = nowTicks;
        cancellable = false;
    }

    /** Records that its backend was found silent. */
    public void onBackendSilent() {
        backendWasSilent = true;
    }
}

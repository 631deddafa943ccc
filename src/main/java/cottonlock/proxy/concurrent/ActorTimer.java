package cottonlock.proxy.concurrent;

import java.util.concurrent.Future;

/**
 * The one timer of an actor without a thread of its own. Used by the actor's messages only; its
 * event is to be sent to the actor as a message that calls {@link #fired} first.
 */
public final class ActorTimer {
    /** Says that the actor needs no event. */
    public static final long NEVER = Long.MAX_VALUE;

    private final ActorTimers timers;
    private final Runnable event;

    /** The event that is to come; null if there is none. */
    private Future<?> scheduled;

    private long dueNanos;

    /**
     * A timer that is not set.
     *
     * @param timers runs the event
     * @param event sends the actor its message
     */
    public ActorTimer(ActorTimers timers, Runnable event) {
        this.timers = timers;
        this.event = event;
    }

    /**
     * Has the event come within a time. One that comes sooner stays; one that would come later is
     * replaced.
     *
     * @param nanos that time, or {@link #NEVER} to cancel what is to come
     */
    public void set(long nanos) {
        long now = System.nanoTime();
        if (nanos == NEVER) {
            cancel();
        } else if (scheduled == null || dueNanos - now > nanos) {
            cancel();
            dueNanos = now + nanos;
            scheduled = timers.schedule(event, nanos);
        }
    }

    /** Handles that the event has come. */
    public void fired() {
        scheduled = null;
    }

    private void cancel() {
        if (scheduled != null) {
            scheduled.cancel(false);
            scheduled = null;
        }
    }
}

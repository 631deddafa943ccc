package cottonlock.decision.backend;

import cottonlock.decision.api.RequestClass;

/** The part of a request that the choice of a backend and the statistics of backends need. */
public interface BackendRequest {

    /** The id of the request, unique among those in progress. */
    long id();

    /** The index of its tenant. */
    int tenant();

    /** Its class, with the latency objective and the retry rules. */
    RequestClass requestClass();

    /** When its latest attempt was sent, in ticks; there must have been one. */
    long lastSentAtTicks();

    /** The time, in ticks, before which its next attempt must be written completely. */
    long sendByTicks();

    /** Whether an attempt at this backend has been made. */
    boolean hasTried(Backend backend);

    /** The backend of the first attempt that may have been executed; null if there is none. */
    Backend firstPossibleExecutor();
}

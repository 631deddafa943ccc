package cottonlock.decision.backend;

import cottonlock.decision.api.AttemptOutcome;

/**
 * An attempt that has ended.
 *
 * @param backend the backend that it was sent to
 * @param request the request that it was made for
 * @param sentAtTicks when it was sent
 * @param backendWasSilent whether its backend was found silent while it was in flight
 * @param outcome how it ended
 */
public record CompletedAttempt(
        Backend backend,
        BackendRequest request,
        long sentAtTicks,
        boolean backendWasSilent,
        AttemptOutcome outcome) {

    /** The time since it was sent, in ticks. */
    long latencyTicks(long nowTicks) {
        return nowTicks - sentAtTicks;
    }
}

package cottonlock.decision.backend;

import cottonlock.decision.api.AttemptOutcome;

/**
 * An attempt that has ended.
 *
 * @param backend the backend that it was sent to
 * @param request the request that it was made for
 * @param latencyTicks the time that the backend took to respond, or until it ended
 * @param hadBegunToRespond whether its backend was known to have begun to respond
 * @param backendWasSilent whether its backend was found silent while it was in flight
 * @param outcome how it ended
 */
public record CompletedAttempt(
        Backend backend,
        BackendRequest request,
        long latencyTicks,
        boolean hadBegunToRespond,
        boolean backendWasSilent,
        AttemptOutcome outcome) {}

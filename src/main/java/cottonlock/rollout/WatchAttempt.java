package cottonlock.rollout;

import cottonlock.core.Deterministic;

/**
 * The next attempt to open a watch on a control server.
 *
 * @param server the server's index: near servers come first, starting at 0, then far ones
 * @param startAtTicks when to call it
 * @param timeoutTicks time, from the start of the call, within which the response head and the
 *     first line must arrive
 */
@Deterministic
public record WatchAttempt(int server, long startAtTicks, long timeoutTicks) {}

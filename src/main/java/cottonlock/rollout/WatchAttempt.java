package cottonlock.rollout;

import cottonlock.core.Deterministic;

/**
 * The next attempt to open a watch on a control server.
 *
 * @param server the server's index: near servers from 0 on, then far ones
 * @param startAtTicks when to call it
 * @param timeoutTicks how long it has, from then on, to send the response head and a first line
 */
@Deterministic
public record WatchAttempt(int server, long startAtTicks, long timeoutTicks) {}

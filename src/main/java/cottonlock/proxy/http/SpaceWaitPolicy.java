package cottonlock.proxy.http;

/** Decides how long a sender is not read because there is no space for its body. */
public interface SpaceWaitPolicy {
    /**
     * Whether to wait on; called every few milliseconds by the reading thread.
     *
     * @param waitedNanos the time since the sender was first not read
     * @param mayBeSent whether the sender may have sent all of the body by now, so that it waits
     *     for the response
     */
    boolean mayWait(long waitedNanos, boolean mayBeSent);
}

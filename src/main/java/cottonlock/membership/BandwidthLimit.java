package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.core.Ticks;

/**
 * Token bucket that bounds the bytes sent in any second. Its depth is a quarter of the limit, and
 * three quarters are refilled in a second, so that a full bucket and a second's refill together
 * stay within the limit. Confined to the thread of its {@link Membership}.
 */
@Deterministic
final class BandwidthLimit {
    private static final double REFILL_SHARE_PER_SECOND = 0.75;

    private final int bytesPerSecond;
    private final double depthBytes;
    private double availableBytes;
    private long refilledAtTicks = MemberRecord.NEVER;

    BandwidthLimit(int bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
        this.depthBytes = bytesPerSecond / 4.0;
    }

    /**
     * Whether this number of bytes may be sent now.
     *
     * @param reservedShare share of the bucket's depth, 0 to 1, that must remain afterwards
     */
    boolean allows(long nowTicks, int bytes, double reservedShare) {
        if (nowTicks > refilledAtTicks) {
            availableBytes =
                    Math.min(
                            depthBytes,
                            availableBytes
                                    + bytesPerSecond
                                            * REFILL_SHARE_PER_SECOND
                                            * (nowTicks - refilledAtTicks)
                                            / Ticks.PER_SECOND);
            refilledAtTicks = nowTicks;
        }
        return availableBytes - bytes >= reservedShare * depthBytes;
    }

    /** Takes this number of bytes out of the bucket. */
    void consume(long nowTicks, int bytes) {
        allows(nowTicks, bytes, 0);
        availableBytes -= bytes;
    }
}

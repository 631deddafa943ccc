package cottonlock.membership;

import cottonlock.core.Deterministic;

/**
 * The bytes that may be sent: in no second more than are allowed. A quarter of them may go at once,
 * three quarters come back in a second.
 */
@Deterministic
final class BandwidthLimit {
    /** Tenths of a millisecond in a second. */
    private static final long SECOND = 10_000;

    private final int bytes;
    private final double depth;
    private double level;
    private long at = MemberRecord.NEVER;

    BandwidthLimit(int bytes) {
        this.bytes = bytes;
        this.depth = bytes / 4.0;
    }

    /** Whether so many may go now, and this part of the depth is still left after them. */
    boolean allows(long now, int size, double rest) {
        if (now > at) {
            level = Math.min(depth, level + bytes * 0.75 * (now - at) / SECOND);
            at = now;
        }
        return level - size >= rest * depth;
    }

    void consume(long now, int size) {
        allows(now, size, 0);
        level -= size;
    }
}

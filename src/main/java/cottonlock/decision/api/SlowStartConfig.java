package cottonlock.decision.api;

/**
 * What is known of backends that have just started. Times are in tenths of a millisecond.
 *
 * @param share the part of its capacity that one starts with, or more
 * @param time after which it is warm
 * @param multiple of its present capacity that pushes it over
 * @param fall how long it can take that
 */
public record SlowStartConfig(double share, long time, double multiple, long fall) {

    /** The part of its capacity that a backend has at least: it grows evenly while cold. */
    public double warmth(Endpoint m, long now) {
        if (m.startedAt() <= 0 || now - m.startedAt() >= time) {
            return 1;
        }
        return share + (1 - share) * Math.max(0, now - m.startedAt()) / time;
    }
}

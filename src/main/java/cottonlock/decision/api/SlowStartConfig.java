package cottonlock.decision.api;

/**
 * How backends that have just started warm up. Durations are {@linkplain cottonlock.core.Ticks
 * ticks} of 0.1 ms.
 *
 * @param initialFraction the minimum fraction of its full capacity that a backend has when it
 *     starts
 * @param warmUpTicks the time from its start after which a backend has its full capacity
 * @param overloadMultiple the multiple of its present capacity that overloads a warming backend
 *     when sent to it
 * @param overloadWindowTicks the window over which the requests sent to it are counted
 */
public record SlowStartConfig(
        double initialFraction,
        long warmUpTicks,
        double overloadMultiple,
        long overloadWindowTicks) {

    /**
     * The minimum fraction of its full capacity that a backend has now, above 0 and up to 1. It
     * grows linearly from the start to the end of the warm-up.
     */
    public double warmUpFraction(Endpoint endpoint, long nowTicks) {
        if (endpoint.startedAtTicks() <= 0 || nowTicks - endpoint.startedAtTicks() >= warmUpTicks) {
            return 1;
        }
        return initialFraction
                + (1 - initialFraction)
                        * Math.max(0, nowTicks - endpoint.startedAtTicks())
                        / warmUpTicks;
    }
}

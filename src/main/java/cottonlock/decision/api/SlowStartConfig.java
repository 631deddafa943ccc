package cottonlock.decision.api;

/**
 * How backends that have just started warm up. Lengths of time are {@linkplain
 * cottonlock.core.Ticks ticks} of 0.1 ms.
 *
 * @param initialFraction the fraction of its full capacity that a backend starts with, or more
 * @param warmUpTicks the time from its start after which a backend has its full capacity
 * @param overloadMultiple how many times its present capacity a warming backend may be sent before
 *     it is overloaded
 * @param overloadWindowTicks the time over which that is counted
 */
public record SlowStartConfig(
        double initialFraction,
        long warmUpTicks,
        double overloadMultiple,
        long overloadWindowTicks) {

    /**
     * The fraction of its full capacity that a backend has at least, above 0 and up to 1: it grows
     * linearly from its start to the end of the warm-up.
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

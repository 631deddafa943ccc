package cottonlock.decision.request;

/** The load balancer's timer, by which deadlines and silence are checked. */
public final class TimerPeriod {
    /** The time between two timer events, in ticks of 0.1 ms: 25 ms. */
    public static final long TICKS = 250;

    private TimerPeriod() {}
}

package cottonlock.decision.request;

/** The period of the load balancer's timer, on which deadlines and silence are checked. */
public final class TimerPeriod {
    /** The time between two timer events, in ticks of 0.1 ms: 25 ms. */
    public static final long TICKS = 250;

    private TimerPeriod() {}
}

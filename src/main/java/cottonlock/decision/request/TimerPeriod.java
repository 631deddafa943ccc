package cottonlock.decision.request;

/** The load balancer's timer, by which deadlines and silence are checked. */
public final class TimerPeriod {
    /** The time between two timer events. */
    public static final long TICKS = 250;

    private TimerPeriod() {}
}

package cottonlock.decision;

import cottonlock.decision.api.Endpoint;
import cottonlock.decision.stats.SlidingWindowSum;
import java.util.LinkedHashMap;
import java.util.Map;

/** A backend as this balancer knows it: its line of the list and what attempts to it have shown. */
final class Backend {
    final String id;
    Endpoint member;

    /** When this balancer learned that it drains or is gone; -1 while it is ready. */
    long leavingSince = -1;

    /** Gone from the list without draining, where that binds nobody. */
    boolean delisted;

    int out;

    /** Of those, the ones that it has been silent about for too long. */
    int missed;

    /** Whose lane it is in; the number of tenants where in none. */
    int lane;

    /** Whether a connection may be open to it, and since when nothing has been out on it. */
    boolean connected;

    long restsSince;

    /** How quickly its kind answers here, against all. */
    double pace = 1;

    /** Failures in a row. */
    int streak;

    /** Found lost since the other balancers were last told. */
    boolean lost;

    /** When it last gave a sign of life, or last went from nothing out to something out. */
    long quietSince;

    /** Answers and failures of late: older ones say little of how it is now. */
    final SlidingWindowSum answers;

    final SlidingWindowSum failures;

    /** Gaps between signs of life while something was out: their number and sum. */
    final SlidingWindowSum gapCount;

    final SlidingWindowSum gapSum;

    /** What it finished in the time that the rule on cold backends counts over. */
    final SlidingWindowSum finished;

    /**
     * While cold: when it last got work, the part of the usual gap until the next, and of which
     * start.
     */
    long spacedFrom;

    double spacing;
    long spacedFor = -1;

    /** The requests handed to it and still out, in the order of sending. */
    final Map<Long, Request> held = new LinkedHashMap<>();

    /**
     * In due times: what an answer says of how a backend is now, and what its gaps say of its usual
     * ones.
     */
    private static final double NOW = 1.28;

    private static final double USUAL = 19.2;

    Backend(Endpoint member, long fallSpan, long due) {
        answers = new SlidingWindowSum(Math.round(NOW * due), 8);
        failures = new SlidingWindowSum(Math.round(NOW * due), 8);
        gapCount = new SlidingWindowSum(Math.round(USUAL * due), 10);
        gapSum = new SlidingWindowSum(Math.round(USUAL * due), 10);
        this.id = member.id();
        this.member = member;
        this.finished = new SlidingWindowSum(fallSpan, 10);
    }

    /** The attempts out that an answer is still waited for. */
    int awaited() {
        return out - missed;
    }

    /** Takes no more work from the first that was heard of its leaving. */
    void leave(long now) {
        leavingSince = leavingSince < 0 ? now : leavingSince;
    }

    /** The listed size; 1 where the list gives none. */
    double size() {
        return member.capacityWeight() > 0 ? member.capacityWeight() : 1;
    }
}

package cottonlock.decision;

import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.RejectionReason;
import cottonlock.decision.api.Tenant;
import cottonlock.decision.backend.BackendRegistry;
import cottonlock.decision.stats.SlidingWindowMean;
import cottonlock.decision.stats.SlidingWindowMin;
import cottonlock.decision.stats.SlidingWindowSum;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Lets no more in than can be answered in time. */
public final class AdmissionController extends RequestStage {
    /**
     * In due times, as long as answers take: enough for a steady rate, yet follows a slower fleet.
     */
    private static final double SPAN = 1.28;

    /** Times as long: the calm that is remembered. */
    private static final int CALM = 15;

    /**
     * Half a backend for each balancer: with fewer, one more request let in by each is too much.
     */
    private static final double SPARSE = 0.5;

    /**
     * Held for each backend whatever else is seen; 5 choked the simulator. With 2 for all, promised
     * work was left out for most of a day: room grows by some spreads of chance in a due time.
     */
    private static final double FLOOR = 4;

    private static final double EXCESS_FLOOR = 2;

    /** How many times the calm latency is no sign yet of a queue that costs more than it brings. */
    private static final double WITHIN_CALM = 1.3;

    private static final double OVER_CALM = 0.9;

    /** In the logarithm of the latency: a fifth longer than calm. */
    private static final double PRESSED = 0.2;

    /** Part of the due time that a request may wait. */
    private static final double WAIT = 0.15;

    private final BackendRegistry fleet;
    private final DeploymentTopology shape;
    private final int balancers;
    private final boolean bounded;
    private final SplittableRandom random;
    private final long span;
    private final SlidingWindowSum finished;

    /**
     * The due times of what has finished: all categories together may wait for a part of their sum.
     */
    private final SlidingWindowSum dues;

    private final SlidingWindowSum latency;
    private final SlidingWindowSum latencyLog;

    /** The lowest typical latency over the span that has been seen of late. */
    private final SlidingWindowMin calm;

    /** What is within its quota and waits for room, in order of coming. */
    final List<Request> waiting = new ArrayList<>();

    final Entry[] lanes;

    /** The work of what comes, as far as it is told, and the quotas of all tenants together. */
    private final SlidingWindowMean hints = new SlidingWindowMean(300_000);

    private final double quotas;
    private int inside;
    private long firstAt = -1;

    /** Bounded: whether this balancer may turn work away, not where others have worked on it. */
    public AdmissionController(
            BackendRegistry fleet,
            SplittableRandom random,
            List<Tenant> tenants,
            DeploymentTopology shape,
            boolean bounded) {
        span = Math.round(SPAN * shape.meanLatencyObjectiveTicks());
        finished = new SlidingWindowSum(span, 20);
        dues = new SlidingWindowSum(span, 20);
        latency = new SlidingWindowSum(span, 20);
        latencyLog = new SlidingWindowSum(span, 20);
        calm = new SlidingWindowMin(CALM * span, 6);
        this.fleet = fleet;
        this.random = random;
        this.shape = shape;
        this.balancers = shape.loadBalancerCount();
        this.bounded = bounded;
        this.quotas = tenants.stream().mapToDouble(Tenant::quotaPerSecond).sum() / 10_000;
        lanes = new Entry[Math.max(1, tenants.size())];
        for (int t = 0; t < lanes.length; t++) {
            boolean apart = !shape.evenlyLoaded() && t < tenants.size();
            lanes[t] = new Entry(apart ? tenants.get(t).quotaPerSecond() / 10_000 : 0);
        }
    }

    @Override
    void take(Request req, long now) {
        firstAt = firstAt < 0 ? now : firstAt;
        if (req.estimatedWorkTicks > 0) {
            hints.add(now, 0, req.estimatedWorkTicks);
        }
        if (!bounded || fits(req, now)) {
            enter(req, now);
        } else {
            req.rejectionReason =
                    req.overQuota
                            ? RejectionReason.OVER_QUOTA
                            : now + 4 * LoadBalancer.TICK >= req.deadlineTicks
                                    ? RejectionReason.DEADLINE_EXCEEDED
                                    : waiting.size() >= dues.sum(now) * WAIT / span(now)
                                            ? RejectionReason.QUEUE_FULL
                                            : RejectionReason.NO_CAPACITY;
            if (req.rejectionReason == RejectionReason.NO_CAPACITY
                    && SPARSE * balancers <= fleet.ready().size()) {
                req.queuedAtTicks = now;
                waiting.add(req);
            } else {
                before.back(req, now);
            }
        }
    }

    private void enter(Request req, long now) {
        req.holdsCapacity = true;
        req.admittedAtTicks = now;
        inside++;
        after.take(req, now);
    }

    private double span(long now) {
        return Math.min(span, Math.max(1, now - firstAt));
    }

    /** The mean logarithm of the latency: a few costly requests hardly move it. */
    private double typical(long now) {
        return latencyLog.sum(now) / 1000.0 / Math.max(1, finished.sum(now));
    }

    private boolean fits(Request req, long now) {
        if (SPARSE * balancers > fleet.ready().size()) {
            return lanes[req.tenant].letsIn(
                    req, fleet.laneLoad().capacityInBackends(req.tenant, Entry.MOST, now), now);
        }
        // So many for each backend are never too many; a part below one is let in by chance.
        double floor = (req.overQuota ? EXCESS_FLOOR : FLOOR) * fleet.ready().size() / balancers;
        if (req.overQuota && shape.hasManyLoadBalancers()) {
            // Let in beyond that, excess made its own room until the whole fleet choked on it.
            return !pressed(now) && inside + random.nextDouble() < floor;
        }
        // What is usually inside, less while the fleet is not calm, and two or four spreads of
        // chance.
        double over = req.overQuota ? OVER_CALM : WITHIN_CALM;
        double calmer = Math.min(1, over * Math.exp(calm.value() - typical(now)));
        double steady = latency.sum(now) / span(now) * calmer;
        boolean atEase = calm.value() < Double.POSITIVE_INFINITY && !pressed(now);
        double room = steady + (atEase ? 4 : 2) * Math.sqrt(steady);
        return inside + random.nextDouble() < Math.max(floor, room);
    }

    /** Whether answers take clearly longer than they do when the fleet is calm. */
    boolean pressed(long now) {
        return finished.sum(now) >= 10 && typical(now) > calm.value() + PRESSED;
    }

    /** How fast work may enter a lane of which one of many sees too little: by Little's law. */
    final class Entry {
        /** The most tokens kept, and how many must be there for work over its quota. */
        private static final double DEPTH = 4;

        private static final double OVER = 3;

        /**
         * What each backend may hold: 4 to 5 did alike, 3 left room unused, 6 made backends choke.
         */
        private static final double MOST = 5;

        /**
         * In five seconds what was learned fades by two thirds: a choked backend has rested by
         * then.
         */
        private static final double FADE = 50_000;

        /** Answers imagined at the start. */
        private static final int FEW = 4;

        /**
         * The part let in at the start, and how much it grows in a tenth of a millisecond at most.
         */
        private static final double START = 0.6;

        private static final double UP = 7e-6;

        /**
         * Above its cores: 1.2 roots; a backend chokes at 4 to 7 of them in the mean of two
         * seconds.
         */
        private static final double ROOTS = 0.7;

        private final TokenBucket tokens = new TokenBucket(DEPTH);
        private double time;
        private double part = START;
        private long at = -1;

        /** Where balancers carry unlike amounts, the tenant's quota over all of them; else 0. */
        private final double quota;

        Entry(double quota) {
            this.quota = quota;
        }

        boolean letsIn(Request req, double backends, long now) {
            double usual = req.requestClass.latencyObjectiveTicks() / 3.0;
            double most = MOST;
            if (quota > 0) {
                // What the quotas ask of each backend, in cores: it may hold that and a few of
                // its roots.
                double cores =
                        quotas / Math.max(1, fleet.ready().size()) * hints.mean(now, 0, 0, 0);
                most = cores > 0 ? cores + ROOTS * Math.sqrt(cores) : MOST;
                // Of one tenant a small balancer sees an answer in some seconds: those of all
                // stand in.
                usual =
                        fleet.load()
                                .meanTimeInFlightTicks(
                                        FEW, Math.min(usual, most * backends / quota), now);
            }
            double kept = at < 0 ? 1 : Math.exp((at - now) / FADE);
            time = at < 0 ? usual : Math.min(time, usual + (time - usual) * kept);
            long waited = at < 0 ? 0 : now - at;
            at = now;
            double rate = most * backends / Math.max(1, time);
            // Balancers that carry very unlike amounts part what all may let in by what comes
            // to each.
            part = Math.min(part + waited * UP, rate / quota);
            // A client that tries again brings the same hint. Drawn from it, the answer is the
            // same: with
            // a new draw for each try nearly all got in at the fourth, and a flood choked the
            // fleet.
            SplittableRandom draw =
                    req.estimatedWorkTicks > 0
                            ? new SplittableRandom(req.estimatedWorkTicks)
                            : random;
            // What can't end by its due time any more is worth its late credit at most, or
            // nothing.
            double late =
                    req.objectiveDeadlineTicks < req.deadlineTicks
                            ? req.requestClass.lateCredit()
                            : 0;
            double worth = now + time / 2 < req.objectiveDeadlineTicks ? 1 : late;
            return quota > 0
                    ? draw.nextDouble() < part * worth
                    : tokens.take(now, rate / balancers, DEPTH, req.overQuota ? OVER : 1);
        }

        void learn(AttemptOutcome outcome, long took, long due) {
            // A quick failure must not pass for a quick answer. Eight: fewer are chance, more
            // too late.
            double shown = outcome == AttemptOutcome.COMPLETED ? took : Math.max(took, 2 * time);
            time += (Math.min(shown, quota > 0 ? 4 * due : due) - time) / 8;
        }
    }

    /** A request stops counting as inside though it is not back yet. */
    void release(Request req) {
        inside -= req.holdsCapacity ? 1 : 0;
        req.holdsCapacity = false;
    }

    @Override
    void back(Request req, long now) {
        if (req.completed && req.holdsCapacity) {
            latency.add(now, now - req.admittedAtTicks);
        }
        // What is overdue holds no room, but its latency is the fleet's.
        if (req.completed && !req.lastAttempt().backendWasSilent) {
            latencyLog.add(now, Math.round(1000 * Math.log(1 + now - req.admittedAtTicks)));
            finished.add(now, 1);
            dues.add(now, req.requestClass.latencyObjectiveTicks());
        }
        release(req);
        before.back(req, now);
        advance(now);
    }

    /**
     * In order of the waits against the due times: by coming, work of long ones starved the rest.
     */
    private void advance(long now) {
        for (boolean fits = true; fits && !waiting.isEmpty(); ) {
            Request next =
                    Collections.max(
                            waiting,
                            Comparator.comparingDouble(
                                    req ->
                                            (double) (now - req.queuedAtTicks)
                                                    / req.requestClass.latencyObjectiveTicks()));
            fits = fits(next, now) && waiting.remove(next);
            if (fits) {
                enter(next, now);
            }
        }
    }

    /**
     * Ends early what has waited long enough; takes note of the typical latency, for the calm one.
     */
    void tidy(long now) {
        for (Request req : List.copyOf(waiting)) {
            if (now + 2 * LoadBalancer.TICK >= req.deadlineTicks
                    || now - req.queuedAtTicks
                            > 2 * WAIT * req.requestClass.latencyObjectiveTicks()) {
                waiting.remove(req);
                before.back(req, now);
            }
        }
        advance(now);
        // Soon after a start or a standstill only the quick ones have come back: the room would
        // shrink.
        if (now - firstAt >= span && finished.sum(now) >= 20 && finished.sum(now) >= 2 * inside) {
            calm.add(now, typical(now));
        }
    }
}

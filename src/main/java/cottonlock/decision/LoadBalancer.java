package cottonlock.decision;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.stream.Collectors.joining;
import static java.util.stream.Collectors.toSet;

import cottonlock.decision.Request.Attempt;
import cottonlock.decision.RequestClass.Repeat;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The decision module: everything that one balancer decides, and nothing else.
 *
 * <p>One thread tells it what happened through the public methods, each with the time in whole
 * tenths of a millisecond, never going back. It answers during the call through {@link
 * LoadBalancerActions}; it does no input or output and reads no clock. A request passes the stages
 * Intake, Line, Lane, Pick and Attempts. Each passes it on or sends it back; what comes back passes
 * them the other way. Fleet stands beside them and knows the backends. docs/design.md tells which
 * decision comes from where.
 */
public final class LoadBalancer {
    /** How often silence and the list are looked at: well under any due time, cheap in CPU. */
    private static final long TICK = 250;

    /**
     * Called so much too late, the balancer has stood still: 100 ms come with a busy core alone.
     */
    private static final long STILL = 2_000;

    private long wakeAt = Long.MAX_VALUE - STILL;
    private final LoadBalancerActions outlet;
    private final Intake intake;
    private final Line line;
    private final Attempts attempts;
    private final Fleet fleet;

    /** Joins the stages to a chain; each has been given its own settings. */
    public LoadBalancer(
            LoadBalancerActions outlet,
            Intake intake,
            Line line,
            Lane lane,
            Pick pick,
            Attempts attempts,
            Fleet fleet) {
        this.outlet = outlet;
        this.intake = intake;
        this.line = line;
        this.attempts = attempts;
        this.fleet = fleet;
        intake.join(null, line);
        line.join(intake, lane);
        lane.join(line, pick);
        pick.join(lane, attempts);
        attempts.join(pick, null);
    }

    /** The balancer starts; the list that it last held follows through {@link #list}. */
    public void start(long now) {
        wakeAt = now + TICK;
        outlet.wakeMe(wakeAt);
    }

    /**
     * After a standstill of its own the balancer doubts its clock: what waited is no silence of
     * others.
     */
    private void doubtClock(long now) {
        if (now > wakeAt + STILL) {
            fleet.stood(now, now - wakeAt);
            wakeAt = now;
        }
    }

    /** Other categories, by number, and most attempts hold for what comes from now on. */
    public void retune(List<RequestClass> categories, int most) {
        intake.retune(categories);
        attempts.most = most;
    }

    /**
     * A request has come; its client waits for {@code patience}. Hint: its work, 0 where not told.
     */
    public void arrive(
            long now,
            long id,
            int category,
            int tenant,
            long patience,
            boolean repeated,
            long hint) {
        doubtClock(now);
        long stood = now == fleet.stoodAt ? fleet.stoodFor : 0;
        intake.arrive(now, id, category, tenant, patience, repeated, hint, stood);
    }

    /** An attempt has ended; {@code over} tells that the request has had its final answer. */
    public void settled(long now, long id, int attempt, AttemptOutcome outcome, boolean over) {
        doubtClock(now);
        attempts.settled(now, id, attempt, outcome, over);
    }

    /** The answer to a streamed request has begun: it belongs to the client from now on. */
    public void underWay(long now, long id, int attempt) {
        Request req = attempts.open.get(id);
        if (req != null && attempt < req.attempts.size()) {
            req.attempts.get(attempt).recalled = true;
        }
    }

    /** The client of a request has left, so nothing more is owed. */
    public void left(long now, long id) {
        line.waiting.removeIf(req -> req.id == id);
        attempts.left(now, id);
    }

    /** The balancer leaves: what it holds now is over by then, with its final answer. */
    public void endBy(long latest) {
        line.waiting.forEach(req -> req.endBy(latest));
        attempts.open.values().forEach(req -> req.endBy(latest));
    }

    /**
     * News of the list of backends, whole or only what changed; cached: as this balancer last held
     * it.
     */
    public void list(long now, List<Endpoint> members, boolean whole, boolean cached) {
        fleet.list(now, members, whole, cached);
    }

    /** Whether a backend may get work, also one that has gone from a list that binds nobody. */
    public boolean uses(String id) {
        return fleet.known.containsKey(id) && fleet.known.get(id).leavingSince < 0;
    }

    /** A call for the list failed, or its changes no longer come. */
    public void listFailed(long now) {
        fleet.listFailed(now);
    }

    /** How many of the ready backends get next to nothing now, as they are in doubt. */
    public long avoided(long now) {
        return fleet.ready.stream()
                .filter(b -> fleet.doubts(b, now) > 2 * b.answers.sum(now) + 1)
                .count();
    }

    /**
     * Another balancer of the tier has sent what it told by {@link LoadBalancerActions#tellPeers}.
     */
    public void heard(long now, byte[] message) {
        fleet.heard(now, message);
    }

    /** The time asked for by {@link LoadBalancerActions#wakeMe} has come. */
    public void wake(long now) {
        doubtClock(now);
        fleet.keepList(now);
        attempts.rescue(now);
        fleet.tell();
        line.tidy(now);
        wakeAt = now + TICK;
        outlet.wakeMe(wakeAt);
    }

    /** One link of the chain. */
    private abstract static class Stage {
        Stage before;
        Stage after;

        void join(Stage before, Stage after) {
            this.before = before;
            this.after = after;
        }

        /** Takes a request on its way to a backend. */
        abstract void take(Request req, long now);

        /** Takes back a request that has ended, or for which no more can be done. */
        void back(Request req, long now) {
            before.back(req, now);
        }
    }

    /**
     * Knows each category and quota; gives the final answer when a request comes back unfinished.
     */
    public static final class Intake extends Stage {
        /**
         * With a bucket of four, Poisson arrivals at nine tenths of the quota seldom find it empty.
         */
        private static final double DEPTH = 4;

        private final LoadBalancerActions outlet;
        private List<RequestClass> categories;
        private final boolean first;
        private final long longestComeBack;

        /**
         * Each tenant's quota at this balancer, for each tenth of a millisecond, and what is left
         * of it.
         */
        private final double[] quotas;

        private final TokenBucket[] tokens;

        /** The longest patience seen of each category. */
        private long[] longest;

        /**
         * First: whether requests come from clients; the come-back time is 0 where clients follow
         * none.
         */
        public Intake(
                LoadBalancerActions outlet,
                List<RequestClass> categories,
                List<Tenant> tenants,
                boolean first,
                DeploymentTopology shape,
                long longestComeBack) {
            this.outlet = outlet;
            this.categories = categories;
            this.first = first;
            this.longestComeBack = longestComeBack;
            this.longest = new long[categories.size()];
            this.quotas = new double[tenants.size()];
            this.tokens = new TokenBucket[tenants.size()];
            for (int t = 0; t < quotas.length; t++) {
                quotas[t] =
                        tenants.get(t).quota() / (shape.alike() ? shape.balancers() : 1) / 10_000;
                tokens[t] = new TokenBucket(Math.max(DEPTH, quotas[t] * 5_000) / 4);
            }
        }

        void retune(List<RequestClass> others) {
            categories = others;
            longest = Arrays.copyOf(longest, others.size());
        }

        void arrive(
                long now,
                long id,
                int category,
                int tenant,
                long patience,
                boolean repeated,
                long hint,
                long stood) {
            // What came during a standstill has waited as much as its patience lacks of the longest
            // seen.
            longest[category] = Math.max(longest[category], patience);
            long waited = Math.min(stood, longest[category] - patience);
            Request req =
                    new Request(
                            id,
                            categories.get(category),
                            tenant,
                            repeated,
                            now - waited,
                            now + patience,
                            hint);
            req.overQuota = first && tenant < tokens.length && !withinQuota(tenant, repeated, now);
            take(req, now);
        }

        @Override
        void take(Request req, long now) {
            if (req.expiry <= now) {
                req.why = RejectionReason.EXPIRY;
                back(req, now);
            } else {
                after.take(req, now);
            }
        }

        @Override
        void back(Request req, long now) {
            if (req.ended) {
                return;
            }
            req.ended = true;
            long comeBack = Math.min(longestComeBack, req.category.dueTime() / 2);
            if (mayDefer(req, now + comeBack)) {
                outlet.defer(req.id, comeBack, req.why);
            } else {
                outlet.writeOff(req.id, req.why);
            }
        }

        /**
         * A deferral says that trying again does no harm: of a request that may have run, only if
         * so, and if backends still know it when its client comes back.
         */
        private static boolean mayDefer(Request req, long back) {
            return req.category.repeat() == Repeat.SAFE
                    || req.mayHaveRun() == null
                    || req.category.repeat() == Repeat.KEYED
                            && req.category.scope() == RequestClass.Scope.ALL
                            && back < req.mayHaveRun().sentAt + req.category.repeatWindow();
        }

        private boolean withinQuota(int tenant, boolean repeated, long now) {
            // Half a second's worth may come at once, for arrivals are uneven, and four at least.
            double depth = Math.max(DEPTH, quotas[tenant] * 5_000);
            // What comes again is mostly excess: it must not use up the quota of what comes first.
            double needed = repeated ? Math.max(1, quotas[tenant] * 2_500) : 1;
            return tokens[tenant].take(now, quotas[tenant], depth, needed);
        }
    }

    /** Lets no more in than can be answered in time. */
    public static final class Line extends Stage {
        /**
         * In due times, as long as answers take: enough for a steady rate, yet follows a slower
         * fleet.
         */
        private static final double SPAN = 1.28;

        /** Times as long: the calm that is remembered. */
        private static final int CALM = 15;

        /**
         * Half a backend for each balancer: with fewer, one more request let in by each is too
         * much.
         */
        private static final double SPARSE = 0.5;

        /**
         * Held for each backend whatever else is seen; 5 choked the simulator. With 2 for all,
         * promised work was left out for most of a day: room grows by some spreads of chance in a
         * due time.
         */
        private static final double FLOOR = 4;

        private static final double EXCESS_FLOOR = 2;

        /**
         * How many times the calm latency is no sign yet of a queue that costs more than it brings.
         */
        private static final double WITHIN_CALM = 1.3;

        private static final double OVER_CALM = 0.9;

        /** In the logarithm of the latency: a fifth longer than calm. */
        private static final double PRESSED = 0.2;

        /** Part of the due time that a request may wait. */
        private static final double WAIT = 0.15;

        private final Fleet fleet;
        private final DeploymentTopology shape;
        private final int balancers;
        private final boolean bounded;
        private final SplittableRandom random;
        private final long span;
        private final SlidingWindowSum finished;

        /**
         * The due times of what has finished: all categories together may wait for a part of their
         * sum.
         */
        private final SlidingWindowSum dues;

        private final SlidingWindowSum latency;
        private final SlidingWindowSum latencyLog;

        /** The lowest typical latency over the span that has been seen of late. */
        private final SlidingWindowMin calm;

        /** What is within its quota and waits for room, in order of coming. */
        private final List<Request> waiting = new ArrayList<>();

        private final Entry[] lanes;

        /** The work of what comes, as far as it is told, and the quotas of all tenants together. */
        private final SlidingWindowMean hints = new SlidingWindowMean(300_000);

        private final double quotas;
        private int inside;
        private long firstAt = -1;

        /**
         * Bounded: whether this balancer may turn work away, not where others have worked on it.
         */
        public Line(
                Fleet fleet,
                SplittableRandom random,
                List<Tenant> tenants,
                DeploymentTopology shape,
                boolean bounded) {
            span = Math.round(SPAN * shape.due());
            finished = new SlidingWindowSum(span, 20);
            dues = new SlidingWindowSum(span, 20);
            latency = new SlidingWindowSum(span, 20);
            latencyLog = new SlidingWindowSum(span, 20);
            calm = new SlidingWindowMin(CALM * span, 6);
            this.fleet = fleet;
            this.random = random;
            this.shape = shape;
            this.balancers = shape.balancers();
            this.bounded = bounded;
            this.quotas = tenants.stream().mapToDouble(Tenant::quota).sum() / 10_000;
            lanes = new Entry[Math.max(1, tenants.size())];
            for (int t = 0; t < lanes.length; t++) {
                boolean apart = !shape.alike() && t < tenants.size();
                lanes[t] = new Entry(apart ? tenants.get(t).quota() / 10_000 : 0);
            }
        }

        @Override
        void take(Request req, long now) {
            firstAt = firstAt < 0 ? now : firstAt;
            if (req.hint > 0) {
                hints.add(now, 0, req.hint);
            }
            if (!bounded || fits(req, now)) {
                enter(req, now);
            } else {
                req.why =
                        req.overQuota
                                ? RejectionReason.OVER_QUOTA
                                : now + 4 * TICK >= req.expiry
                                        ? RejectionReason.EXPIRY
                                        : waiting.size() >= dues.sum(now) * WAIT / span(now)
                                                ? RejectionReason.LINE_FULL
                                                : RejectionReason.NO_ROOM;
                if (req.why == RejectionReason.NO_ROOM
                        && SPARSE * balancers <= fleet.ready.size()) {
                    req.inLineSince = now;
                    waiting.add(req);
                } else {
                    before.back(req, now);
                }
            }
        }

        private void enter(Request req, long now) {
            req.inLane = true;
            req.enteredAt = now;
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
            if (SPARSE * balancers > fleet.ready.size()) {
                return lanes[req.tenant].letsIn(req, fleet.able(req.tenant, Entry.MOST, now), now);
            }
            // So many for each backend are never too many; a part below one is let in by chance.
            double floor = (req.overQuota ? EXCESS_FLOOR : FLOOR) * fleet.ready.size() / balancers;
            if (req.overQuota && shape.many()) {
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
        private final class Entry {
            /** The most tokens kept, and how many must be there for work over its quota. */
            private static final double DEPTH = 4;

            private static final double OVER = 3;

            /**
             * What each backend may hold: 4 to 5 did alike, 3 left room unused, 6 made backends
             * choke.
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
             * The part let in at the start, and how much it grows in a tenth of a millisecond at
             * most.
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

            /**
             * Where balancers carry unlike amounts, the tenant's quota over all of them; else 0.
             */
            private final double quota;

            Entry(double quota) {
                this.quota = quota;
            }

            boolean letsIn(Request req, double backends, long now) {
                double usual = req.category.dueTime() / 3.0;
                double most = MOST;
                if (quota > 0) {
                    // What the quotas ask of each backend, in cores: it may hold that and a few of
                    // its roots.
                    double cores =
                            quotas / Math.max(1, fleet.ready.size()) * hints.mean(now, 0, 0, 0);
                    most = cores > 0 ? cores + ROOTS * Math.sqrt(cores) : MOST;
                    // Of one tenant a small balancer sees an answer in some seconds: those of all
                    // stand in.
                    usual = fleet.stayNow(FEW, Math.min(usual, most * backends / quota), now);
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
                SplittableRandom draw = req.hint > 0 ? new SplittableRandom(req.hint) : random;
                // What can't end by its due time any more is worth its late credit at most, or
                // nothing.
                double late = req.due < req.expiry ? req.category.lateCredit() : 0;
                double worth = now + time / 2 < req.due ? 1 : late;
                return quota > 0
                        ? draw.nextDouble() < part * worth
                        : tokens.take(now, rate / balancers, DEPTH, req.overQuota ? OVER : 1);
            }

            void learn(AttemptOutcome outcome, long took, long due) {
                // A quick failure must not pass for a quick answer. Eight: fewer are chance, more
                // too late.
                double shown = outcome == AttemptOutcome.FINISHED ? took : Math.max(took, 2 * time);
                time += (Math.min(shown, quota > 0 ? 4 * due : due) - time) / 8;
            }
        }

        /** A request stops counting as inside though it is not back yet. */
        void release(Request req) {
            inside -= req.inLane ? 1 : 0;
            req.inLane = false;
        }

        @Override
        void back(Request req, long now) {
            if (req.ended && req.inLane) {
                latency.add(now, now - req.enteredAt);
            }
            // What is overdue holds no room, but its latency is the fleet's.
            if (req.ended && !req.last().missed) {
                latencyLog.add(now, Math.round(1000 * Math.log(1 + now - req.enteredAt)));
                finished.add(now, 1);
                dues.add(now, req.category.dueTime());
            }
            release(req);
            before.back(req, now);
            advance(now);
        }

        /**
         * In order of the waits against the due times: by coming, work of long ones starved the
         * rest.
         */
        private void advance(long now) {
            for (boolean fits = true; fits && !waiting.isEmpty(); ) {
                Request next =
                        Collections.max(
                                waiting,
                                Comparator.comparingDouble(
                                        req ->
                                                (double) (now - req.inLineSince)
                                                        / req.category.dueTime()));
                fits = fits(next, now) && waiting.remove(next);
                if (fits) {
                    enter(next, now);
                }
            }
        }

        /**
         * Ends early what has waited long enough; takes note of the typical latency, for the calm
         * one.
         */
        void tidy(long now) {
            for (Request req : List.copyOf(waiting)) {
                if (now + 2 * TICK >= req.expiry
                        || now - req.inLineSince > 2 * WAIT * req.category.dueTime()) {
                    waiting.remove(req);
                    before.back(req, now);
                }
            }
            advance(now);
            // Soon after a start or a standstill only the quick ones have come back: the room would
            // shrink.
            if (now - firstAt >= span
                    && finished.sum(now) >= 20
                    && finished.sum(now) >= 2 * inside) {
                calm.add(now, typical(now));
            }
        }
    }

    /**
     * The design: the tenant's own lane; the public part or all backends when none of it is usable.
     */
    public static final class Lane extends Stage {
        /**
         * How far above the mean is far: low enough to keep one backend from filling while others
         * idle.
         */
        private static final double FAR = 1.25;

        /**
         * How much longer than usual work may stay in a lane of unlike balancers; at 1.25 some
         * choke.
         */
        private static final double CROWD = 1.1;

        private final Line line;
        private final Fleet fleet;

        public Lane(Line line, Fleet fleet) {
            this.line = line;
            this.fleet = fleet;
        }

        @Override
        void take(Request req, long now) {
            double out = fleet.ready.stream().mapToInt(b -> b.out).sum();
            double far =
                    FAR * out / fleet.ready.stream().mapToDouble(b -> fleet.size(b, now)).sum();
            double spare = line.pressed(now) ? 0 : 1;
            boolean crowded = fleet.crowded(req.tenant, fleet.shape.alike() ? FAR : CROWD, now);
            req.candidates =
                    crowded
                            ? List.of()
                            : fleet.usable(fleet.lane(req.tenant), req, far, spare, now);
            for (List<Backend> part :
                    List.of(fleet.open, crowded ? fleet.calm(now) : fleet.ready)) {
                if (req.candidates.isEmpty()) {
                    req.candidates = fleet.usable(part, req, far, spare, now);
                }
            }
            if (req.candidates.isEmpty()) {
                req.candidates = fleet.lastResort(req, now);
            }
            if (req.candidates.isEmpty()) {
                req.why = RejectionReason.NO_BACKEND;
                before.back(req, now);
            } else {
                after.take(req, now);
            }
        }
    }

    /** A random pick among the candidates, the larger the likelier. */
    public static final class Pick extends Stage {
        private final Fleet fleet;
        private final SplittableRandom random;

        public Pick(Fleet fleet, SplittableRandom random) {
            this.fleet = fleet;
            this.random = random;
        }

        @Override
        void take(Request req, long now) {
            double sum = 0;
            Backend choice = null;
            for (Backend b : req.candidates) {
                double size = fleet.size(b, now);
                sum += size;
                if (random.nextDouble() * sum < size) {
                    choice = b;
                }
            }
            req.candidates = List.of(choice);
            after.take(req, now);
        }
    }

    /** Sends, and decides whether what failed may and should be sent again. */
    public static final class Attempts extends Stage {
        /** Repeats of work that may have run, per attempt: more would feed an overload. */
        private static final double REPEATS = 0.1;

        /** A backend is silent when its silence has a chance of e^-8 given the gaps before. */
        private static final double SILENT = 8;

        private final LoadBalancerActions outlet;
        private final Line line;
        private final Fleet fleet;
        private int most;
        private final boolean mayRecall;
        private final Map<Long, Request> open = new HashMap<>();
        private double repeats;

        public Attempts(
                LoadBalancerActions outlet, Line line, Fleet fleet, int most, boolean mayRecall) {
            this.outlet = outlet;
            this.line = line;
            this.fleet = fleet;
            this.most = most;
            this.mayRecall = mayRecall;
        }

        @Override
        void take(Request req, long now) {
            Backend b = req.candidates.get(0);
            repeats = Math.min(5, repeats + REPEATS);
            open.put(req.id, req);
            outlet.attempt(req.id, b.id, req.sendBy());
            req.attempts.add(new Attempt(b, now));
            fleet.sent(b, req, now);
        }

        void settled(long now, long id, int number, AttemptOutcome outcome, boolean over) {
            Request req = open.get(id);
            if (req == null || number >= req.attempts.size() || !req.attempts.get(number).out) {
                return;
            }
            Attempt attempt = req.attempts.get(number);
            attempt.out = false;
            attempt.neverRan = outcome.neverRan();
            req.why = RejectionReason.of(outcome);
            fleet.settled(attempt, req, outcome, now);
            // In the batch after a standstill, times tell of the balancer and not of the backends.
            if (now != fleet.stoodAt
                    && outcome != AttemptOutcome.RECALLED
                    && outcome != AttemptOutcome.NOT_SENT) {
                line.lanes[req.tenant].learn(outcome, now - attempt.sentAt, req.category.dueTime());
            }
            boolean wasEnded = req.ended;
            req.ended |= over;
            if (!req.anyOut()) {
                open.remove(id);
            }
            if (!req.ended && !req.anyOut() && mayRepeat(req, outcome, now)) {
                before.before.take(req, now);
            } else if (req.ended ? !wasEnded : !req.anyOut()) {
                before.back(req, now);
            }
        }

        private boolean mayRepeat(Request req, AttemptOutcome last, long now) {
            if (req.attempts.size() >= most || now >= req.due) {
                return false;
            }
            boolean ran = req.mayHaveRun() != null;
            if (!ran
                    && !(last == AttemptOutcome.TURNED_AWAY
                            && fleet.shape.balancers() > 2 * fleet.ready.size())) {
                return true;
            }
            boolean may = (!ran || req.category.repeat() != Repeat.UNSAFE) && repeats >= 1;
            repeats -= may ? 1 : 0;
            return may;
        }

        void left(long now, long id) {
            Request req = open.get(id);
            if (req != null && !req.ended) {
                req.ended = true;
                before.back(req, now);
            }
        }

        /**
         * Frees the room of what is held by backends gone silent, and sends again elsewhere what
         * may be.
         */
        void rescue(long now) {
            long silent =
                    fleet.known.values().stream()
                            .filter(b -> fleet.silence(b, now) >= SILENT)
                            .count();
            // Where most are silent the fault is not theirs alone, and sending again would feed it.
            boolean few = silent * 2 <= fleet.ready.size();
            for (Backend b : fleet.known.values()) {
                boolean isSilent = fleet.silence(b, now) >= SILENT;
                for (Request req : List.copyOf(b.held.values())) {
                    Attempt attempt = req.last();
                    // Work stuck at backends that are lost filled the room, and all else was turned
                    // away.
                    if (isSilent || fleet.overdue(req, now - attempt.sentAt, now)) {
                        line.release(req);
                    }
                    if (isSilent && !attempt.missed) {
                        fleet.missed(attempt, now);
                        if (mayRecall
                                && !req.ended
                                && !attempt.recalled
                                && now < req.due
                                && (few || repeats >= 1)
                                && req.category.repeat() == Repeat.SAFE
                                && req.attempts.size() < most) {
                            attempt.recalled = true;
                            repeats += few ? 1 : 0;
                            outlet.recall(req.id, req.attempts.size() - 1);
                        }
                    }
                }
            }
        }
    }

    /** The backends: the list and its upkeep, the lanes, and how each backend is judged. */
    public static final class Fleet {
        /** Bytes of a message to peers, at most. */
        private static final int LONGEST = 256;

        /** In due times: so much of answers makes a usual time even where few come. */
        private static final double USUAL_SPAN = 6.4;

        /**
         * Three times the usual: work of uneven cost mostly stays under it; 2 and 2.5 did no
         * better.
         */
        private static final double SLOW = 3;

        /** Answers imagined for each category and for all, at the start after half the due time. */
        private static final int IMAGINED_TIMES = 10;

        /**
         * In due times: a few answers of each tenant even at many balancers, yet soon enough for a
         * lane.
         */
        private static final double STAY_SPAN = 2.56;

        /** With a part of two backends or more, what a balancer has in flight tells it enough. */
        private static final double FEW = 2;

        /**
         * So full of what backends may hold, the fleet lends none to lanes; 0.6 left quiet lanes
         * short.
         */
        private static final double LEND = 0.75;

        /**
         * Usual stays imagined for each kind of backend, so that a few do not tell how quick it is.
         */
        private static final int IMAGINED_STAYS = 10;

        /** Part of the due time up to which an attempt that is out counts as held. */
        private static final double LONG = 0.6;

        /**
         * Gaps imagined for each backend, so that one or two quick ones do not make the next look
         * late.
         */
        private static final int IMAGINED = 3;

        private final LoadBalancerActions outlet;
        private final SplittableRandom random;
        private final List<Tenant> tenants;
        private final DeploymentTopology shape;
        private final SlowStartConfig cold;
        final Map<String, Backend> known = new TreeMap<>();
        private final List<List<Backend>> lanes = new ArrayList<>();
        private final List<Backend> open = new ArrayList<>();
        private final List<Backend> ready = new ArrayList<>();
        private double finishedPerSize;
        private long askAt = Long.MAX_VALUE;
        private int failedAsks;

        /**
         * How long attempts have been out in the last seconds, added up at looks; how many were
         * sent.
         */
        private final long staySpan;

        private final SlidingWindowSum heldTime;
        private final SlidingWindowSum sends;
        private long keptAt;
        private long stoodAt = -1;
        private long stoodFor;
        private final SlidingWindowMean times;

        /** How long attempts stay: at 0 anywhere, at odd numbers by lane, at even ones by kind. */
        private final SlidingWindowMean stays;

        /** The order in which this balancer takes backends where it uses only some of a lane. */
        private final Comparator<Backend> own;

        /** Attempts that are out, by tenant. */
        private final Map<Integer, Integer> out = new HashMap<>();

        /**
         * How long answers took of late; half the due time of what was sent first stands in for a
         * few.
         */
        private final SlidingWindowMean answered;

        private double halfDue;
        private long firstSent;

        public Fleet(
                LoadBalancerActions outlet,
                SplittableRandom random,
                List<Tenant> tenants,
                DeploymentTopology shape,
                SlowStartConfig cold) {
            this.outlet = outlet;
            this.random = random;
            this.tenants = tenants;
            this.shape = shape;
            this.cold = cold;
            staySpan = Math.round(STAY_SPAN * shape.due());
            heldTime = new SlidingWindowSum(staySpan, 8);
            sends = new SlidingWindowSum(staySpan, 8);
            times = new SlidingWindowMean(Math.round(USUAL_SPAN * shape.due()));
            stays = new SlidingWindowMean(Math.round(USUAL_SPAN * shape.due()));
            answered = new SlidingWindowMean(Math.round(USUAL_SPAN * shape.due()));
            // The larger a backend, the more balancers have it first.
            this.own =
                    shape.rest() <= 0
                            ? Comparator.comparing(b -> b.id)
                            : Comparator.comparingDouble(
                                    b ->
                                            -Math.log(RendezvousHash.part(-1 - shape.me(), b.id))
                                                    / b.size());
        }

        /**
         * What is out has not been silent while nobody listened, but for as long before as it was.
         */
        void stood(long now, long time) {
            stoodAt = now;
            stoodFor = time;
            keptAt = now;
            known.values().forEach(b -> b.quietSince = Math.min(now, b.quietSince + time));
        }

        void list(long now, List<Endpoint> members, boolean whole, boolean cached) {
            if (whole) {
                var listed = members.stream().map(Endpoint::id).collect(toSet());
                known.values().stream()
                        .filter(b -> !listed.contains(b.id))
                        .forEach(b -> removed(b, now));
            }
            for (Endpoint m : members) {
                Backend b =
                        known.computeIfAbsent(
                                m.id(), id -> new Backend(m, cold.fall(), shape.due()));
                if (m.startedAt() > b.member.startedAt()) {
                    b.streak = 0;
                    b.failures.clear();
                    b.answers.clear();
                }
                b.member = m;
                b.delisted = false;
                if (m.state() == Endpoint.State.GONE) {
                    removed(b, now);
                } else {
                    b.leave(now);
                    b.leavingSince = m.state() == Endpoint.State.READY ? -1 : b.leavingSince;
                }
            }
            layLanes();
            if (shape.mustAsk()) {
                failedAsks = 0;
                askAt = Long.MAX_VALUE;
                if (cached) {
                    outlet.askList();
                }
            }
        }

        /**
         * Gone from the list, which may be wrong: where that binds nobody, it is used while it
         * answers.
         */
        private void removed(Backend b, long now) {
            b.delisted = !shape.removalBinds();
            if (!b.delisted || b.answers.sum(now) == 0) {
                b.leave(now);
            }
        }

        void listFailed(long now) {
            // Twice as long after each failure, at random, for all ask at once; a quarter of the
            // limit and
            // 0.8 s at most: 6 s after discovery can be reached again, all that it has counts as
            // told.
            long wait = Math.min(shape.askWithin() / 4, 1_000L << Math.min(3, ++failedAsks));
            askAt = now + wait / 2 + random.nextLong(Math.max(1, wait / 2));
        }

        void keepList(long now) {
            if (now >= askAt) {
                askAt = Long.MAX_VALUE;
                outlet.askList();
            }
            double size = 0;
            long finished = 0;
            for (Backend b : known.values()) {
                for (Request req : b.held.values()) {
                    // What never comes back, or far too late, counts as long as a slow answer.
                    long age = now - req.last().sentAt;
                    heldTime.add(
                            now,
                            age < LONG * req.category.dueTime() ? Math.min(age, now - keptAt) : 0);
                }
                boolean spent = now - b.restsSince > shape.rest() * ready.size();
                if (spent && shape.rest() > 0 && b.connected && b.out == 0) {
                    b.connected = false;
                    outlet.release(b.id);
                }
            }
            for (Backend b : ready) {
                double all = stays.mean(now, 0, 1, 1);
                double pace = all / stays.mean(now, 2 + 2 * b.member.kind(), IMAGINED_STAYS, all);
                // Squared, as much of a stay is often the tiers behind, which are alike for all.
                b.pace = pace * pace;
                if (cold.warmth(b.member, now) >= 1 && b.streak < 3) {
                    size += b.size();
                    finished += b.finished.sum(now);
                }
            }
            if (ready.stream().anyMatch(b -> b.delisted && b.answers.sum(now) == 0)) {
                ready.stream().filter(b -> b.delisted).forEach(b -> removed(b, now));
                layLanes();
            }
            keptAt = now;
            finishedPerSize = size > 0 ? finished / size : finishedPerSize;
        }

        /**
         * Lays out the lanes: in order of the tenants, each takes the untaken backends of highest
         * hash.
         */
        private void layLanes() {
            ready.clear();
            open.clear();
            lanes.clear();
            // What has gone for good would be looked at, and kept, for as long as the balancer
            // lives.
            known.values().removeIf(b -> b.leavingSince >= 0 && b.out == 0);
            known.values().stream().filter(b -> b.leavingSince < 0).forEach(ready::add);
            int[] sizes = laneSizes(tenants, ready.size());
            List<Backend> untaken = new ArrayList<>(ready);
            for (int t = 0; t < tenants.size(); t++) {
                int tenant = t;
                untaken.sort(
                        Comparator.comparingLong((Backend b) -> RendezvousHash.of(tenant, b.id))
                                .reversed());
                List<Backend> lane = new ArrayList<>(untaken.subList(0, sizes[t]));
                lane.sort(own);
                untaken.subList(0, sizes[t]).clear();
                lane.forEach(b -> b.lane = tenant);
                lanes.add(lane);
            }
            open.addAll(untaken);
            open.forEach(b -> b.lane = tenants.size());
            open.sort(own);
            ready.sort(own);
        }

        /**
         * Each tenant's share of the ready backends, rounded, but one backend as long as there are
         * any.
         */
        static int[] laneSizes(List<Tenant> tenants, int backends) {
            int[] sizes = new int[tenants.size()];
            for (int left = backends, neediest = 0; left > 0 && neediest >= 0; left--) {
                neediest = -1;
                double most = 1e-9;
                for (int t = 0; t < sizes.length; t++) {
                    double lack =
                            sizes[t] == 0
                                    ? Integer.MAX_VALUE - t
                                    : tenants.get(t).share() * backends - sizes[t];
                    if (lack > most) {
                        most = lack;
                        neediest = t;
                    }
                }
                if (neediest >= 0) {
                    sizes[neediest]++;
                }
            }
            return sizes;
        }

        List<Backend> lane(int tenant) {
            return tenant < lanes.size() ? lanes.get(tenant) : open;
        }

        /**
         * Whether the lane counts as unusable for this request: by chance, so that work stays there
         * no more than the given multiple of what is usual. One of many sees next to nothing in
         * flight.
         */
        boolean crowded(int tenant, double far, long now) {
            double over = laneStay(tenant, now) / Math.max(1, stays.mean(now, 0, 0, 0));
            // Where one can tell what all hold, less than two for each backend is never a crowd.
            double held = heldTime.sum(now) * over * shape.balancers() / staySpan / ready.size();
            return FEW * shape.balancers() > ready.size()
                    && (held > 2 || !shape.alike())
                    && random.nextDouble() * over > far;
        }

        /**
         * How long work stays at the backends of a lane; one usual stay imagined: at 4 lanes
         * choked.
         */
        private double laneStay(int lane, long now) {
            return stays.mean(now, 1 + 2 * lane, 1, stays.mean(now, 0, 0, 0));
        }

        /** Where a crowded lane spills to: what is no more crowded than usual. */
        List<Backend> calm(long now) {
            double usual = stays.mean(now, 0, 0, 0);
            return ready.stream().filter(b -> laneStay(b.lane, now) <= usual).toList();
        }

        /**
         * How many backends a lane is worth: its warm and trusted ones, and what the fleet has to
         * lend.
         */
        double able(int tenant, double most, long now) {
            double held = heldTime.sum(now) * (double) shape.balancers() / staySpan;
            // In the first seconds nothing has come back yet, and an idle fleet would be lent to
            // all.
            boolean lends = shape.alike() && now - firstSent >= staySpan;
            double lent = lends ? Math.max(0, LEND * ready.size() - held / most) : 0;
            return Math.max(
                    1,
                    lent
                            + lane(tenant).stream()
                                    .filter(b -> b.streak < 3)
                                    .mapToDouble(b -> cold.warmth(b.member, now))
                                    .sum());
        }

        /**
         * The first of the given backends that this request may go to now, in this balancer's
         * order.
         */
        List<Backend> usable(List<Backend> part, Request req, double far, double spare, long now) {
            // Where connections are dear, one of a lane and one for each request of the tenant that
            // is out.
            int width = shape.rest() <= 0 ? part.size() : 1 + out.getOrDefault(req.tenant, 0);
            Attempt ran = req.mayHaveRun();
            List<Backend> usable = new ArrayList<>(part.size());
            for (Backend b : part) {
                if (usable.size() < width
                        && b.out <= spare + far * size(b, now)
                        && !req.tried(b)
                        && sameGroup(b, req, ran, now)
                        && warmEnough(b, now)
                        && trusted(b, now)) {
                    usable.add(b);
                }
            }
            return usable;
        }

        private static boolean sameGroup(Backend b, Request req, Attempt ran, long now) {
            return ran == null
                    || req.category.repeat() == Repeat.SAFE
                    || req.category.repeat() == Repeat.KEYED
                            && now < req.sendBy()
                            && req.category.scope().joins(ran.backend.member, b.member);
        }

        /** The listed size, less while cold, and by how quickly its kind answers. */
        double size(Backend b, long now) {
            return Math.max(1e-3, b.size() * cold.warmth(b.member, now) * b.pace);
        }

        /**
         * Keeps a cold backend within this balancer's part of what may be sent to it in any window.
         */
        private boolean warmEnough(Backend b, long now) {
            double warmth = cold.warmth(b.member, now);
            if (warmth >= 1) {
                return true;
            }
            if (b.spacedFor != b.member.startedAt()) {
                b.spacedFor = b.member.startedAt();
                b.spacedFrom = now;
                b.spacing = random.nextDouble();
            }
            // Half of what warm ones finish: no more than they can do, while they may be sent
            // thrice that.
            // All may send one until it is known. Spaced in time: one from each of hundreds pushed
            // it over.
            double part = cold.multiple() / 2 * warmth * finishedPerSize * b.size();
            return (now - b.spacedFrom) * Math.max(part, 1.0 / shape.balancers())
                    >= cold.fall() * b.spacing;
        }

        /**
         * Where each is in doubt, those that hold nothing: a sole sound one that had failed once
         * was passed over. Only safe work, of which a failure costs least.
         */
        List<Backend> lastResort(Request req, long now) {
            boolean none =
                    req.category.repeat() != Repeat.SAFE
                            || ready.stream().anyMatch(b -> doubts(b, now) < 1);
            return none
                    ? List.of()
                    : ready.stream()
                            .filter(b -> b.out == 0 && !req.tried(b) && warmEnough(b, now))
                            .toList();
        }

        /** How long attempts stay, what is still out counted in, by Little's law; some imagined. */
        double stayNow(int imagined, double time, long now) {
            return (heldTime.sum(now) + imagined * time) / (sends.sum(now) + imagined);
        }

        private double doubts(Backend b, long now) {
            return Math.max(b.failures.sum(now), Math.min(4, b.streak))
                    + Math.max(0, silence(b, now) - 3);
        }

        /**
         * Draws from the posterior of its chance of success whether a doubtful backend gets work.
         */
        private boolean trusted(Backend b, long now) {
            double silence = silence(b, now);
            double doubts = doubts(b, now);
            // Earlier answers count less with each failure in a row since, and the longer the
            // silence is.
            double answers = b.answers.sum(now) * Math.exp(-b.streak - silence / 2);
            // Kept in proportion: one that failed half at once was trusted, and drew work by being
            // free.
            double many = Math.max(1, (answers + doubts) / 30);
            return doubts < 1
                    || BetaDistribution.draw(
                                    random, 1 + (int) (answers / many), 1 + (int) (doubts / many))
                            > 0.5;
        }

        /**
         * Whether that is far longer than answers of its category take; where few tell, those of
         * all do.
         */
        boolean overdue(Request req, long time, long now) {
            double due = log(1 + req.category.dueTime());
            double all = times.mean(now, 0, IMAGINED_TIMES, -log(2));
            return log(1 + time) - log(SLOW)
                    > times.mean(now, 1 + req.category.number(), IMAGINED_TIMES, due + all);
        }

        /** In thousandths. */
        private static long log(double time) {
            return Math.round(1000 * Math.log(time));
        }

        /** How unusual the backend's present silence is: minus the logarithm of its chance. */
        double silence(Backend b, long now) {
            // A few imagined gaps of the usual latency stand in until the backend has shown its
            // own.
            double usual = answered.mean(now, 0, IMAGINED, halfDue);
            double gap = (b.gapSum.sum(now) + IMAGINED * usual) / (b.gapCount.sum(now) + IMAGINED);
            // A backend that has failed of late is given less time.
            return (now - b.quietSince)
                    * b.awaited()
                    * (1 + Math.min(4, b.streak))
                    / Math.max(1, gap);
        }

        /**
         * Tells the others what was found lost; of many balancers, the false finds add up and shun
         * all.
         */
        void tell() {
            String lost =
                    known.values().stream()
                            .filter(b -> b.lost)
                            .map(b -> b.id + " ")
                            .collect(joining());
            known.values().forEach(b -> b.lost = false);
            if (shape.mayTell() && shape.balancers() <= ready.size() && !lost.isEmpty()) {
                outlet.tellPeers(lost.substring(0, lost.lastIndexOf(' ', LONGEST)).getBytes(UTF_8));
            }
        }

        /**
         * Doubts what others have found lost, unless it has answered here of late; never passes it
         * on.
         */
        void heard(long now, byte[] message) {
            for (String id : new String(message, UTF_8).split(" ")) {
                Backend b = known.get(id);
                if (b != null && b.answers.sum(now) == 0) {
                    b.failures.add(now, 1);
                    b.streak = Math.max(b.streak, 3);
                }
            }
        }

        void sent(Backend b, Request req, long now) {
            b.quietSince = b.awaited() == 0 ? now : b.quietSince;
            if (halfDue == 0) {
                firstSent = now;
                halfDue = req.category.dueTime() / 2.0;
            }
            b.connected = true;
            out.merge(req.tenant, 1, Integer::sum);
            b.out++;
            b.held.put(req.id, req);
            sends.add(now, 1);
            b.spacedFrom = now;
            b.spacing = 0.5 + random.nextDouble();
        }

        /**
         * Its backend has been silent for too long: found then, and not again when it ends. It is
         * waited for no more: what was stuck since a cut kept a backend silent until it expired,
         * long after the heal.
         */
        void missed(Attempt attempt, long now) {
            // No single chance failure, so it counts for several.
            attempt.missed = true;
            attempt.backend.missed++;
            attempt.backend.failures.add(now, 1);
            attempt.backend.streak += 3;
            attempt.backend.lost = true;
        }

        void settled(Attempt attempt, Request req, AttemptOutcome outcome, long now) {
            Backend b = attempt.backend;
            if (outcome == AttemptOutcome.FINISHED
                    || outcome == AttemptOutcome.ERROR
                    || outcome == AttemptOutcome.TURNED_AWAY) {
                b.gapCount.add(now, 1);
                b.gapSum.add(now, (now - b.quietSince) * b.awaited());
                b.quietSince = now;
            }
            b.missed -= attempt.missed ? 1 : 0;
            if (outcome == AttemptOutcome.FINISHED) {
                // One that has slowed down still answers, and would draw work for as long as it
                // does.
                boolean slow =
                        now != stoodAt
                                && times.count(now, 1 + req.category.number()) >= IMAGINED_TIMES
                                && overdue(req, now - attempt.sentAt, now);
                times.add(now, 0, log(1 + now - attempt.sentAt) - log(1 + req.category.dueTime()));
                times.add(now, 1 + req.category.number(), log(1 + now - attempt.sentAt));
                (slow ? b.failures : b.answers).add(now, 1);
                b.streak = 0;
                b.finished.add(now, 1);
                answered.add(now, 0, now - attempt.sentAt);
            } else if (!attempt.missed
                    && outcome != AttemptOutcome.RECALLED
                    && outcome != AttemptOutcome.NOT_SENT) {
                b.failures.add(now, 1);
                b.streak++;
                // Where each must find out alone, a lost zone costs every balancer work at each
                // backend.
                b.lost |= outcome == AttemptOutcome.NO_CONNECTION && b.streak >= 2;
            }
            if (now != stoodAt
                    && (outcome == AttemptOutcome.FINISHED
                            || outcome == AttemptOutcome.TIMED_OUT)) {
                stays.add(now, 0, now - attempt.sentAt);
                stays.add(now, 1 + 2 * b.lane, now - attempt.sentAt);
                stays.add(now, 2 + 2 * b.member.kind(), now - attempt.sentAt);
            }
            out.merge(req.tenant, -1, Integer::sum);
            b.out--;
            b.restsSince = now;
            b.held.remove(req.id);
        }
    }
}

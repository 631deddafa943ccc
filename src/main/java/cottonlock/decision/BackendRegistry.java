package cottonlock.decision;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.stream.Collectors.joining;
import static java.util.stream.Collectors.toSet;

import cottonlock.decision.Request.Attempt;
import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.Endpoint;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.RequestClass.Idempotency;
import cottonlock.decision.api.SlowStartConfig;
import cottonlock.decision.api.Tenant;
import cottonlock.decision.stats.BetaDistribution;
import cottonlock.decision.stats.SlidingWindowMean;
import cottonlock.decision.stats.SlidingWindowSum;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** The backends: the list and its upkeep, the lanes, and how each backend is judged. */
public final class BackendRegistry {
    /** Bytes of a message to peers, at most. */
    private static final int LONGEST = 256;

    /** In due times: so much of answers makes a usual time even where few come. */
    private static final double USUAL_SPAN = 6.4;

    /**
     * Three times the usual: work of uneven cost mostly stays under it; 2 and 2.5 did no better.
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
     * So full of what backends may hold, the fleet lends none to lanes; 0.6 left quiet lanes short.
     */
    private static final double LEND = 0.75;

    /** Usual stays imagined for each kind of backend, so that a few do not tell how quick it is. */
    private static final int IMAGINED_STAYS = 10;

    /** Part of the due time up to which an attempt that is out counts as held. */
    private static final double LONG = 0.6;

    /**
     * Gaps imagined for each backend, so that one or two quick ones do not make the next look late.
     */
    private static final int IMAGINED = 3;

    private final LoadBalancerActions outlet;
    private final SplittableRandom random;
    private final List<Tenant> tenants;
    final DeploymentTopology shape;
    private final SlowStartConfig cold;
    final Map<String, Backend> known = new TreeMap<>();
    private final List<List<Backend>> lanes = new ArrayList<>();
    final List<Backend> open = new ArrayList<>();
    final List<Backend> ready = new ArrayList<>();
    private double finishedPerSize;
    private long askAt = Long.MAX_VALUE;
    private int failedAsks;

    /**
     * How long attempts have been out in the last seconds, added up at looks; how many were sent.
     */
    private final long staySpan;

    private final SlidingWindowSum heldTime;
    private final SlidingWindowSum sends;
    private long keptAt;
    long stoodAt = -1;
    long stoodFor;
    private final SlidingWindowMean times;

    /** How long attempts stay: at 0 anywhere, at odd numbers by lane, at even ones by kind. */
    private final SlidingWindowMean stays;

    /** The order in which this balancer takes backends where it uses only some of a lane. */
    private final Comparator<Backend> own;

    /** AttemptTracker that are out, by tenant. */
    private final Map<Integer, Integer> out = new HashMap<>();

    /**
     * How long answers took of late; half the due time of what was sent first stands in for a few.
     */
    private final SlidingWindowMean answered;

    private double halfDue;
    private long firstSent;

    public BackendRegistry(
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
        staySpan = Math.round(STAY_SPAN * shape.meanLatencyObjectiveTicks());
        heldTime = new SlidingWindowSum(staySpan, 8);
        sends = new SlidingWindowSum(staySpan, 8);
        times = new SlidingWindowMean(Math.round(USUAL_SPAN * shape.meanLatencyObjectiveTicks()));
        stays = new SlidingWindowMean(Math.round(USUAL_SPAN * shape.meanLatencyObjectiveTicks()));
        answered =
                new SlidingWindowMean(Math.round(USUAL_SPAN * shape.meanLatencyObjectiveTicks()));
        // The larger a backend, the more balancers have it first.
        this.own =
                shape.connectionBreakEvenTicks() <= 0
                        ? Comparator.comparing(b -> b.id)
                        : Comparator.comparingDouble(
                                b ->
                                        -Math.log(RendezvousHash.part(-1 - shape.ownIndex(), b.id))
                                                / b.size());
    }

    /** What is out has not been silent while nobody listened, but for as long before as it was. */
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
                            m.id(),
                            id ->
                                    new Backend(
                                            m,
                                            cold.overloadWindowTicks(),
                                            shape.meanLatencyObjectiveTicks()));
            if (m.startedAtTicks() > b.member.startedAtTicks()) {
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
        if (shape.endpointListPolled()) {
            failedAsks = 0;
            askAt = Long.MAX_VALUE;
            if (cached) {
                outlet.subscribeEndpointList();
            }
        }
    }

    /**
     * Gone from the list, which may be wrong: where that binds nobody, it is used while it answers.
     */
    private void removed(Backend b, long now) {
        b.delisted = !shape.removalBinding();
        if (!b.delisted || b.answers.sum(now) == 0) {
            b.leave(now);
        }
    }

    void listFailed(long now) {
        // Twice as long after each failure, at random, for all ask at once; a quarter of the
        // limit and
        // 0.8 s at most: 6 s after discovery can be reached again, all that it has counts as
        // told.
        long wait = Math.min(shape.maxPollIntervalTicks() / 4, 1_000L << Math.min(3, ++failedAsks));
        askAt = now + wait / 2 + random.nextLong(Math.max(1, wait / 2));
    }

    void keepList(long now) {
        if (now >= askAt) {
            askAt = Long.MAX_VALUE;
            outlet.subscribeEndpointList();
        }
        double size = 0;
        long finished = 0;
        for (Backend b : known.values()) {
            for (Request req : b.held.values()) {
                // What never comes back, or far too late, counts as long as a slow answer.
                long age = now - req.lastAttempt().sentAtTicks;
                heldTime.add(
                        now,
                        age < LONG * req.requestClass.latencyObjectiveTicks()
                                ? Math.min(age, now - keptAt)
                                : 0);
            }
            boolean spent = now - b.restsSince > shape.connectionBreakEvenTicks() * ready.size();
            if (spent && shape.connectionBreakEvenTicks() > 0 && b.connected && b.out == 0) {
                b.connected = false;
                outlet.closeIdleConnections(b.id);
            }
        }
        for (Backend b : ready) {
            double all = stays.mean(now, 0, 1, 1);
            double pace =
                    all / stays.mean(now, 2 + 2 * b.member.machineKind(), IMAGINED_STAYS, all);
            // Squared, as much of a stay is often the tiers behind, which are alike for all.
            b.pace = pace * pace;
            if (cold.warmUpFraction(b.member, now) >= 1 && b.streak < 3) {
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
     * Lays out the lanes: in order of the tenants, each takes the untaken backends of highest hash.
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
     * Each tenant's share of the ready backends, rounded, but one backend as long as there are any.
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
                                : tenants.get(t).capacityShare() * backends - sizes[t];
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
     * Whether the lane counts as unusable for this request: by chance, so that work stays there no
     * more than the given multiple of what is usual. One of many sees next to nothing in flight.
     */
    boolean crowded(int tenant, double far, long now) {
        double over = laneStay(tenant, now) / Math.max(1, stays.mean(now, 0, 0, 0));
        // Where one can tell what all hold, less than two for each backend is never a crowd.
        double held =
                heldTime.sum(now) * over * shape.loadBalancerCount() / staySpan / ready.size();
        return FEW * shape.loadBalancerCount() > ready.size()
                && (held > 2 || !shape.evenlyLoaded())
                && random.nextDouble() * over > far;
    }

    /**
     * How long work stays at the backends of a lane; one usual stay imagined: at 4 lanes choked.
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
     * How many backends a lane is worth: its warm and trusted ones, and what the fleet has to lend.
     */
    double able(int tenant, double most, long now) {
        double held = heldTime.sum(now) * (double) shape.loadBalancerCount() / staySpan;
        // In the first seconds nothing has come back yet, and an idle fleet would be lent to
        // all.
        boolean lends = shape.evenlyLoaded() && now - firstSent >= staySpan;
        double lent = lends ? Math.max(0, LEND * ready.size() - held / most) : 0;
        return Math.max(
                1,
                lent
                        + lane(tenant).stream()
                                .filter(b -> b.streak < 3)
                                .mapToDouble(b -> cold.warmUpFraction(b.member, now))
                                .sum());
    }

    /**
     * The first of the given backends that this request may go to now, in this balancer's order.
     */
    List<Backend> usable(List<Backend> part, Request req, double far, double spare, long now) {
        // Where connections are dear, one of a lane and one for each request of the tenant that
        // is out.
        int width =
                shape.connectionBreakEvenTicks() <= 0
                        ? part.size()
                        : 1 + out.getOrDefault(req.tenant, 0);
        Attempt ran = req.firstPossiblyExecuted();
        List<Backend> usable = new ArrayList<>(part.size());
        for (Backend b : part) {
            if (usable.size() < width
                    && b.out <= spare + far * size(b, now)
                    && !req.hasTried(b)
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
                || req.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || req.requestClass.idempotency() == Idempotency.WITH_KEY
                        && now < req.sendByTicks()
                        && req.requestClass
                                .deduplicationScope()
                                .covers(ran.backend.member, b.member);
    }

    /** The listed size, less while cold, and by how quickly its kind answers. */
    double size(Backend b, long now) {
        return Math.max(1e-3, b.size() * cold.warmUpFraction(b.member, now) * b.pace);
    }

    /** Keeps a cold backend within this balancer's part of what may be sent to it in any window. */
    private boolean warmEnough(Backend b, long now) {
        double warmth = cold.warmUpFraction(b.member, now);
        if (warmth >= 1) {
            return true;
        }
        if (b.spacedFor != b.member.startedAtTicks()) {
            b.spacedFor = b.member.startedAtTicks();
            b.spacedFrom = now;
            b.spacing = random.nextDouble();
        }
        // Half of what warm ones finish: no more than they can do, while they may be sent
        // thrice that.
        // All may send one until it is known. Spaced in time: one from each of hundreds pushed
        // it over.
        double part = cold.overloadMultiple() / 2 * warmth * finishedPerSize * b.size();
        return (now - b.spacedFrom) * Math.max(part, 1.0 / shape.loadBalancerCount())
                >= cold.overloadWindowTicks() * b.spacing;
    }

    /**
     * Where each is in doubt, those that hold nothing: a sole sound one that had failed once was
     * passed over. Only safe work, of which a failure costs least.
     */
    List<Backend> lastResort(Request req, long now) {
        boolean none =
                req.requestClass.idempotency() != Idempotency.IDEMPOTENT
                        || ready.stream().anyMatch(b -> doubts(b, now) < 1);
        return none
                ? List.of()
                : ready.stream()
                        .filter(b -> b.out == 0 && !req.hasTried(b) && warmEnough(b, now))
                        .toList();
    }

    /** How long attempts stay, what is still out counted in, by Little's law; some imagined. */
    double stayNow(int imagined, double time, long now) {
        return (heldTime.sum(now) + imagined * time) / (sends.sum(now) + imagined);
    }

    double doubts(Backend b, long now) {
        return Math.max(b.failures.sum(now), Math.min(4, b.streak))
                + Math.max(0, silence(b, now) - 3);
    }

    /** Draws from the posterior of its chance of success whether a doubtful backend gets work. */
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
     * Whether that is far longer than answers of its category take; where few tell, those of all
     * do.
     */
    boolean overdue(Request req, long time, long now) {
        double due = log(1 + req.requestClass.latencyObjectiveTicks());
        double all = times.mean(now, 0, IMAGINED_TIMES, -log(2));
        return log(1 + time) - log(SLOW)
                > times.mean(now, 1 + req.requestClass.number(), IMAGINED_TIMES, due + all);
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
        return (now - b.quietSince) * b.awaited() * (1 + Math.min(4, b.streak)) / Math.max(1, gap);
    }

    /**
     * Tells the others what was found lost; of many balancers, the false finds add up and shun all.
     */
    void tell() {
        String lost =
                known.values().stream().filter(b -> b.lost).map(b -> b.id + " ").collect(joining());
        known.values().forEach(b -> b.lost = false);
        if (shape.peerMessagesAllowed()
                && shape.loadBalancerCount() <= ready.size()
                && !lost.isEmpty()) {
            outlet.broadcastToPeers(
                    lost.substring(0, lost.lastIndexOf(' ', LONGEST)).getBytes(UTF_8));
        }
    }

    /**
     * Doubts what others have found lost, unless it has answered here of late; never passes it on.
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
            halfDue = req.requestClass.latencyObjectiveTicks() / 2.0;
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
     * waited for no more: what was stuck since a cut kept a backend silent until it expired, long
     * after the heal.
     */
    void missed(Attempt attempt, long now) {
        // No single chance failure, so it counts for several.
        attempt.backendWasSilent = true;
        attempt.backend.missed++;
        attempt.backend.failures.add(now, 1);
        attempt.backend.streak += 3;
        attempt.backend.lost = true;
    }

    void settled(Attempt attempt, Request req, AttemptOutcome outcome, long now) {
        Backend b = attempt.backend;
        if (outcome == AttemptOutcome.COMPLETED
                || outcome == AttemptOutcome.ERROR
                || outcome == AttemptOutcome.REJECTED) {
            b.gapCount.add(now, 1);
            b.gapSum.add(now, (now - b.quietSince) * b.awaited());
            b.quietSince = now;
        }
        b.missed -= attempt.backendWasSilent ? 1 : 0;
        if (outcome == AttemptOutcome.COMPLETED) {
            // One that has slowed down still answers, and would draw work for as long as it
            // does.
            boolean slow =
                    now != stoodAt
                            && times.count(now, 1 + req.requestClass.number()) >= IMAGINED_TIMES
                            && overdue(req, now - attempt.sentAtTicks, now);
            times.add(
                    now,
                    0,
                    log(1 + now - attempt.sentAtTicks)
                            - log(1 + req.requestClass.latencyObjectiveTicks()));
            times.add(now, 1 + req.requestClass.number(), log(1 + now - attempt.sentAtTicks));
            (slow ? b.failures : b.answers).add(now, 1);
            b.streak = 0;
            b.finished.add(now, 1);
            answered.add(now, 0, now - attempt.sentAtTicks);
        } else if (!attempt.backendWasSilent
                && outcome != AttemptOutcome.CANCELLED
                && outcome != AttemptOutcome.NOT_SENT) {
            b.failures.add(now, 1);
            b.streak++;
            // Where each must find out alone, a lost zone costs every balancer work at each
            // backend.
            b.lost |= outcome == AttemptOutcome.CONNECT_FAILED && b.streak >= 2;
        }
        if (now != stoodAt
                && (outcome == AttemptOutcome.COMPLETED || outcome == AttemptOutcome.TIMED_OUT)) {
            stays.add(now, 0, now - attempt.sentAtTicks);
            stays.add(now, 1 + 2 * b.lane, now - attempt.sentAtTicks);
            stays.add(now, 2 + 2 * b.member.machineKind(), now - attempt.sentAtTicks);
        }
        out.merge(req.tenant, -1, Integer::sum);
        b.out--;
        b.restsSince = now;
        b.held.remove(req.id);
    }
}

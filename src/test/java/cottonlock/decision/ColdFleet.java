package cottonlock.decision;

import cottonlock.decision.admission.AdmissionController;
import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.Endpoint;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.RejectionReason;
import cottonlock.decision.api.RequestClass;
import cottonlock.decision.api.RequestClass.DeduplicationScope;
import cottonlock.decision.api.RequestClass.Idempotency;
import cottonlock.decision.api.SlowStartConfig;
import cottonlock.decision.api.Tenant;
import cottonlock.decision.backend.BackendRegistry;
import cottonlock.decision.retry.AttemptTracker;
import cottonlock.decision.routing.BackendPicker;
import cottonlock.decision.routing.LaneSelector;
import cottonlock.lab.world.World;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Balancers in virtual time, each as it decides, before backends that join and come back cold;
 * counts what all of them together send a cold one, against what it bears. One seed gives one run.
 */
final class ColdFleet {
    static final SlowStartConfig COLD = new SlowStartConfig(0.35, 87_000, 3, 30_000);

    /** When backends come cold and the traffic changes, and until when the run goes on. */
    private static final long EVENT = 200_000;

    private static final long END = 320_000;
    private static final long BURST = 80_000;

    /** Work of each category, in that of the mean request, and its part of the requests. */
    private static final double[] WORK = {0.4, 1, 2.8};

    private static final double[] PARTS = {0.45, 0.4, 0.15};
    private static final long[] PATIENCE = {20_000, 40_000, 60_000};
    private static final List<RequestClass> CATEGORIES =
            List.of(
                    new RequestClass(
                            0, 7_500, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 50_000),
                    new RequestClass(
                            1,
                            15_000,
                            1,
                            0,
                            Idempotency.IDEMPOTENT,
                            DeduplicationScope.ALL,
                            50_000),
                    new RequestClass(
                            2,
                            25_000,
                            1,
                            0,
                            Idempotency.WITH_KEY,
                            DeduplicationScope.ZONE,
                            100_000));
    private static final int WORKERS = 4;
    private static final int QUEUE = 20;

    /** What happens. Capacities and rates are in requests of mean work a second. */
    static final class Day {
        final String name;
        int proxies = 30;

        /** What the settings call the number of proxies; 0 for the true one. */
        int fleetSize;

        int backends = 12;
        double capacity = 25;
        double load = 0.6;
        double burst = 1;

        /** How many times the mean the busiest callers get: one in six of them. */
        double uneven = 1;

        /** Whether at the event traffic leaves one half of the proxies for the other. */
        boolean moves;

        /** The part of the proxies that start anew at the event. */
        double restarts;

        /** The part of the backends that start anew, and within what time; how many join. */
        double replaced = 0.25;

        long within;
        int added = 1;

        /** How late the list may come. */
        long late;

        boolean first = true;
        int tenants = 5;

        /** The part of the backends that are dead from a second before the event on. */
        double dead;

        Day(String name) {
            this.name = name;
        }
    }

    /**
     * What came of a day.
     *
     * @param worst the most work sent to a cold backend in a window, against what makes it fall
     * @param mean the same, each backend's worst window, in the mean of the cold ones
     * @param used the part of what a cold one bears that it was sent in its first window
     * @param served the part of the requests after the event that were answered
     * @param broken backends that fell of what over two thirds came from proxies told of the start
     */
    record Result(double worst, double mean, double used, double served, int broken) {}

    private record Job(Proxy proxy, int life, long id, int attempt, double work, long expiry) {}

    private record Sent(long at, double work, boolean told) {}

    /** A request that a balancer holds, and which of its attempts are out. */
    private static final class Open {
        final double work;
        final long expiry;
        final int category;
        final int tenant;
        final boolean again;
        final List<Boolean> out = new ArrayList<>();
        boolean answered;

        Open(double work, long expiry, int category, int tenant, boolean again) {
            this.work = work;
            this.expiry = expiry;
            this.category = category;
            this.tenant = tenant;
            this.again = again;
        }
    }

    private final class Machine {
        Endpoint member;
        final Deque<Job> queue = new ArrayDeque<>();
        int busy;
        int start;
        boolean dead;

        /** What was sent since each cold start, and the starts. */
        final List<Sent> sent = new ArrayList<>();

        final List<Double> ratios = new ArrayList<>();
        double worst;
        double used;
        double inWindow;
        int oldest;
        boolean broken;

        Machine(Endpoint member) {
            this.member = member;
        }

        double capacity() {
            return day.capacity * member.capacityWeight();
        }

        void comes(Job job) {
            if (dead) {
                world.at(
                        world.now() + 1_500,
                        () -> job.proxy.settle(job, AttemptOutcome.CONNECT_FAILED));
            } else if (busy < WORKERS) {
                run(job);
            } else if (queue.size() < QUEUE) {
                queue.add(job);
            } else {
                answer(job, AttemptOutcome.REJECTED);
            }
        }

        private void run(Job job) {
            busy++;
            int life = start;
            double rate = capacity() / WORKERS * COLD.warmUpFraction(member, world.now());
            world.at(
                    world.now() + Math.round(10_000 * job.work / rate),
                    () -> {
                        if (life == start) {
                            busy--;
                            answer(job, AttemptOutcome.COMPLETED);
                            while (!queue.isEmpty() && busy < WORKERS) {
                                Job next = queue.poll();
                                if (next.expiry > world.now()) {
                                    run(next);
                                }
                            }
                        } else {
                            answer(job, AttemptOutcome.CONNECTION_BROKEN);
                        }
                    });
        }

        private void answer(Job job, AttemptOutcome outcome) {
            world.at(world.now() + 3, () -> job.proxy.settle(job, outcome));
        }

        /** Starts cold, now. */
        void start() {
            close();
            start++;
            busy = 0;
            List<Job> lost = new ArrayList<>(queue);
            queue.clear();
            lost.forEach(job -> answer(job, AttemptOutcome.CONNECTION_BROKEN));
            member =
                    new Endpoint(
                            member.id(),
                            member.zone(),
                            member.machineKind(),
                            member.cell(),
                            Endpoint.State.READY,
                            member.capacityWeight(),
                            world.now());
            Endpoint m = member;
            for (Proxy p : proxies) {
                long late = day.late > 0 ? world.chance().nextLong(day.late) : 0;
                world.at(world.now() + late, () -> p.told(m));
            }
        }

        /** Ends the count of one cold start. */
        void close() {
            if (member.startedAtTicks() > 0) {
                ratios.add(worst);
                allUsed += used;
                broke += broken ? 1 : 0;
            }
            sent.clear();
            worst = 0;
            used = 0;
            inWindow = 0;
            oldest = 0;
            broken = false;
        }

        void count(double work, boolean told) {
            long now = world.now();
            long age = now - member.startedAtTicks();
            if (member.startedAtTicks() == 0 || age >= COLD.warmUpTicks()) {
                return;
            }
            sent.add(new Sent(now, work, told));
            inWindow += work;
            while (sent.get(oldest).at <= now - COLD.overloadWindowTicks()) {
                inWindow -= sent.get(oldest++).work;
            }
            // The capacity grows evenly: over the window it is the mean of its ends, and least at
            // the start.
            double from = Math.max(0, age - COLD.overloadWindowTicks());
            double before = Math.max(0, COLD.overloadWindowTicks() - age);
            double grown =
                    COLD.initialFraction()
                            + (1 - COLD.initialFraction()) * (from + age) / 2 / COLD.warmUpTicks();
            double bears =
                    COLD.overloadMultiple()
                            * capacity()
                            / 10_000
                            * (COLD.initialFraction() * before
                                    + grown * (COLD.overloadWindowTicks() - before));
            double ratio = inWindow / (bears + 2 * Math.sqrt(bears) + 2);
            worst = Math.max(worst, ratio);
            used = age <= COLD.overloadWindowTicks() ? inWindow / bears : used;
            if (ratio > 1) {
                double known =
                        sent.subList(oldest, sent.size()).stream()
                                .filter(s -> s.told)
                                .mapToDouble(s -> s.work)
                                .sum();
                broken |= known > inWindow * 2 / 3;
            }
        }
    }

    private final class Proxy implements LoadBalancerActions {
        final int number;
        LoadBalancer balancer;
        int life;
        private final Map<Long, Open> open = new HashMap<>();
        private final Map<String, Long> heardOf = new HashMap<>();

        Proxy(int number) {
            this.number = number;
        }

        void start() {
            life++;
            open.clear();
            DeploymentTopology shape =
                    new DeploymentTopology(
                            day.fleetSize > 0 ? day.fleetSize : day.proxies,
                            number,
                            true,
                            0,
                            true,
                            false,
                            100_000,
                            true,
                            15_000);
            SplittableRandom random = new SplittableRandom(world.chance().nextLong());
            BackendRegistry fleet = new BackendRegistry(this, random.split(), tenants, shape, COLD);
            AdmissionController line =
                    new AdmissionController(fleet, random.split(), tenants, shape, day.first);
            balancer =
                    new LoadBalancer(
                            this,
                            new RequestIntake(this, CATEGORIES, tenants, day.first, shape, 10_000),
                            line,
                            new LaneSelector(line, fleet),
                            new BackendPicker(fleet, random.split()),
                            new AttemptTracker(this, line, fleet, 4, true),
                            fleet);
            balancer.start(world.now());
            List<Endpoint> members = machines.values().stream().map(m -> m.member).toList();
            members.forEach(m -> heardOf.put(m.id(), m.startedAtTicks()));
            balancer.onEndpointList(world.now(), members, true, false);
        }

        void told(Endpoint m) {
            heardOf.put(m.id(), m.startedAtTicks());
            balancer.onEndpointList(world.now(), List.of(m), false, false);
        }

        void arrive(int category, int tenant, double work, boolean again) {
            long id = nextId++;
            open.put(id, new Open(work, world.now() + PATIENCE[category], category, tenant, again));
            balancer.onRequest(world.now(), id, category, tenant, PATIENCE[category], again, 0);
        }

        void settle(Job job, AttemptOutcome outcome) {
            Open of = open.get(job.id);
            if (job.life != life || of == null || !of.out.get(job.attempt)) {
                return;
            }
            of.out.set(job.attempt, false);
            served +=
                    outcome == AttemptOutcome.COMPLETED && !of.answered && world.now() > EVENT
                            ? 1
                            : 0;
            of.answered |= outcome == AttemptOutcome.COMPLETED;
            balancer.onAttemptCompleted(world.now(), job.id, job.attempt, outcome, of.answered);
            if (of.answered && !of.out.contains(true)) {
                open.remove(job.id);
            }
        }

        @Override
        public void startAttempt(long req, String backend, long sendBy) {
            Open of = open.get(req);
            of.out.add(true);
            Machine machine = machines.get(backend);
            Job job = new Job(this, life, req, of.out.size() - 1, of.work, of.expiry);
            machine.count(
                    of.work, heardOf.getOrDefault(backend, 0L) == machine.member.startedAtTicks());
            world.at(world.now() + 3, () -> machine.comes(job));
            world.at(of.expiry, () -> settle(job, AttemptOutcome.TIMED_OUT));
        }

        @Override
        public void cancelAttempt(long req, int attempt) {
            Job job = new Job(this, life, req, attempt, 0, 0);
            world.at(world.now() + 1, () -> settle(job, AttemptOutcome.CANCELLED));
        }

        @Override
        public void reject(long req, long comeBack, RejectionReason why) {
            Open of = open.get(req);
            fail(req, why);
            if (!of.again && world.chance().nextInt(2) == 0) {
                world.at(
                        world.now() + comeBack,
                        () -> arrive(of.category, of.tenant, of.work, true));
            }
        }

        @Override
        public void fail(long req, RejectionReason why) {
            Open of = open.get(req);
            of.answered = true;
            if (!of.out.contains(true)) {
                open.remove(req);
            }
        }

        @Override
        public void scheduleTimer(long at) {
            int now = life;
            world.at(
                    at,
                    () -> {
                        if (now == life) {
                            balancer.onTimer(world.now());
                        }
                    });
        }

        @Override
        public void subscribeEndpointList() {}

        @Override
        public void closeIdleConnections(String backend) {}

        @Override
        public void probe(String backend) {}

        @Override
        public void broadcastToPeers(byte[] message) {
            proxies.stream()
                    .filter(p -> p != this)
                    .forEach(
                            p ->
                                    world.at(
                                            world.now() + 5,
                                            () -> p.balancer.onPeerMessage(world.now(), message)));
        }

        @Override
        public void log(String line) {}
    }

    private final World world;
    private final Day day;
    private final List<Tenant> tenants = new ArrayList<>();
    private final Map<String, Machine> machines = new TreeMap<>();
    private final List<Proxy> proxies = new ArrayList<>();
    private long nextId = 1;
    private long came;
    private long served;
    private double allUsed;
    private int broke;

    private ColdFleet(Day day, long seed) {
        this.day = day;
        world = new World(seed);
    }

    static Result run(Day day, long seed) {
        return new ColdFleet(day, seed).run();
    }

    private Machine machine(int n, long startedAt) {
        return new Machine(
                new Endpoint(
                        "b" + n,
                        n % 3,
                        n % 2,
                        n / 2,
                        Endpoint.State.READY,
                        n % 4 == 0 ? 2 : 1,
                        startedAt));
    }

    private Result run() {
        double capacity = 0;
        for (int n = 0; n < day.backends; n++) {
            machines.put("b" + n, machine(n, 0));
            capacity += machines.get("b" + n).capacity();
        }
        for (int t = 0; t < day.tenants; t++) {
            double share = t == 0 ? 0.4 : 0.6 / (day.tenants - 1);
            tenants.add(new Tenant(share, share * capacity * 0.7));
        }
        for (int n = 0; n < day.proxies; n++) {
            proxies.add(new Proxy(n));
        }
        proxies.forEach(p -> world.at(world.chance().nextLong(250), p::start));
        for (int n = 0; n < Math.round(day.dead * day.backends); n++) {
            Machine m = machines.get("b" + (day.backends - 1 - n));
            world.at(EVENT - 10_000, () -> m.dead = true);
        }
        int replaced = (int) Math.round(day.replaced * day.backends);
        for (int n = 0; n < replaced; n++) {
            Machine m = machines.get("b" + n);
            world.at(EVENT + day.within * n / replaced, m::start);
        }
        for (int n = 0; n < day.added; n++) {
            int number = day.backends + n;
            world.at(
                    EVENT + day.within * n / Math.max(1, day.added),
                    () -> {
                        Machine m = machine(number, 0);
                        machines.put("b" + number, m);
                        m.start();
                    });
        }
        for (int n = 0; n < Math.round(day.restarts * day.proxies); n++) {
            Proxy p = proxies.get(n);
            world.at(EVENT + world.chance().nextLong(1_000), p::start);
        }
        traffic(capacity * day.load / 10_000);
        world.until(END);
        machines.values().forEach(Machine::close);
        List<Double> ratios = machines.values().stream().flatMap(m -> m.ratios.stream()).toList();
        double sum = ratios.stream().mapToDouble(r -> r).sum();
        double worst = ratios.stream().mapToDouble(r -> r).max().orElse(0);
        return new Result(
                worst, sum / ratios.size(), allUsed / ratios.size(), (double) served / came, broke);
    }

    private void traffic(double rate) {
        boolean after = world.now() >= EVENT;
        double now = rate * (after && world.now() < EVENT + BURST ? day.burst : 1);
        double gap = -Math.log(1 - world.chance().nextDouble()) / now;
        world.at(
                world.now() + Math.max(0, Math.round(gap)),
                () -> {
                    if (world.now() > 300) {
                        came += world.now() > EVENT ? 1 : 0;
                        int category = drawn(PARTS);
                        double[] shares =
                                tenants.stream().mapToDouble(Tenant::capacityShare).toArray();
                        double work = WORK[category] * (0.5 + world.chance().nextDouble());
                        caller().arrive(category, drawn(shares), work, false);
                    }
                    traffic(rate);
                });
    }

    private Proxy caller() {
        double[] weights = new double[day.proxies];
        for (int n = 0; n < weights.length; n++) {
            boolean quiet = day.moves && (n % 2 == 0) == world.now() < EVENT;
            weights[n] = quiet ? 0.02 : n % 6 == 5 || n % 6 == 2 ? day.uneven : 1;
        }
        return proxies.get(drawn(weights));
    }

    private int drawn(double[] weights) {
        double sum = 0;
        for (double w : weights) {
            sum += w;
        }
        double draw = world.chance().nextDouble() * sum;
        for (int n = 0; n < weights.length; n++) {
            draw -= weights[n];
            if (draw < 0) {
                return n;
            }
        }
        return weights.length - 1;
    }
}

package cottonlock.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The clients, and the front-end balancer that distributes their connections among the proxies of
 * their zone. Arrivals are open loop: requests are sent at their scheduled times, independent of
 * the outcome of earlier ones. Latency counts from the scheduled time.
 */
final class Clients {
    /** How many proxies are tried for one send when connections can't be established. */
    private static final int MAX_PROXIES_TRIED = 3;

    /**
     * The shortest delay before a client's retry, in nanoseconds. A random time of up to as much is
     * added; a longer Retry-After takes precedence.
     */
    private static final long MIN_RETRY_DELAY_NANOS = 50_000_000L;

    private final EventLoop loop;
    private final Series series;
    private final Scenario.ClientPlan plan;
    private final List<String> tenants;
    private final List<Scenario.CategoryPlan> categories;
    private final List<ProxyClient> proxyClients;

    /**
     * The zone of each proxy, and the time from which the front-end balancer knows that it is
     * unavailable; -1 while it serves.
     */
    private final int[] zones;

    private final long[] unavailableFrom;
    private List<Arrivals.Arrival> arrivals = List.of();
    private int nextArrival;
    private int pending;
    private long retried;
    private long sent;
    private boolean stopped;

    Clients(
            EventLoop loop,
            Series series,
            Scenario.ClientPlan plan,
            List<String> tenants,
            List<Scenario.CategoryPlan> categories,
            List<ProxyClient> proxyClients,
            int[] zones) {
        this.loop = loop;
        this.series = series;
        this.plan = plan;
        this.tenants = tenants;
        this.categories = categories;
        this.proxyClients = proxyClients;
        this.zones = zones;
        this.unavailableFrom = new long[proxyClients.size()];
        java.util.Arrays.fill(unavailableFrom, -1);
    }

    /** Starts sending the schedule, whose times count from {@code scheduleStart}. */
    void start(List<Arrivals.Arrival> schedule, long scheduleStart) {
        arrivals = schedule;
        scheduleNext(scheduleStart);
    }

    private void scheduleNext(long scheduleStart) {
        if (nextArrival < arrivals.size() && !stopped) {
            Arrivals.Arrival arrival = arrivals.get(nextArrival);
            loop.at(
                    scheduleStart + arrival.atNanos(),
                    () -> {
                        int number = nextArrival++;
                        scheduleNext(scheduleStart);
                        startRequest(arrival, number, scheduleStart);
                    });
        }
    }

    /** Stops sending. */
    void stop() {
        stopped = true;
    }

    boolean isDone() {
        return pending == 0 && (stopped || nextArrival >= arrivals.size());
    }

    long sent() {
        return sent;
    }

    long retried() {
        return retried;
    }

    /** Marks a proxy as unavailable; the front-end balancer notices it at the given time. */
    void markUnavailable(int proxy, long noticedAt) {
        unavailableFrom[proxy] = noticedAt;
    }

    void markAvailable(int proxy) {
        unavailableFrom[proxy] = -1;
    }

    private void startRequest(Arrivals.Arrival arrival, int number, long scheduleStart) {
        pending++;
        series.count(Series.Count.DUE, arrival.atNanos());
        SplittableRandom random = new SplittableRandom(arrival.clientSeed());
        String idempotencyKey =
                Long.toHexString(arrival.clientSeed()) + Integer.toHexString(number);
        send(
                arrival,
                number,
                0,
                0,
                idempotencyKey,
                scheduleStart + arrival.atNanos(),
                scheduleStart,
                random);
    }

    /** Sends a request: its first send, or a client's retry. */
    private void send(
            Arrivals.Arrival arrival,
            int number,
            int proxiesTried,
            int retries,
            String idempotencyKey,
            long arrivedAt,
            long scheduleStart,
            SplittableRandom random) {
        Scenario.CategoryPlan category = categories.get(arrival.category());
        long now = loop.now();
        long timeout = arrivedAt + category.expiry() - now;
        int proxy = pickProxy(arrival.zone(), random);
        if (timeout < 2_000_000 || proxy < 0 || proxiesTried >= MAX_PROXIES_TRIED) {
            recordOutcome(arrival, ProxyClient.Outcome.NOT_SENT, scheduleStart);
            return;
        }
        // Each send has a new id (PROTOCOL).
        String id =
                Integer.toString(number, 36)
                        + "-"
                        + retries
                        + "-"
                        + proxiesTried
                        + "-"
                        + Long.toString(random.nextLong() >>> 24, 36);
        long cancelAfter =
                arrival.cancelFraction() < 1 && retries == 0
                        ? (long) (arrival.cancelFraction() * timeout)
                        : -1;
        sent++;
        retried += retries > 0 && proxiesTried == 0 ? 1 : 0;
        proxyClients
                .get(proxy)
                .send(
                        new ProxyClient.Request(
                                id,
                                idempotencyKey,
                                idempotencyKey,
                                category,
                                tenants.get(arrival.tenant()),
                                timeout,
                                retries > 0,
                                arrival.work()),
                        random.nextDouble() < plan.keep(),
                        cancelAfter,
                        result -> {
                            if (result.outcome() == ProxyClient.Outcome.NOT_SENT) {
                                // The request wasn't sent: the front-end balancer tries another
                                // proxy.
                                sent--;
                                send(
                                        arrival,
                                        number,
                                        proxiesTried + 1,
                                        retries,
                                        idempotencyKey,
                                        arrivedAt,
                                        scheduleStart,
                                        random);
                            } else {
                                onResult(
                                        arrival,
                                        result,
                                        number,
                                        retries,
                                        idempotencyKey,
                                        arrivedAt,
                                        scheduleStart,
                                        random);
                            }
                        });
    }

    private void onResult(
            Arrivals.Arrival arrival,
            ProxyClient.Result result,
            int number,
            int retries,
            String idempotencyKey,
            long arrivedAt,
            long scheduleStart,
            SplittableRandom random) {
        long now = loop.now();
        switch (result.outcome()) {
            case COMPLETED -> {
                series.count(Series.Count.FINISHED, now - scheduleStart);
                if (now - arrivedAt > categories.get(arrival.category()).due()) {
                    series.count(Series.Count.LATE, now - scheduleStart);
                }
                series.finished(arrival.category(), arrival.atNanos(), now - scheduleStart);
            }
            case REJECTED -> series.count(Series.Count.DEFERRED, now - scheduleStart);
            case FAILED -> series.count(Series.Count.WRITTEN_OFF, now - scheduleStart);
            default -> series.count(Series.Count.NO_ANSWER, now - scheduleStart);
        }
        boolean retry =
                retries < plan.retries() && result.outcome() == ProxyClient.Outcome.REJECTED;
        long delay =
                Math.max(
                        result.retryAfterNanos(),
                        MIN_RETRY_DELAY_NANOS
                                + (long) (random.nextDouble() * MIN_RETRY_DELAY_NANOS));
        if (retry
                && now + delay < arrivedAt + categories.get(arrival.category()).expiry()
                && !stopped) {
            loop.after(
                    delay,
                    () ->
                            send(
                                    arrival,
                                    number,
                                    0,
                                    retries + 1,
                                    idempotencyKey,
                                    arrivedAt,
                                    scheduleStart,
                                    random));
        } else {
            recordOutcome(arrival, result.outcome(), scheduleStart);
        }
    }

    private void recordOutcome(
            Arrivals.Arrival arrival, ProxyClient.Outcome outcome, long scheduleStart) {
        pending--;
        Scenario.CategoryPlan category = categories.get(arrival.category());
        if (outcome == ProxyClient.Outcome.CANCELLED) {
            // No response is owed to a client that has disconnected by itself.
            return;
        }
        if (outcome == ProxyClient.Outcome.NOT_SENT) {
            series.count(Series.Count.NO_ANSWER, loop.now() - scheduleStart);
        }
        boolean late = loop.now() - scheduleStart - arrival.atNanos() > category.due();
        double earned =
                outcome != ProxyClient.Outcome.COMPLETED
                        ? 0
                        : category.credit() * (late ? category.lateCredit() : 1);
        series.credit(arrival.tenant(), arrival.atNanos(), category.credit(), earned);
    }

    /**
     * Picks a proxy of the zone that the front-end balancer believes available, or any available
     * one if the zone has none; -1 if there is none.
     */
    private int pickProxy(int zone, SplittableRandom random) {
        List<Integer> alive = new ArrayList<>();
        List<Integer> sameZone = new ArrayList<>();
        for (int proxy = 0; proxy < zones.length; proxy++) {
            if (unavailableFrom[proxy] < 0 || loop.now() < unavailableFrom[proxy]) {
                alive.add(proxy);
                if (zones[proxy] == zone) {
                    sameZone.add(proxy);
                }
            }
        }
        List<Integer> candidates = sameZone.isEmpty() ? alive : sameZone;
        return candidates.isEmpty() ? -1 : candidates.get(random.nextInt(candidates.size()));
    }
}

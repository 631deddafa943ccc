package cottonlock.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The clients and the front that deals their connections out among the proxies of their room.
 * Arrivals are open loop: they come when the schedule has them, whatever became of those before.
 * Latency counts from then.
 */
final class Clients {
    /** Proxies that are tried for one send when connections don't come up. */
    private static final int TRIES = 3;

    /** Nanoseconds before a client sends again when it was given no come-back time, at least. */
    private static final long PAUSE = 50_000_000L;

    private final EventLoop loop;
    private final Series series;
    private final Scenario.ClientPlan plan;
    private final List<String> tenants;
    private final List<Scenario.CategoryPlan> categories;
    private final List<ProxyClient> callers;

    /**
     * The room of each proxy, and since when the front knows that it is gone; -1 while it serves.
     */
    private final int[] rooms;

    private final long[] goneSince;
    private List<Arrivals.Arrival> arrivals = List.of();
    private int nextArrival;
    private int open;
    private long retried;
    private long sent;
    private boolean ended;

    Clients(
            EventLoop loop,
            Series series,
            Scenario.ClientPlan plan,
            List<String> tenants,
            List<Scenario.CategoryPlan> categories,
            List<ProxyClient> callers,
            int[] rooms) {
        this.loop = loop;
        this.series = series;
        this.plan = plan;
        this.tenants = tenants;
        this.categories = categories;
        this.callers = callers;
        this.rooms = rooms;
        this.goneSince = new long[callers.size()];
        java.util.Arrays.fill(goneSince, -1);
    }

    /** Sends the schedule from a time on. */
    void start(List<Arrivals.Arrival> schedule, long from) {
        arrivals = schedule;
        next(from);
    }

    private void next(long from) {
        if (nextArrival < arrivals.size() && !ended) {
            Arrivals.Arrival a = arrivals.get(nextArrival);
            loop.at(
                    from + a.atNanos(),
                    () -> {
                        int number = nextArrival++;
                        next(from);
                        arrive(a, number, from);
                    });
        }
    }

    /** Nothing further is sent. */
    void end() {
        ended = true;
    }

    boolean allOver() {
        return open == 0 && (ended || nextArrival >= arrivals.size());
    }

    long sent() {
        return sent;
    }

    long retried() {
        return retried;
    }

    /** A proxy has died or left; the front notices a while later. */
    void gone(int proxy, long noticedAt) {
        goneSince[proxy] = noticedAt;
    }

    void back(int proxy) {
        goneSince[proxy] = -1;
    }

    private void arrive(Arrivals.Arrival a, int number, long from) {
        open++;
        series.count(Series.Count.DUE, a.atNanos());
        SplittableRandom chance = new SplittableRandom(a.clientSeed());
        String key = Long.toHexString(a.clientSeed()) + Integer.toHexString(number);
        send(a, number, 0, 0, key, from + a.atNanos(), from, chance);
    }

    /** One send of a request: the first, or a client's retry of it. */
    private void send(
            Arrivals.Arrival a,
            int number,
            int tries,
            int retries,
            String key,
            long due,
            long from,
            SplittableRandom chance) {
        Scenario.CategoryPlan category = categories.get(a.category());
        long now = loop.now();
        long patience = due + category.expiry() - now;
        int proxy = pick(a.zone(), chance);
        if (patience < 2_000_000 || proxy < 0 || tries >= TRIES) {
            over(a, ProxyClient.Outcome.NOT_SENT, from);
            return;
        }
        // Which send this is: an id is new with each (PROTOCOL).
        String id =
                Integer.toString(number, 36)
                        + "-"
                        + retries
                        + "-"
                        + tries
                        + "-"
                        + Long.toString(chance.nextLong() >>> 24, 36);
        long leaveIn = a.cancelFraction() < 1 && retries == 0 ? (long) (a.cancelFraction() * patience) : -1;
        sent++;
        retried += retries > 0 && tries == 0 ? 1 : 0;
        callers.get(proxy)
                .send(
                        new ProxyClient.Request(
                                id,
                                key,
                                key,
                                category,
                                tenants.get(a.tenant()),
                                patience,
                                retries > 0,
                                a.work()),
                        chance.nextDouble() < plan.keep(),
                        leaveIn,
                        result -> {
                            if (result.outcome() == ProxyClient.Outcome.NOT_SENT) {
                                // Nobody has it: the front tries the next proxy.
                                sent--;
                                send(a, number, tries + 1, retries, key, due, from, chance);
                            } else {
                                ended(a, result, number, retries, key, due, from, chance);
                            }
                        });
    }

    private void ended(
            Arrivals.Arrival a,
            ProxyClient.Result result,
            int number,
            int retries,
            String key,
            long due,
            long from,
            SplittableRandom chance) {
        long now = loop.now();
        switch (result.outcome()) {
            case COMPLETED -> {
                series.count(Series.Count.FINISHED, now - from);
                if (now - due > categories.get(a.category()).due()) {
                    series.count(Series.Count.LATE, now - from);
                }
                series.finished(a.category(), a.atNanos(), now - from);
            }
            case REJECTED -> series.count(Series.Count.DEFERRED, now - from);
            case FAILED -> series.count(Series.Count.WRITTEN_OFF, now - from);
            default -> series.count(Series.Count.NO_ANSWER, now - from);
        }
        boolean again = retries < plan.retries() && result.outcome() == ProxyClient.Outcome.REJECTED;
        long wait = Math.max(result.comeBack(), PAUSE + (long) (chance.nextDouble() * PAUSE));
        if (again && now + wait < due + categories.get(a.category()).expiry() && !ended) {
            loop.after(wait, () -> send(a, number, 0, retries + 1, key, due, from, chance));
        } else {
            over(a, result.outcome(), from);
        }
    }

    private void over(Arrivals.Arrival a, ProxyClient.Outcome end, long from) {
        open--;
        Scenario.CategoryPlan category = categories.get(a.category());
        if (end == ProxyClient.Outcome.CANCELLED) {
            // Who left on purpose was owed nothing.
            return;
        }
        if (end == ProxyClient.Outcome.NOT_SENT) {
            series.count(Series.Count.NO_ANSWER, loop.now() - from);
        }
        boolean late = loop.now() - from - a.atNanos() > category.due();
        double earned =
                end != ProxyClient.Outcome.COMPLETED
                        ? 0
                        : category.credit() * (late ? category.lateCredit() : 1);
        series.credit(a.tenant(), a.atNanos(), category.credit(), earned);
    }

    /** A proxy of the room that the front takes for alive; of all, where the room has none. */
    private int pick(int room, SplittableRandom chance) {
        List<Integer> alive = new ArrayList<>();
        List<Integer> near = new ArrayList<>();
        for (int p = 0; p < rooms.length; p++) {
            if (goneSince[p] < 0 || loop.now() < goneSince[p]) {
                alive.add(p);
                if (rooms[p] == room) {
                    near.add(p);
                }
            }
        }
        List<Integer> choice = near.isEmpty() ? alive : near;
        return choice.isEmpty() ? -1 : choice.get(chance.nextInt(choice.size()));
    }
}

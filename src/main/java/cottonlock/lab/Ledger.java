package cottonlock.lab;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Records every message that the lab's clients and backends send and receive, and counts breaches
 * of the four rules from these records alone: nothing that a proxy reports about itself is used.
 * Knows the limits of the rules, but nothing of how proxies decide. Times are in nanoseconds.
 */
@Deterministic
final class Ledger {
    /**
     * Breaches of each rule that are described in a line: the first ones show the cause, further
     * ones are only counted.
     */
    private static final int MAX_LINES_PER_RULE = 20;

    /**
     * The four rules: no request is lost, none takes effect twice, draining backends get no new
     * attempts, and no cold backend is overloaded.
     */
    enum Rule {
        LOST,
        TWICE,
        DRAINS,
        COLD
    }

    /** One request as its client knows it. */
    private static final class Entry {
        final String chain;
        final String category;
        final int proxy;
        final long expiresAt;
        boolean concluded;

        /**
         * From when on no attempt may be sent for the request; far in the future while it is
         * pending.
         */
        long concludedAt = Long.MAX_VALUE / 2;

        Entry(String chain, String category, int proxy, long expiresAt) {
            this.chain = chain;
            this.category = category;
            this.proxy = proxy;
            this.expiresAt = expiresAt;
        }
    }

    /** The first effect of a chain of requests: the zone and the time. */
    private record Effect(String zone, long at) {}

    private final long graceNanos;
    private final long drainNanos;
    private final Map<String, Entry> requests = new HashMap<>();
    private final Map<String, Effect> effects = new HashMap<>();
    private final Map<String, Integer> producedBodies = new HashMap<>();
    private final Map<String, Long> drainAnnouncedAt = new HashMap<>();

    /**
     * The end of each proxy's latest suspension, plus the grace period: the process could not
     * answer requests that expired before.
     */
    private final Map<Integer, Long> suspendedUntil = new HashMap<>();

    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
    private final Map<String, Integer> doubleEffects = new java.util.TreeMap<>();
    private final List<String> lines = new ArrayList<>();
    private int unansweredOfKilledProxies;
    private long sends;

    Ledger(long graceNanos, long drainNanos) {
        this.graceNanos = graceNanos;
        this.drainNanos = drainNanos;
    }

    private void breach(Rule rule, long now, String text) {
        int n = counts.merge(rule, 1, Integer::sum);
        if (n <= MAX_LINES_PER_RULE) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "%s at %.3f s: %s",
                            rule.name().toLowerCase(Locale.ROOT),
                            now / 1e9,
                            text));
        }
    }

    /**
     * Records that the last byte of a request has been written to a proxy.
     *
     * @param chain identifies requests that may have only one effect between them: a client's retry
     *     of a rejected request belongs to the chain of that request; its retry of a failed one is
     *     at the client's own risk and starts a new chain
     */
    void sent(String id, String chain, String category, int proxy, long expiresAt) {
        requests.put(id, new Entry(chain, category, proxy, expiresAt));
    }

    /**
     * Records a complete response. A completed one must be what a backend produced for this
     * request.
     */
    void answered(long now, String id, boolean finished, int body) {
        Entry e = requests.get(id);
        if (e.concluded) {
            breach(Rule.LOST, now, id + " got a second answer");
            return;
        }
        e.concluded = true;
        e.concludedAt = now;
        if (now > e.expiresAt + graceNanos
                && e.expiresAt > suspendedUntil.getOrDefault(e.proxy, Long.MIN_VALUE)) {
            breach(
                    Rule.LOST,
                    now,
                    String.format(
                            Locale.ROOT,
                            "%s was answered %.1f ms after its expiry",
                            id,
                            (now - e.expiresAt) / 1e6));
        } else if (finished && producedBodies.getOrDefault(id, body + 1) != body) {
            breach(Rule.LOST, now, id + " was served with what no backend made for it");
        }
    }

    /** Records that the connection ended, or the request expired, without a complete response. */
    void unanswered(long now, String id, String how) {
        Entry e = requests.get(id);
        if (!e.concluded) {
            e.concluded = true;
            e.concludedAt = now;
            breach(Rule.LOST, now, id + " of " + e.category + " at n" + e.proxy + ": " + how);
        }
    }

    /**
     * Records that a new connection was not established although the load balancer in front of the
     * proxies may still send to this proxy.
     *
     * @param what the request and the times of the connection
     */
    void refused(long now, int proxy, String what) {
        breach(Rule.LOST, now, "n" + proxy + " refused a new connection: " + what);
    }

    /**
     * Records that no response is due any more: the client has disconnected, or the proxy was
     * killed.
     */
    void excused(long now, String id, boolean proxyDied) {
        Entry e = requests.get(id);
        if (!e.concluded) {
            e.concluded = true;
            e.concludedAt = proxyDied ? Long.MAX_VALUE / 2 : now;
            unansweredOfKilledProxies += proxyDied ? 1 : 0;
        }
    }

    /**
     * Records an attempt at a backend.
     *
     * @param firstByte when its first byte arrived
     * @param now when its last byte arrived
     */
    void received(long firstByte, long now, String id, String backend, int proxy) {
        sends++;
        Long announcedAt = drainAnnouncedAt.get(proxy + " " + backend);
        if (announcedAt != null && firstByte > announcedAt + drainNanos + graceNanos) {
            breach(
                    Rule.DRAINS,
                    now,
                    String.format(
                            Locale.ROOT,
                            "%s went to %s %.0f ms after n%d was told",
                            id,
                            backend,
                            (firstByte - announcedAt) / 1e6,
                            proxy));
        }
        Entry e = requests.get(id);
        if (e == null) {
            breach(
                    Rule.LOST,
                    now,
                    "an attempt of " + id + ", which no client sent, came to " + backend);
            return;
        }
        // A request that waited in the sockets of a suspended process carries no time stamp: the
        // process can't tell that it has expired.
        boolean expiredWhileStopped =
                e.expiresAt <= suspendedUntil.getOrDefault(e.proxy, Long.MIN_VALUE);
        if (firstByte > Math.min(e.concludedAt, e.expiresAt) + graceNanos && !expiredWhileStopped) {
            breach(
                    Rule.LOST,
                    now,
                    String.format(
                            Locale.ROOT,
                            "%s was sent on to %s %.1f ms after it was over",
                            id,
                            backend,
                            (firstByte - Math.min(e.concludedAt, e.expiresAt)) / 1e6));
        }
    }

    /**
     * Records that a backend starts to execute a request that it did not recognise as a repetition.
     */
    void effect(long now, String id, String repeat, String zone) {
        Entry e = requests.get(id);
        if (e == null || repeat.equals("safe")) {
            return;
        }
        Effect first = effects.putIfAbsent(e.chain, new Effect(zone, now));
        if (first != null) {
            doubleEffects.merge(e.category + " in " + zone, 1, Integer::sum);
            breach(
                    Rule.TWICE,
                    now,
                    String.format(
                            Locale.ROOT,
                            "%s of %s ran in room %s, and %.0f ms before in %s",
                            id,
                            e.category,
                            zone,
                            (now - first.at) / 1e6,
                            first.zone));
        }
    }

    /**
     * Records the response body that a backend produced for a request; further attempts of the
     * request get the same one.
     */
    void responseProduced(String id, int body) {
        producedBodies.put(id, body);
    }

    /**
     * Records that a proxy was informed, or counts as informed, that a backend is draining or gone.
     * Only the first time counts.
     */
    void drainAnnounced(long now, int proxy, String backend) {
        drainAnnouncedAt.putIfAbsent(proxy + " " + backend, now);
    }

    /** Records that a proxy was informed that a backend is active again. */
    void drainRevoked(int proxy, String backend) {
        drainAnnouncedAt.remove(proxy + " " + backend);
    }

    /** Records that a proxy restarts, and so no longer knows which backends are draining. */
    void proxyRestarted(int proxy) {
        drainAnnouncedAt.keySet().removeIf(key -> key.startsWith(proxy + " "));
    }

    /** Records that a proxy's process is suspended, at times or all the time, until {@code end}. */
    void proxySuspendedUntil(int proxy, long end) {
        suspendedUntil.put(proxy, end + graceNanos);
    }

    /** Records that a backend that was still warming up collapsed under its load. */
    void coldBackendOverloaded(long now, String backend) {
        breach(Rule.COLD, now, backend + " was pushed over while cold");
    }

    int count(Rule rule) {
        return counts.getOrDefault(rule, 0);
    }

    /** Requests that were pending at a proxy when it was killed. */
    int unansweredOfKilledProxies() {
        return unansweredOfKilledProxies;
    }

    /** The number of attempts that have reached a backend. */
    long sends() {
        return sends;
    }

    /** Counts requests that took effect twice, by category and zone. */
    Map<String, Integer> doubleEffectsByCategory() {
        return doubleEffects;
    }

    List<String> lines() {
        return lines;
    }
}

package cottonlock.lab;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Sees every message that the stand-ins send and receive, and counts breaches of the four rules by
 * itself: what a proxy says of itself does not come here. It holds the rules' figures and nothing
 * of how proxies decide. Times are nanoseconds.
 */
@Deterministic
final class Ledger {
    /**
     * Lines kept of each kind of breach: the first ones tell the cause, the count tells the rest.
     */
    private static final int MAX_LINES_PER_RULE = 20;

    /** The four rules. */
    enum Rule {
        LOST,
        TWICE,
        DRAINS,
        COLD
    }

    /** One request as its sender knows it. */
    private static final class Entry {
        final String chain;
        final String category;
        final int proxy;
        final long expiresAt;
        boolean concluded;

        /** When nothing more may be sent for it; far off while it is owed. */
        long concludedAt = Long.MAX_VALUE / 2;

        Entry(String chain, String category, int proxy, long expiresAt) {
            this.chain = chain;
            this.category = category;
            this.proxy = proxy;
            this.expiresAt = expiresAt;
        }
    }

    /** What has had an effect: where and when first. */
    private record Effect(String zone, long at) {}

    private final long graceNanos;
    private final long drainNanos;
    private final Map<String, Entry> requests = new HashMap<>();
    private final Map<String, Effect> effects = new HashMap<>();
    private final Map<String, Integer> producedBodies = new HashMap<>();
    private final Map<String, Long> drainAnnouncedAt = new HashMap<>();

    /**
     * Until when a proxy's process was stopped from outside: what it owed then it could not give.
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
     * A request's last byte has been written to a proxy.
     *
     * @param chain what all sends share that may have one effect together: a client's retry after a
     *     deferral belongs to it, one after a write-off is its client's own risk and begins another
     */
    void sent(String id, String chain, String category, int proxy, long expiresAt) {
        requests.put(id, new Entry(chain, category, proxy, expiresAt));
    }

    /** A whole answer has come; finished ones must be what a backend made for this request. */
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

    /** Its connection ended, or its time passed, with no whole answer. */
    void unanswered(long now, String id, String how) {
        Entry e = requests.get(id);
        if (!e.concluded) {
            e.concluded = true;
            e.concludedAt = now;
            breach(Rule.LOST, now, id + " of " + e.category + " at n" + e.proxy + ": " + how);
        }
    }

    /**
     * A new connection did not come up although the proxy's front may still send there.
     *
     * @param what the request and the times of the connection
     */
    void refused(long now, int proxy, String what) {
        breach(Rule.LOST, now, "n" + proxy + " refused a new connection: " + what);
    }

    /** Its client has left, or its proxy was killed: nothing is owed any more. */
    void excused(long now, String id, boolean proxyDied) {
        Entry e = requests.get(id);
        if (!e.concluded) {
            e.concluded = true;
            e.concludedAt = proxyDied ? Long.MAX_VALUE / 2 : now;
            unansweredOfKilledProxies += proxyDied ? 1 : 0;
        }
    }

    /** The first byte of an attempt came at a backend at one time, its last one at another. */
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
        // What waited in a stopped process's sockets bears no time: it can't know how old it is.
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

    /** A backend begins to carry it out, not having known it for a repeat. */
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

    /** A backend has made this answer for a request; a further attempt of it is answered alike. */
    void responseProduced(String id, int body) {
        producedBodies.put(id, body);
    }

    /**
     * A proxy was told, or counts as told, that a backend drains or is gone; the first time counts.
     */
    void drainAnnounced(long now, int proxy, String backend) {
        drainAnnouncedAt.putIfAbsent(proxy + " " + backend, now);
    }

    /** A proxy was told that it is back. */
    void drainRevoked(int proxy, String backend) {
        drainAnnouncedAt.remove(proxy + " " + backend);
    }

    /** A proxy starts anew, and knows nothing of what it was told. */
    void proxyRestarted(int proxy) {
        drainAnnouncedAt.keySet().removeIf(key -> key.startsWith(proxy + " "));
    }

    /** A proxy's process was stopped, and goes on now. */
    void proxySuspendedUntil(int proxy, long end) {
        suspendedUntil.put(proxy, end + graceNanos);
    }

    /** A cold backend was pushed over. */
    void coldBackendOverloaded(long now, String backend) {
        breach(Rule.COLD, now, backend + " was pushed over while cold");
    }

    int count(Rule rule) {
        return counts.getOrDefault(rule, 0);
    }

    /** Those whose proxy was killed while it owed them an answer. */
    int unansweredOfKilledProxies() {
        return unansweredOfKilledProxies;
    }

    /** Attempts that have reached a backend. */
    long sends() {
        return sends;
    }

    /** Breaches of "no effect twice" by category and room. */
    Map<String, Integer> doubleEffectsByCategory() {
        return doubleEffects;
    }

    List<String> lines() {
        return lines;
    }
}

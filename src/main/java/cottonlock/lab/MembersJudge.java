package cottonlock.lab;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Holds what proxies believe of one another against what is true: who lives, and who can reach
 * whom. It is told the truth by whoever makes it, and samples of each proxy's view. Times are
 * nanoseconds.
 */
@Deterministic
final class MembersJudge {
    /** Lines kept for people. */
    private static final int LINES = 20;

    private static final long NEVER = Long.MAX_VALUE / 4;

    /** Nanoseconds: a failure noticed again so near is the same one. */
    private static final long SAME = 1_000_000_000L;

    /**
     * Nanoseconds without an untrue view after which all agree: each is asked some ten times a
     * second.
     */
    private static final long QUIET = 400_000_000L;

    /** What one proxy says of another. */
    record Seen(String state, long life, long sinceMs) {
        boolean lives() {
            return state.equals("alive") || state.equals("suspect") || state.equals("joining");
        }
    }

    /** A proxy that went down, and when that was known. */
    private static final class Death {
        final int proxy;
        final long at;
        long first = -1;
        long all = -1;
        final Set<Integer> know = new HashSet<>();

        /** When it was back; -1: it was not. */
        long back = -1;

        Death(int proxy, long at) {
            this.proxy = proxy;
            this.at = at;
        }
    }

    private final String[] names;

    /** Since when each has been there without a break; NEVER: it is not. */
    private final long[] there;

    /** Since when each pair has had a way, if by detours, without a break. */
    private final long[][] connected;

    private final boolean[][] cut;
    private final long settled;
    private final List<Death> deaths = new ArrayList<>();
    private final Map<String, Long> failures = new TreeMap<>();
    private final List<String> lines = new ArrayList<>();
    private final Map<Long, Integer> untrueBy = new TreeMap<>();
    private final boolean[] sampled;

    /**
     * The last change of what is true, whether it was for the better, and the last untrue view
     * after it.
     */
    private long changedAt;

    private boolean better = true;
    private long untrueAt = -1;

    /**
     * The longest that views took to be true again after something had come back, and after a loss.
     */
    private long agreed;

    private long apart;
    private int falseFailed;

    /**
     * Settled: for how long one must have been there and in reach for its failure to be a false
     * one.
     */
    MembersJudge(List<String> names, long settled) {
        this.names = names.toArray(String[]::new);
        this.settled = settled;
        int n = this.names.length;
        there = new long[n];
        Arrays.fill(there, NEVER);
        connected = new long[n][n];
        cut = new boolean[n][n];
        sampled = new boolean[n];
    }

    /** Something has been changed from outside, which views may take a while to follow. */
    private void changed(long now, boolean forTheBetter) {
        if (now - Math.max(changedAt, untrueAt) > QUIET) {
            settle();
        }
        better = now == changedAt ? better && forTheBetter : forTheBetter;
        changedAt = now;
    }

    /** All views have been true for a while: what they took to become so counts. */
    private void settle() {
        long took = Math.max(0, untrueAt - changedAt);
        agreed = better ? Math.max(agreed, took) : agreed;
        apart = better ? apart : Math.max(apart, took);
    }

    /** A proxy serves from now on. */
    void up(int proxy, long now) {
        there[proxy] = now;
        sampled[proxy] = false;
        changed(now, true);
        for (Death death : deaths) {
            if (death.proxy == proxy && death.back < 0) {
                death.back = now;
            }
        }
    }

    /**
     * Another process serves for a proxy, and may not know the others yet; to these nothing has
     * happened.
     */
    void replaced(long now) {
        changed(now, true);
    }

    /** A proxy is gone, by its own word or without one, or serves nobody. */
    void down(int proxy, long now) {
        if (there[proxy] != NEVER) {
            there[proxy] = NEVER;
            deaths.add(new Death(proxy, now));
        }
        changed(now, false);
    }

    /** Whether anything gets through from one to the other; counts from {@link #reach} on. */
    void way(int from, int to, boolean open) {
        cut[from][to] = !open;
    }

    /** Ways have been changed: who can reach whom, if by detours. */
    void reach(long now, boolean forTheBetter) {
        changed(now, forTheBetter);
        int n = names.length;
        int[] group = new int[n];
        Arrays.fill(group, -1);
        for (int i = 0; i < n; i++) {
            if (group[i] < 0) {
                spread(i, i, group);
            }
        }
        for (int i = 0; i < n; i++) {
            for (int j = 0; j < n; j++) {
                if (group[i] != group[j]) {
                    connected[i][j] = NEVER;
                } else if (connected[i][j] == NEVER) {
                    connected[i][j] = now;
                }
            }
        }
    }

    private void spread(int from, int number, int[] group) {
        group[from] = number;
        for (int to = 0; to < names.length; to++) {
            if (group[to] < 0 && !cut[from][to] && !cut[to][from]) {
                spread(to, number, group);
            }
        }
    }

    /** A proxy has said what it holds of the others. */
    void sample(int viewer, long now, Map<String, Seen> view) {
        if (there[viewer] == NEVER || now < there[viewer]) {
            return;
        }
        sampled[viewer] = true;
        int wrong = 0;
        for (int p = 0; p < names.length; p++) {
            if (p == viewer) {
                continue;
            }
            Seen seen = view.get(names[p]);
            boolean held = seen != null && seen.lives();
            boolean real = there[p] != NEVER && connected[viewer][p] != NEVER;
            wrong += held != real ? 1 : 0;
            if (seen != null && seen.state().equals("failed")) {
                failed(viewer, p, now - seen.sinceMs() * 1_000_000L, seen);
            }
            if (!held) {
                knows(viewer, p, now);
            }
        }
        if (wrong > 0) {
            untrueAt = Math.max(untrueAt, now);
            untrueBy.merge(now / 1_000_000_000L, 1, Integer::sum);
        }
    }

    private void knows(int viewer, int proxy, long now) {
        for (Death death : deaths) {
            if (death.proxy == proxy && death.back < 0 && now >= death.at) {
                if (death.first < 0) {
                    death.first = now - death.at;
                }
                death.know.add(viewer);
                boolean all = true;
                for (int p = 0; p < names.length; p++) {
                    all &=
                            p == proxy
                                    || there[p] == NEVER
                                    || connected[viewer][p] == NEVER
                                    || death.know.contains(p);
                }
                if (all && death.all < 0) {
                    death.all = now - death.at;
                }
            }
        }
    }

    private void failed(int viewer, int proxy, long at, Seen seen) {
        String key = viewer + " " + proxy + " " + seen.life();
        Long before = failures.put(key, at);
        if (before != null && Math.abs(before - at) < SAME) {
            return;
        }
        boolean there = this.there[proxy] <= at - settled && this.there[viewer] <= at - settled;
        if (there && connected[viewer][proxy] <= at - settled) {
            falseFailed++;
            if (lines.size() < LINES) {
                lines.add(
                        String.format(
                                Locale.ROOT,
                                "false_failed at %.3f s: %s called %s failed, "
                                        + "which lived and could be reached",
                                at / 1e9,
                                names[viewer],
                                names[proxy]));
            }
        }
    }

    /** Views that were untrue, by the second. */
    int untrue(long second) {
        return untrueBy.getOrDefault(second, 0);
    }

    /** Adds the figures of the verdict; what was never found counts as found at the end. */
    void figures(long end, Map<String, Double> f) {
        long found = 0;
        long all = 0;
        for (Death d : deaths) {
            long lasted = (d.back < 0 ? end : d.back) - d.at;
            // One that was back before it had to be known was not there to be found.
            if (d.first >= 0 || d.back < 0 || lasted >= settled) {
                found = Math.max(found, d.first >= 0 ? d.first : lasted);
            }
            if (d.all >= 0 || d.back < 0 || lasted >= settled) {
                all = Math.max(all, d.all >= 0 ? d.all : lasted);
            }
        }
        f.put("found_ms", found / 1e6);
        f.put("found_all_ms", all / 1e6);
        f.put("false_failed", (double) falseFailed);
        settle();
        // However it began, the last state must have been agreed on.
        f.put("agree_ms", Math.max(agreed, better ? 0 : Math.max(0, untrueAt - changedAt)) / 1e6);
        f.put("apart_ms", apart / 1e6);
        int unheard = 0;
        for (int p = 0; p < names.length; p++) {
            unheard += there[p] != NEVER && !sampled[p] ? 1 : 0;
        }
        f.put("unheard", (double) unheard);
    }

    List<String> lines() {
        return lines;
    }
}

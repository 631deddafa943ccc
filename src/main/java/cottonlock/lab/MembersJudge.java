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
 * Compares the proxies' views of the membership with the truth: which proxies are up and which can
 * reach each other. The experiment reports each change that it makes, and samples of each proxy's
 * view. Times are in nanoseconds.
 */
@Deterministic
final class MembersJudge {
    /** False failures that are described in a line; further ones are only counted. */
    private static final int MAX_LINES = 20;

    private static final long NEVER = Long.MAX_VALUE / 4;

    /** Two reports of a failure whose times differ by less are about the same failure. */
    private static final long SAME_FAILURE_NANOS = 1_000_000_000L;

    /**
     * Time without a wrong view after which all views count as right; each proxy is polled about
     * ten times a second.
     */
    private static final long AGREED_AFTER_NANOS = 400_000_000L;

    /** What one proxy reports about another. */
    record MemberReport(String state, long generation, long sinceMs) {
        boolean isLive() {
            return state.equals("alive") || state.equals("suspect") || state.equals("joining");
        }
    }

    /** A proxy that went down, and how long the others took to notice; -1 where they have not. */
    private static final class Death {
        final int proxy;
        final long at;
        long firstNoticedAfter = -1;
        long allNoticedAfter = -1;
        final Set<Integer> noticedBy = new HashSet<>();

        /** When it was up again; -1 if it was not. */
        long backAt = -1;

        Death(int proxy, long at) {
            this.proxy = proxy;
            this.at = at;
        }
    }

    private final String[] names;

    /**
     * Since when each proxy has been up without interruption; {@link #NEVER} for one that is down.
     */
    private final long[] upSince;

    /** Since when each pair has been connected without interruption, directly or through others. */
    private final long[][] connectedSince;

    private final boolean[][] cut;
    private final long settleNanos;
    private final List<Death> deaths = new ArrayList<>();
    private final Map<String, Long> failures = new TreeMap<>();
    private final List<String> lines = new ArrayList<>();
    private final Map<Long, Integer> wrongViewsBySecond = new TreeMap<>();
    private final boolean[] sampled;

    /**
     * The time of the latest change from outside; {@link #improved} and {@link #lastWrongViewAt}
     * belong to it: whether it brought proxies or paths back, and when a wrong view was last seen.
     */
    private long changedAt;

    private boolean improved = true;
    private long lastWrongViewAt = -1;

    /** The longest that views took to be right again after proxies or paths were back. */
    private long maxConvergenceAfterRecovery;

    /** The longest that views took to be right again after a loss. */
    private long maxConvergenceAfterLoss;

    private int falseFailed;

    /**
     * Creates a judge.
     *
     * @param settleNanos for how long a proxy must have been up and reachable before a report of
     *     its failure counts as false
     */
    MembersJudge(List<String> names, long settleNanos) {
        this.names = names.toArray(String[]::new);
        this.settleNanos = settleNanos;
        int n = this.names.length;
        upSince = new long[n];
        Arrays.fill(upSince, NEVER);
        connectedSince = new long[n][n];
        cut = new boolean[n][n];
        sampled = new boolean[n];
    }

    /** Records a change from outside that the views may take a while to follow. */
    private void truthChanged(long now, boolean improvement) {
        if (now - Math.max(changedAt, lastWrongViewAt) > AGREED_AFTER_NANOS) {
            recordConvergence();
        }
        improved = now == changedAt ? improved && improvement : improvement;
        changedAt = now;
    }

    /** Takes the time that the views needed to be right after the latest change into the maxima. */
    private void recordConvergence() {
        long convergenceNanos = Math.max(0, lastWrongViewAt - changedAt);
        maxConvergenceAfterRecovery =
                improved
                        ? Math.max(maxConvergenceAfterRecovery, convergenceNanos)
                        : maxConvergenceAfterRecovery;
        maxConvergenceAfterLoss =
                improved
                        ? maxConvergenceAfterLoss
                        : Math.max(maxConvergenceAfterLoss, convergenceNanos);
    }

    /** Records that a proxy serves from now on. */
    void up(int proxy, long now) {
        upSince[proxy] = now;
        sampled[proxy] = false;
        truthChanged(now, true);
        for (Death death : deaths) {
            if (death.proxy == proxy && death.backAt < 0) {
                death.backAt = now;
            }
        }
    }

    /**
     * Records a process hand-over: the new process may not know the other members yet, while to
     * these nothing has changed.
     */
    void processReplaced(long now) {
        truthChanged(now, true);
    }

    /** Records that a proxy has left, has died, or serves no requests. */
    void down(int proxy, long now) {
        if (upSince[proxy] != NEVER) {
            upSince[proxy] = NEVER;
            deaths.add(new Death(proxy, now));
        }
        truthChanged(now, false);
    }

    /**
     * Sets whether messages from one proxy reach the other; takes effect with {@link
     * #updateReachability}.
     */
    void setPathOpen(int from, int to, boolean open) {
        cut[from][to] = !open;
    }

    /**
     * Recomputes which proxies can reach each other, directly or through others, after changes of
     * paths.
     */
    void updateReachability(long now, boolean improvement) {
        truthChanged(now, improvement);
        int n = names.length;
        int[] group = new int[n];
        Arrays.fill(group, -1);
        for (int i = 0; i < n; i++) {
            if (group[i] < 0) {
                assignGroup(i, i, group);
            }
        }
        for (int i = 0; i < n; i++) {
            for (int j = 0; j < n; j++) {
                if (group[i] != group[j]) {
                    connectedSince[i][j] = NEVER;
                } else if (connectedSince[i][j] == NEVER) {
                    connectedSince[i][j] = now;
                }
            }
        }
    }

    private void assignGroup(int from, int number, int[] group) {
        group[from] = number;
        for (int to = 0; to < names.length; to++) {
            if (group[to] < 0 && !cut[from][to] && !cut[to][from]) {
                assignGroup(to, number, group);
            }
        }
    }

    /** Takes a sample of a proxy's view. */
    void sample(int viewer, long now, Map<String, MemberReport> view) {
        if (upSince[viewer] == NEVER || now < upSince[viewer]) {
            return;
        }
        sampled[viewer] = true;
        int wrong = 0;
        for (int p = 0; p < names.length; p++) {
            if (p == viewer) {
                continue;
            }
            MemberReport seen = view.get(names[p]);
            boolean believedLive = seen != null && seen.isLive();
            boolean reachable = upSince[p] != NEVER && connectedSince[viewer][p] != NEVER;
            wrong += believedLive != reachable ? 1 : 0;
            if (seen != null && seen.state().equals("failed")) {
                recordFailure(viewer, p, now - seen.sinceMs() * 1_000_000L, seen);
            }
            if (!believedLive) {
                recordNoticed(viewer, p, now);
            }
        }
        if (wrong > 0) {
            lastWrongViewAt = Math.max(lastWrongViewAt, now);
            wrongViewsBySecond.merge(now / 1_000_000_000L, 1, Integer::sum);
        }
    }

    private void recordNoticed(int viewer, int proxy, long now) {
        for (Death death : deaths) {
            if (death.proxy == proxy && death.backAt < 0 && now >= death.at) {
                if (death.firstNoticedAfter < 0) {
                    death.firstNoticedAfter = now - death.at;
                }
                death.noticedBy.add(viewer);
                boolean all = true;
                for (int p = 0; p < names.length; p++) {
                    all &=
                            p == proxy
                                    || upSince[p] == NEVER
                                    || connectedSince[viewer][p] == NEVER
                                    || death.noticedBy.contains(p);
                }
                if (all && death.allNoticedAfter < 0) {
                    death.allNoticedAfter = now - death.at;
                }
            }
        }
    }

    private void recordFailure(int viewer, int proxy, long at, MemberReport seen) {
        String key = viewer + " " + proxy + " " + seen.generation();
        Long before = failures.put(key, at);
        if (before != null && Math.abs(before - at) < SAME_FAILURE_NANOS) {
            return;
        }
        boolean bothUp =
                this.upSince[proxy] <= at - settleNanos && this.upSince[viewer] <= at - settleNanos;
        if (bothUp && connectedSince[viewer][proxy] <= at - settleNanos) {
            falseFailed++;
            if (lines.size() < MAX_LINES) {
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

    /** The number of wrong views that were seen in a second of the run. */
    int wrongViews(long second) {
        return wrongViewsBySecond.getOrDefault(second, 0);
    }

    /**
     * Adds the figures of the verdict. A death that was never noticed counts as noticed when the
     * proxy was up again, or else at the end of the run.
     */
    void figures(long end, Map<String, Double> f) {
        long found = 0;
        long all = 0;
        for (Death d : deaths) {
            long downNanos = (d.backAt < 0 ? end : d.backAt) - d.at;
            // A proxy that was up again before the others had to notice does not count.
            if (d.firstNoticedAfter >= 0 || d.backAt < 0 || downNanos >= settleNanos) {
                found = Math.max(found, d.firstNoticedAfter >= 0 ? d.firstNoticedAfter : downNanos);
            }
            if (d.allNoticedAfter >= 0 || d.backAt < 0 || downNanos >= settleNanos) {
                all = Math.max(all, d.allNoticedAfter >= 0 ? d.allNoticedAfter : downNanos);
            }
        }
        f.put("found_ms", found / 1e6);
        f.put("found_all_ms", all / 1e6);
        f.put("false_failed", (double) falseFailed);
        recordConvergence();
        // The views must agree at the end, whatever kind of change came last.
        f.put(
                "agree_ms",
                Math.max(
                                maxConvergenceAfterRecovery,
                                improved ? 0 : Math.max(0, lastWrongViewAt - changedAt))
                        / 1e6);
        f.put("apart_ms", maxConvergenceAfterLoss / 1e6);
        int unheard = 0;
        for (int p = 0; p < names.length; p++) {
            unheard += upSince[p] != NEVER && !sampled[p] ? 1 : 0;
        }
        f.put("unheard", (double) unheard);
    }

    List<String> lines() {
        return lines;
    }
}

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
    private static final int MAX_LINES = 20;

    private static final long NEVER = Long.MAX_VALUE / 4;

    /** Nanoseconds: a failure noticed again so near is the same one. */
    private static final long SAME_FAILURE_NANOS = 1_000_000_000L;

    /**
     * Nanoseconds without an untrue view after which all agree: each is asked some ten times a
     * second.
     */
    private static final long AGREED_AFTER_NANOS = 400_000_000L;

    /** What one proxy says of another. */
    record MemberReport(String state, long generation, long sinceMs) {
        boolean isLive() {
            return state.equals("alive") || state.equals("suspect") || state.equals("joining");
        }
    }

    /** A proxy that went down, and when that was known. */
    private static final class Death {
        final int proxy;
        final long at;
        long firstNoticedAfter = -1;
        long allNoticedAfter = -1;
        final Set<Integer> noticedBy = new HashSet<>();

        /** When it was back; -1: it was not. */
        long backAt = -1;

        Death(int proxy, long at) {
            this.proxy = proxy;
            this.at = at;
        }
    }

    private final String[] names;

    /** Since when each has been there without a break; NEVER: it is not. */
    private final long[] upSince;

    /** Since when each pair has had a way, if by detours, without a break. */
    private final long[][] connectedSince;

    private final boolean[][] cut;
    private final long settleNanos;
    private final List<Death> deaths = new ArrayList<>();
    private final Map<String, Long> failures = new TreeMap<>();
    private final List<String> lines = new ArrayList<>();
    private final Map<Long, Integer> wrongViewsBySecond = new TreeMap<>();
    private final boolean[] sampled;

    /**
     * The last change of what is true, whether it was for the better, and the last untrue view
     * after it.
     */
    private long changedAt;

    private boolean improved = true;
    private long lastWrongViewAt = -1;

    /**
     * The longest that views took to be true again after something had come back, and after a loss.
     */
    private long longestAgreement;

    private long longestDisagreement;
    private int falseFailed;

    /**
     * Settled: for how long one must have been there and in reach for its failure to be a false
     * one.
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

    /** Something has been changed from outside, which views may take a while to follow. */
    private void truthChanged(long now, boolean improvement) {
        if (now - Math.max(changedAt, lastWrongViewAt) > AGREED_AFTER_NANOS) {
            recordConvergence();
        }
        improved = now == changedAt ? improved && improvement : improvement;
        changedAt = now;
    }

    /** All views have been true for a while: what they took to become so counts. */
    private void recordConvergence() {
        long convergenceNanos = Math.max(0, lastWrongViewAt - changedAt);
        longestAgreement =
                improved ? Math.max(longestAgreement, convergenceNanos) : longestAgreement;
        longestDisagreement =
                improved ? longestDisagreement : Math.max(longestDisagreement, convergenceNanos);
    }

    /** A proxy serves from now on. */
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
     * Another process serves for a proxy, and may not know the others yet; to these nothing has
     * happened.
     */
    void processReplaced(long now) {
        truthChanged(now, true);
    }

    /** A proxy is gone, by its own word or without one, or serves nobody. */
    void down(int proxy, long now) {
        if (upSince[proxy] != NEVER) {
            upSince[proxy] = NEVER;
            deaths.add(new Death(proxy, now));
        }
        truthChanged(now, false);
    }

    /** Whether anything gets through from one to the other; counts from {@link #reach} on. */
    void setPathOpen(int from, int to, boolean open) {
        cut[from][to] = !open;
    }

    /** Ways have been changed: who can reach whom, if by detours. */
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

    /** A proxy has said what it holds of the others. */
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

    /** Views that were untrue, by the second. */
    int wrongViews(long second) {
        return wrongViewsBySecond.getOrDefault(second, 0);
    }

    /** Adds the figures of the verdict; what was never found counts as found at the end. */
    void figures(long end, Map<String, Double> f) {
        long found = 0;
        long all = 0;
        for (Death d : deaths) {
            long downNanos = (d.backAt < 0 ? end : d.backAt) - d.at;
            // One that was back before it had to be known was not there to be found.
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
        // However it began, the last state must have been agreed on.
        f.put(
                "agree_ms",
                Math.max(longestAgreement, improved ? 0 : Math.max(0, lastWrongViewAt - changedAt))
                        / 1e6);
        f.put("apart_ms", longestDisagreement / 1e6);
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

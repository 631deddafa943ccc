package cottonlock.membership;

import cottonlock.core.Deterministic;

/**
 * Score of how unreliable this process's own observations are, as in Lifeguard: a process that gets
 * no answers at all, is suspected or has stalled waits longer before it suspects others. Confined
 * to the thread of its {@link Membership}.
 */
@Deterministic
final class LocalHealth {
    private final int maxScore;
    private int score;

    LocalHealth(int maxScore) {
        this.maxScore = maxScore;
    }

    /** The score, from 0 (healthy) to the configured maximum. */
    int score() {
        return score;
    }

    /** The factor by which probe periods and waits for answers are longer; at least 1. */
    int multiplier() {
        return 1 + score;
    }

    void degrade(int amount) {
        score = Math.min(maxScore, score + amount);
    }

    void improve() {
        score = Math.max(0, score - 1);
    }
}

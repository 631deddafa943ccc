package cottonlock.membership;

import cottonlock.core.Deterministic;

/** A probe of one member over one period. Confined to the thread of its {@link Membership}. */
@Deterministic
final class Probe {
    /** Value of {@link #helpers} if there is no member that could be asked. */
    static final int NO_HELPERS = -1;

    final MemberRecord target;
    final int sequenceNumber;

    /** When other members are asked to probe the target if it has not answered directly. */
    final long ackDueTicks;

    /**
     * Number of consecutive periods of probing the member without an answer, including this one.
     */
    final int periods;

    /**
     * Number of members asked to probe the target; 0 before any are asked, or {@link #NO_HELPERS}.
     */
    int helpers;

    /** Number of helpers that have reported a failed probe. */
    int nacks;

    /** Whether an answer has come or the period is over. */
    boolean finished;

    Probe(MemberRecord target, int sequenceNumber, long ackDueTicks, int periods) {
        this.target = target;
        this.sequenceNumber = sequenceNumber;
        this.ackDueTicks = ackDueTicks;
        this.periods = periods;
    }

    boolean isWaitingForDirectAck() {
        return !finished && helpers == 0;
    }

    /** Appends the state that determines future behavior, for tests that compare states. */
    void appendFingerprint(StringBuilder text, long nowTicks) {
        text.append(' ')
                .append(target.update.name())
                .append(finished)
                .append(helpers)
                .append(periods)
                .append(nacks)
                .append(' ')
                .append(ackDueTicks - nowTicks);
    }
}

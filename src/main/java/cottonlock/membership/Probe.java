package cottonlock.membership;

import cottonlock.core.Deterministic;

/** A probe of one member over one period. For the thread of its {@link Membership}. */
@Deterministic
final class Probe {
    /** Value of {@link #helpers} if no member could be asked. */
    static final int NO_HELPERS = -1;

    final MemberRecord target;
    final int sequenceNumber;

    /** When other members are asked to probe, if there was no direct answer. */
    final long ackDueTicks;

    /** Periods for which the member has been probed without an answer, this one among them. */
    final int periods;

    /** Members asked to probe the target: {@link #NO_HELPERS}, or 0 if none were asked yet. */
    int helpers;

    /** Helpers that got no answer either. */
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

    /** All that decides what comes next, for tests that compare states. */
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

package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.core.Ticks;
import cottonlock.membership.Message.Kind;
import cottonlock.setup.MembershipProtocolConfig;

/**
 * Decides when a member is suspected and when a suspicion becomes a failure. Confined to the thread
 * of its {@link Membership}.
 */
@Deterministic
final class SuspicionRules {
    private final MembershipContext context;
    private final MembershipProtocolConfig config;
    private final MemberTable table;
    private final SuspectSet suspects;
    private final FailureDetector failureDetector;
    private final UpdateMerger merger;

    SuspicionRules(
            MembershipContext context,
            SuspectSet suspects,
            FailureDetector failureDetector,
            UpdateMerger merger) {
        this.context = context;
        this.config = context.config();
        this.table = context.table();
        this.suspects = suspects;
        this.failureDetector = failureDetector;
        this.merger = merger;
    }

    /** Suspects a member, or confirms its suspicion, after a probe by this process has failed. */
    void probeFailed(long nowTicks, MemberRecord member, String reason) {
        int selfHash = table.selfHash();
        suspects.timersChanged();
        if (member.update.state() == MemberState.SUSPECT) {
            if (member.suspicion.confirm(selfHash)) {
                context.sender().broadcast(member.update.withState(MemberState.SUSPECT, selfHash));
            }
        } else if (member.isLive()) {
            context.metrics().increment(MembershipMetric.SUSPICIONS);
            merger.apply(
                    nowTicks,
                    member,
                    member.update.withState(MemberState.SUSPECT, selfHash),
                    reason);
            if (member.needsConfirmingProbe) {
                member.suspicion.confirmFully();
            }
        }
    }

    /** Declares members failed whose suspicions have expired, unless the failure is deferred. */
    void expireSuspicions(long nowTicks) {
        if (nowTicks < suspects.firstExpiryTicks()) {
            return;
        }
        suspects.timersChanged();
        for (MemberRecord member : suspects.snapshot()) {
            if (nowTicks >= suspects.expiryTicks(member) && !isDeferred(nowTicks, member)) {
                declareFailed(nowTicks, member);
            }
        }
    }

    private boolean isDeferred(long nowTicks, MemberRecord member) {
        // A datagram received by this process outweighs the silence that others report.
        boolean heardMeanwhile =
                member.heardAtTicks > member.suspicion.startedAtTicks()
                        && failureDetector.isResponsive(member.stallCentis);
        if (heardMeanwhile && member.suspicion.defer(nowTicks, config.periodTicks())) {
            notifyAccused(nowTicks, member);
            return true;
        }
        // Other members may have missed the refutation, so this process probes the member first.
        if (!member.suspicion.isAccusedBy(table.selfHash())
                && context.variants().probesBeforeFailing()
                && member.suspicion.defer(nowTicks, config.periodTicks())) {
            failureDetector.probeBeforeFailing(member);
            return true;
        }
        return false;
    }

    private void declareFailed(long nowTicks, MemberRecord member) {
        context.metrics().increment(MembershipMetric.FAILURES);
        String reason =
                "doubted for "
                        + Ticks.toMillis(nowTicks - member.suspicion.startedAtTicks())
                        + " ms by "
                        + member.suspicion.accuserCount()
                        + ", not cleared";
        merger.apply(
                nowTicks,
                member,
                member.update.withState(MemberState.FAILED, table.selfHash()),
                reason);
    }

    /** Sends a member the accusation against it, so that it can refute it. */
    void notifyAccused(long nowTicks, MemberRecord member) {
        if (nowTicks - member.notifiedAtTicks >= config.answerTimeoutTicks()) {
            member.notifiedAtTicks = nowTicks;
            context.sender().send(nowTicks, member, context.sender().newMessage(Kind.UPDATES));
        }
    }
}

package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.membership.MembershipView.Reach;
import java.util.ArrayList;
import java.util.List;

/** Builds {@link MembershipView}s. Confined to the thread of its {@link Membership}. */
@Deterministic
final class MembershipViewBuilder {
    /** Probe rounds within which a member that can reach this process would have been heard. */
    private static final int HEARD_WITHIN_ROUNDS = 2;

    private final MembershipContext context;
    private final MemberTable table;
    private final SelfAnnouncer announcer;
    private final LocalMemberProtocol localMember;
    private final LocalHealth localHealth;
    private final WorkerProgress workerProgress;

    MembershipViewBuilder(
            MembershipContext context,
            SelfAnnouncer announcer,
            LocalMemberProtocol localMember,
            LocalHealth localHealth,
            WorkerProgress workerProgress) {
        this.context = context;
        this.table = context.table();
        this.announcer = announcer;
        this.localMember = localMember;
        this.localHealth = localHealth;
        this.workerProgress = workerProgress;
    }

    MembershipView build(long nowTicks) {
        List<MembershipView.Member> members = new ArrayList<>();
        members.add(self());
        for (MemberRecord member : table.members()) {
            members.add(
                    entry(
                            member.update,
                            member.stateSinceTicks,
                            member.reason,
                            reach(member, nowTicks),
                            member.diverges() ? nowTicks - member.divergedSinceTicks : -1));
        }
        return new MembershipView(
                members,
                table.digest(),
                localHealth.score(),
                workerProgress.isStalled(nowTicks),
                context.metrics().snapshot());
    }

    private MembershipView.Member self() {
        String reason =
                localMember.isDisplaced()
                        ? "displaced by one at " + localMember.displacer().address()
                        : "this process";
        return entry(table.self(), announcer.stateSinceTicks(), reason, Reach.SELF, -1);
    }

    private static MembershipView.Member entry(
            MemberUpdate update,
            long stateSinceTicks,
            String reason,
            Reach reach,
            long divergedForTicks) {
        return new MembershipView.Member(
                update.name(),
                update.address(),
                update.generation(),
                update.incarnation(),
                update.state(),
                stateSinceTicks,
                reason,
                reach,
                divergedForTicks);
    }

    private Reach reach(MemberRecord member, long nowTicks) {
        if (!member.isLive()) {
            return Reach.UNREACHABLE;
        }
        if (member.ackedAtTicks >= member.indirectAckAtTicks) {
            return member.ackedAtTicks == MemberRecord.NEVER ? Reach.UNKNOWN : Reach.BIDIRECTIONAL;
        }
        long roundTicks =
                context.config().periodTicks() * (table.liveCount() + 2) * localHealth.multiplier();
        if (nowTicks - member.heardAtTicks < HEARD_WITHIN_ROUNDS * roundTicks) {
            return Reach.INBOUND_ONLY;
        }
        return member.hearsThisProcess ? Reach.OUTBOUND_ONLY : Reach.INDIRECT;
    }
}

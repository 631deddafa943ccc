package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.List;

/**
 * Merges updates into the table: the higher one about a member wins. Starts and ends suspicions
 * accordingly, and spreads new updates. Confined to the thread of its {@link Membership}.
 */
@Deterministic
final class UpdateMerger {
    /** Number of checks for expired members within the retention time of dead members. */
    private static final int EXPIRY_CHECKS_PER_RETENTION = 4;

    private final MembershipContext context;
    private final MembershipProtocolConfig config;
    private final MemberTable table;
    private final SuspectSet suspects;
    private final FailureDetector failureDetector;
    private final LocalMemberProtocol localMember;
    private long expiryCheckAtTicks;

    UpdateMerger(
            MembershipContext context,
            SuspectSet suspects,
            FailureDetector failureDetector,
            LocalMemberProtocol localMember) {
        this.context = context;
        this.config = context.config();
        this.table = context.table();
        this.suspects = suspects;
        this.failureDetector = failureDetector;
        this.localMember = localMember;
    }

    /**
     * Merges a received update.
     *
     * @param reporter name of the member that sent the update
     * @return whether the update superseded the known one
     */
    boolean merge(long nowTicks, MemberUpdate update, String reporter) {
        if (update.name().equals(table.self().name())) {
            localMember.reportReceived(nowTicks, update, reporter);
            return false;
        }
        MemberRecord member = table.get(update.name());
        if (member == null) {
            return addMember(nowTicks, update, reporter);
        }
        if (context.variants().supersedes(update, member.update)) {
            return mergeNewer(nowTicks, member, update, reporter);
        }
        if (update.state() == MemberState.SUSPECT
                && member.suspicion != null
                && !member.update.supersedes(update)
                && member.suspicion.confirm(update.accuserHash())) {
            suspects.timersChanged();
            context.sender().broadcast(update);
        }
        return false;
    }

    private boolean addMember(long nowTicks, MemberUpdate update, String reporter) {
        if (!update.state().isLive() || !context.mayBeMember(update.address()) || !makeSpace()) {
            return false;
        }
        MemberRecord member = table.add(update, nowTicks);
        context.schedule().add(member);
        apply(nowTicks, member, update, true, describeSource(update, reporter));
        return true;
    }

    private boolean mergeNewer(
            long nowTicks, MemberRecord member, MemberUpdate update, String reporter) {
        if (update.state() == MemberState.FAILED
                && member.isLive()
                && !context.variants().acceptsFailureReport(member, update, nowTicks)) {
            // After a network partition has healed, each side's reports of the other's failure
            // are outdated. A probe by this process decides; meanwhile a live member can refute.
            failureDetector.probeBeforeFailing(member);
            return false;
        }
        apply(nowTicks, member, update, false, describeSource(update, reporter));
        return true;
    }

    private String describeSource(MemberUpdate update, String reporter) {
        if (update.name().equals(reporter)) {
            return update.state() == MemberState.LEFT ? "it says so itself" : "heard from it";
        }
        MemberRecord accuser =
                update.accuserHash() == 0 ? null : table.byNameHash(update.accuserHash());
        String accusedBy =
                accuser == null || accuser.update.name().equals(reporter)
                        ? ""
                        : "by the word of " + accuser.update.name() + ", ";
        return accusedBy + "told by " + reporter;
    }

    /** Sets the state of a known member by a decision of this process. */
    void apply(long nowTicks, MemberRecord member, MemberUpdate update, String reason) {
        apply(nowTicks, member, update, false, reason);
    }

    private void apply(
            long nowTicks, MemberRecord member, MemberUpdate update, boolean added, String reason) {
        boolean restarted = !added && member.update.compareGenerations(update) != 0;
        boolean stateChanged = added || restarted || member.update.state() != update.state();
        if (restarted) {
            table.setDivergedSince(member, MemberRecord.NEVER);
            member.resetForNewGeneration();
        }
        table.replace(member, update, !added);
        suspects.remove(member);
        member.suspicion = null;
        if (update.state() == MemberState.SUSPECT) {
            startSuspicion(nowTicks, member, update.accuserHash());
        }
        context.sender().broadcast(update);
        if (stateChanged) {
            member.stateSinceTicks = nowTicks;
            member.reason = restarted ? "started again, " + reason : reason;
            context.actions().memberStateChanged(update.name(), update.state(), member.reason);
        }
    }

    private void startSuspicion(long nowTicks, MemberRecord member, int accuserHash) {
        double sizeFactor = Math.max(1, Math.log10(table.liveCount() + 1));
        long minTicks =
                Math.round(config.suspicionMultiplier() * sizeFactor * config.periodTicks());
        member.suspicion =
                new SuspicionTimer(
                        nowTicks,
                        accuserHash,
                        minTicks,
                        Math.round(minTicks * config.maxSuspicionMultiplier()),
                        Math.min(config.confirmationCount(), table.liveCount() - 1));
        suspects.add(member);
        failureDetector.maybeProbeSoon(member);
    }

    /**
     * Makes space for a member. If the table is full, removes the member that has been dead for the
     * longest time.
     */
    private boolean makeSpace() {
        if (!table.isFull()) {
            return true;
        }
        MemberRecord oldest = table.longestNotLive();
        if (oldest == null) {
            context.metrics().increment(MembershipMetric.REJECTED_WHEN_FULL);
            return false;
        }
        remove(oldest);
        return true;
    }

    private void remove(MemberRecord member) {
        table.remove(member);
        context.schedule().remove(member);
        suspects.remove(member);
    }

    /** Removes all members except this process. */
    void removeAll() {
        List.copyOf(table.members()).forEach(this::remove);
    }

    /** When {@link #removeExpired} is due. */
    long expiryCheckAtTicks() {
        return expiryCheckAtTicks;
    }

    void scheduleExpiryCheck(long nowTicks) {
        expiryCheckAtTicks =
                nowTicks + config.deadMemberRetentionTicks() / EXPIRY_CHECKS_PER_RETENTION;
    }

    /** Removes members that failed or left at least the retention time ago. */
    void removeExpired(long nowTicks) {
        scheduleExpiryCheck(nowTicks);
        for (MemberRecord member : List.copyOf(table.members())) {
            if (!member.isLive()
                    && nowTicks - member.stateSinceTicks >= config.deadMemberRetentionTicks()) {
                remove(member);
            }
        }
    }
}

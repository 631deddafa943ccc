package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.membership.Message.Kind;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Sends periodic datagrams other than probes and anti-entropy. Which ones depends on the state of
 * this process: pings to addresses at which an unknown or failed member may be found, pings to find
 * out whether a later process of the same name still runs, or announcements that this process
 * leaves. Confined to the thread of its {@link Membership}.
 */
@Deterministic
final class ContactScheduler {
    /** Addresses pinged at once by a process that is joining or knows no live member. */
    private static final int CONTACTS_WHILE_ALONE = 2;

    /** Periods between two pings to a later process of this name. */
    private static final int DISPLACER_PROBE_PERIODS = 4;

    /** Number of times a leaving process announces that it leaves. */
    private static final int LEAVE_ANNOUNCEMENTS = 3;

    /** Number of leave announcements in a period. */
    private static final int LEAVE_ANNOUNCEMENTS_PER_PERIOD = 4;

    /** Receivers of a leave announcement, in addition to the number of indirect probes. */
    private static final int LEAVE_RECEIVERS = 2;

    private final MembershipProtocolConfig config;
    private final MemberTable table;
    private final ProbeSchedule schedule;
    private final DatagramSender sender;
    private final SplittableRandom random;
    private final LocalMemberProtocol localMember;
    private final JoinProtocol joinProtocol;
    private long dueAtTicks;
    private int leaveAnnouncements;

    ContactScheduler(
            MembershipContext context, LocalMemberProtocol localMember, JoinProtocol joinProtocol) {
        this.config = context.config();
        this.table = context.table();
        this.schedule = context.schedule();
        this.sender = context.sender();
        this.random = context.random();
        this.localMember = localMember;
        this.joinProtocol = joinProtocol;
    }

    /** When the next datagrams are due. */
    long dueAtTicks() {
        return dueAtTicks;
    }

    /** Makes the next datagrams due at once. */
    void start(long nowTicks) {
        dueAtTicks = nowTicks;
    }

    /** Pings addresses at which no live member is known, if that is due. */
    void pingContactAddresses(long nowTicks) {
        if (nowTicks < dueAtTicks) {
            return;
        }
        boolean joiningOrAlone = joinProtocol.isJoining() || table.liveCount() == 0;
        List<String> candidates = table.contactAddresses().candidates(table.self().address());
        int contacts = joiningOrAlone ? CONTACTS_WHILE_ALONE : 1;
        for (int i = 0; i < contacts && !candidates.isEmpty(); i++) {
            ping(nowTicks, candidates.remove(random.nextInt(candidates.size())));
        }
        dueAtTicks =
                nowTicks
                        + config.periodTicks()
                                * (joiningOrAlone ? 1 : config.contactIntervalPeriods());
    }

    /**
     * Pings the later process of this name and a random member, if that is due. Resumes if the
     * later process is gone.
     */
    void probeDisplacer(long nowTicks) {
        if (nowTicks < dueAtTicks) {
            return;
        }
        if (localMember.isDisplacerGone(nowTicks)) {
            localMember.resume(nowTicks);
            return;
        }
        ping(nowTicks, localMember.displacer().address());
        for (MemberRecord member : schedule.sample(1, MemberRecord::isLive)) {
            ping(nowTicks, member.update.address());
        }
        dueAtTicks = nowTicks + DISPLACER_PROBE_PERIODS * config.periodTicks();
    }

    private void ping(long nowTicks, String address) {
        sender.send(nowTicks, address, sender.newMessage(Kind.PING, sender.nextSequenceNumber()));
    }

    /** Announces to some members that this process leaves, if that is due. */
    void announceLeave(long nowTicks) {
        if (nowTicks < dueAtTicks) {
            return;
        }
        leaveAnnouncements++;
        dueAtTicks =
                leaveAnnouncements < LEAVE_ANNOUNCEMENTS
                        ? nowTicks + config.periodTicks() / LEAVE_ANNOUNCEMENTS_PER_PERIOD
                        : Long.MAX_VALUE;
        if (!localMember.isDisplaced()) {
            int receivers = LEAVE_RECEIVERS + config.indirectProbeCount();
            for (MemberRecord member : schedule.sample(receivers, MemberRecord::isLive)) {
                sender.send(nowTicks, member, sender.newMessage(Kind.UPDATES));
            }
        }
    }
}

package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.setup.MembershipProtocolConfig;

/**
 * Decides when a joining process becomes alive: once its view equals that of a live member, or
 * after a timeout if it finds no member or no view becomes equal. Confined to the thread of its
 * {@link Membership}.
 */
@Deterministic
final class JoinProtocol {
    /** After this number of join timeouts the process becomes alive even if the views differ. */
    private static final int MAX_JOIN_TIMEOUTS = 5;

    /** Number of rechecks in the time of one join timeout. */
    private static final int RECHECKS_PER_JOIN_TIMEOUT = 4;

    private final MembershipProtocolConfig config;
    private final MemberTable table;
    private final MembershipActions actions;
    private final SelfAnnouncer announcer;
    private long startedAtTicks;
    private long dueAtTicks;

    JoinProtocol(MembershipContext context, SelfAnnouncer announcer) {
        this.config = context.config();
        this.table = context.table();
        this.actions = context.actions();
        this.announcer = announcer;
    }

    /** Called when the process has started. */
    void start(long nowTicks) {
        startedAtTicks = nowTicks;
        restart(nowTicks);
    }

    /** Called when the process has become {@link MemberState#JOINING} again. */
    void restart(long nowTicks) {
        dueAtTicks = nowTicks + config.joinTimeoutTicks();
    }

    /** When the process started. */
    long startedAtTicks() {
        return startedAtTicks;
    }

    /** When {@link #tryJoin} is due, if the process is joining. */
    long dueAtTicks() {
        return dueAtTicks;
    }

    boolean isJoining() {
        return table.self().state() == MemberState.JOINING;
    }

    /** Becomes alive if the views agree or there is no other member; otherwise rechecks later. */
    void tryJoin(long nowTicks) {
        boolean alone = table.liveCount() == 0;
        boolean viewConfirmed = alone || table.anyMatch(this::confirmsView);
        if (viewConfirmed
                || nowTicks - startedAtTicks > MAX_JOIN_TIMEOUTS * config.joinTimeoutTicks()) {
            announcer.announce(nowTicks, table.self().withState(MemberState.ALIVE, 0));
            actions.memberStateChanged(
                    table.self().name(),
                    MemberState.ALIVE,
                    alone ? "nobody else is there" : "its view is that of others");
        } else {
            dueAtTicks = nowTicks + config.joinTimeoutTicks() / RECHECKS_PER_JOIN_TIMEOUT;
        }
    }

    private boolean confirmsView(MemberRecord member) {
        return member.isLive() && member.heardAtTicks >= startedAtTicks && !member.diverges();
    }
}

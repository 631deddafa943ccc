package cottonlock.membership;

import cottonlock.core.Deterministic;

/**
 * Changes what this process claims about itself, and spreads it. For the thread of its {@link
 * Membership}.
 */
@Deterministic
final class SelfAnnouncer {
    private final MemberTable table;
    private final DatagramSender sender;
    private long stateSinceTicks;

    SelfAnnouncer(MembershipContext context) {
        this.table = context.table();
        this.sender = context.sender();
    }

    /** When this process got its state. */
    long stateSinceTicks() {
        return stateSinceTicks;
    }

    void setStateSince(long nowTicks) {
        stateSinceTicks = nowTicks;
    }

    /** Claims an update of this process's own name and address. */
    void announce(long nowTicks, MemberUpdate update) {
        if (update.compareGenerations(table.self()) != 0) {
            sender.resetDatagramNumbers();
        }
        if (update.state() != table.self().state()) {
            stateSinceTicks = nowTicks;
        }
        table.setSelf(update);
        sender.broadcast(update);
    }
}

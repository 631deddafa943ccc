package cottonlock.membership;

import cottonlock.core.Deterministic;

/**
 * Changes this process's claim about itself, and spreads it. Confined to the thread of its {@link
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

    /** When this process's state last changed. */
    long stateSinceTicks() {
        return stateSinceTicks;
    }

    void setStateSince(long nowTicks) {
        stateSinceTicks = nowTicks;
    }

    /** Replaces this process's claim and spreads it. */
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

package cottonlock.membership;

import cottonlock.core.Deterministic;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The members under suspicion, and when the first suspicion expires. Confined to the thread of its
 * {@link Membership}.
 */
@Deterministic
final class SuspectSet {
    private final ProtocolVariants variants;

    /** In the order in which their suspicions started. */
    private final Set<MemberRecord> suspects = new LinkedHashSet<>();

    /** Time of the first expiry, valid unless {@link #expiriesChanged}. */
    private long firstExpiryTicks;

    private boolean expiriesChanged = true;

    SuspectSet(ProtocolVariants variants) {
        this.variants = variants;
    }

    boolean isEmpty() {
        return suspects.isEmpty();
    }

    void add(MemberRecord member) {
        suspects.add(member);
        expiriesChanged = true;
    }

    void remove(MemberRecord member) {
        suspects.remove(member);
        expiriesChanged = true;
    }

    /** Called when the timer of a suspicion may have changed. */
    void timersChanged() {
        expiriesChanged = true;
    }

    /** A copy, in the order in which the suspicions started. */
    List<MemberRecord> snapshot() {
        return List.copyOf(suspects);
    }

    /** Excludes a stall of this process from the duration of all suspicions. */
    void extendForStall(long nowTicks, long stallTicks) {
        expiriesChanged = true;
        for (MemberRecord member : suspects) {
            member.suspicion.extendForStall(nowTicks, stallTicks);
        }
    }

    /** When the first suspicion expires; the maximum value if there is none. */
    long firstExpiryTicks() {
        if (expiriesChanged) {
            firstExpiryTicks = Long.MAX_VALUE;
            for (MemberRecord member : suspects) {
                firstExpiryTicks = Math.min(firstExpiryTicks, expiryTicks(member));
            }
            expiriesChanged = false;
        }
        return firstExpiryTicks;
    }

    /** When the suspicion of a member expires. */
    long expiryTicks(MemberRecord member) {
        return variants.suspicionExpiryTicks(member.suspicion);
    }
}

package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.decision.lane.RendezvousHash;

/**
 * One statement about one member. Updates about the same name are totally ordered, and the highest
 * one wins wherever it has arrived, so that members which have received the same updates hold the
 * same view.
 *
 * @param name of the member, the same over restarts of its process
 * @param address from which its datagrams come and to which they are sent
 * @param generation of the process: the milliseconds since 1970 at its start, raised by the process
 *     itself if it finds a later one of its name; no other process sets it
 * @param incarnation within the generation, raised only by the process itself to refute a suspicion
 * @param accuserHash hash of the name of the member that suspects this one or found it failed; 0 in
 *     a member's own claims. It does not count in the order.
 */
@Deterministic
record MemberUpdate(
        String name,
        String address,
        long generation,
        int incarnation,
        MemberState state,
        int accuserHash) {

    /**
     * Whether this update is later than the other in the order of generation, incarnation, state.
     */
    boolean supersedes(MemberUpdate other) {
        int order = compareGenerations(other);
        if (order == 0) {
            order = Integer.compare(incarnation, other.incarnation);
        }
        return order != 0 ? order > 0 : state.compareTo(other.state) > 0;
    }

    /**
     * Compares which process of the name is the later one; processes started in the same
     * millisecond are ordered by address.
     */
    int compareGenerations(MemberUpdate other) {
        return generation != other.generation
                ? Long.compare(generation, other.generation)
                : address.compareTo(other.address);
    }

    /** The same member in another state, as stated by an accuser. */
    MemberUpdate withState(MemberState newState, int newAccuserHash) {
        return new MemberUpdate(name, address, generation, incarnation, newState, newAccuserHash);
    }

    /** The same process of the member's own claim, with another incarnation and state. */
    MemberUpdate ownClaim(long newGeneration, int newIncarnation, MemberState newState) {
        return new MemberUpdate(name, address, newGeneration, newIncarnation, newState, 0);
    }

    /**
     * The update's share in the digest of a view: views are equal if the sums of these are.
     * Suspicion does not count, as it comes and goes.
     */
    long digest() {
        long nameAndIncarnation =
                RendezvousHash.of((state == MemberState.JOINING ? 1 : 0) + 2 * incarnation, name);
        // A product and no sum: two members that exchange their addresses must change the digest.
        return nameAndIncarnation * (RendezvousHash.of(Long.hashCode(generation), address) | 1);
    }

    /** The hash that stands for a member's name in datagrams; never 0. */
    static int nameHash(String name) {
        int hash = (int) RendezvousHash.of(0, name);
        return hash == 0 ? 1 : hash;
    }
}

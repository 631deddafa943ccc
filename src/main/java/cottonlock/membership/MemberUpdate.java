package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.decision.lane.RendezvousHash;

/**
 * A statement about one member. Updates about the same name are totally ordered and the highest one
 * wins, so that processes that have received the same updates have the same view.
 *
 * @param name name of the member, the same over restarts of its process
 * @param address from which its datagrams come and to which they are sent
 * @param generation generation of the process: the milliseconds since 1970 at its start, raised by
 *     the process itself if it finds a later one of its name; no other process sets it
 * @param incarnation number within the generation, raised only by the process itself to refute a
 *     suspicion
 * @param accuserHash hash of the name of the member that suspects this one or found it failed; 0 in
 *     a member's own claims. It does not affect the order.
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

    /** A claim of the member about itself, with another generation, incarnation and state. */
    MemberUpdate ownClaim(long newGeneration, int newIncarnation, MemberState newState) {
        return new MemberUpdate(name, address, newGeneration, newIncarnation, newState, 0);
    }

    /**
     * The update's contribution to the digest of a view, which is the sum of these: views with
     * equal sums count as equal. Suspicion does not affect it, because suspicions start and end
     * often.
     */
    long digest() {
        long nameAndIncarnation =
                RendezvousHash.of((state == MemberState.JOINING ? 1 : 0) + 2 * incarnation, name);
        // A product rather than a sum, so that the digest changes if two members swap addresses.
        return nameAndIncarnation * (RendezvousHash.of(Long.hashCode(generation), address) | 1);
    }

    /** The hash that represents a member's name in datagrams; never 0. */
    static int nameHash(String name) {
        int hash = (int) RendezvousHash.of(0, name);
        return hash == 0 ? 1 : hash;
    }
}

package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.decision.lane.RendezvousHash;

/**
 * What is said of one member. Words on the same name are in one order, and the highest holds
 * wherever it has come to, by whatever way and in whatever order: so views that hear the same words
 * agree.
 *
 * @param name of the proxy, the same over its restarts
 * @param address where its datagrams come from and go to
 * @param life of the process: begun with the milliseconds since 1970 at its start, raised by itself
 *     where another was known; only the process itself begins one
 * @param turn raised by the process itself whenever it must contradict
 * @param by a hash of the name of whoever doubts it or holds it for failed; 0 for its own word. It
 *     does not count in the order
 */
@Deterministic
record MemberUpdate(
        String name,
        String address,
        long generation,
        int incarnation,
        MemberState state,
        int accuserHash) {

    /** Whether it holds in place of the other. */
    boolean supersedes(MemberUpdate other) {
        int order = compareGenerations(other);
        if (order == 0) {
            order = Integer.compare(incarnation, other.incarnation);
        }
        return order != 0 ? order > 0 : state.compareTo(other.state) > 0;
    }

    /**
     * Which process is the later one of that name; two of the same millisecond are told by address.
     */
    int compareGenerations(MemberUpdate other) {
        return generation != other.generation
                ? Long.compare(generation, other.generation)
                : address.compareTo(other.address);
    }

    MemberUpdate withState(MemberState other, int accuser) {
        return new MemberUpdate(name, address, generation, incarnation, other, accuser);
    }

    /**
     * For digests: two views are alike when the sums of these are. Doubts don't count: they come
     * and go, and what they lead to does.
     */
    long digest() {
        long who =
                RendezvousHash.of((state == MemberState.JOINING ? 1 : 0) + 2 * incarnation, name);
        // A product: of sums of parts, two members that exchange their addresses would go
        // unnoticed.
        return who * (RendezvousHash.of(Long.hashCode(generation), address) | 1);
    }

    /** What stands for a name where there is no room for it; never 0. */
    static int nameHash(String name) {
        int hash = (int) RendezvousHash.of(0, name);
        return hash == 0 ? 1 : hash;
    }
}

package cottonlock.membership;

import java.util.List;
import java.util.Map;

/**
 * One process's view of the membership at one point in time.
 *
 * @param members all known members, this process first
 * @param digest digest of the live members; views with equal digests count as equal
 * @param localHealthScore how unreliable this process considers its own observations; 0: reliable
 * @param workerStalled whether this process's worker has made no progress for too long
 * @param metrics the protocol's counters
 */
public record MembershipView(
        List<Member> members,
        long digest,
        int localHealthScore,
        boolean workerStalled,
        Map<MembershipMetric, Long> metrics) {

    /** How this process and a member reach each other. */
    public enum Reach {
        /** The member is this process. */
        SELF("self"),
        /** Both directions work. */
        BIDIRECTIONAL("both"),
        /** This process hears the member, but not the reverse; other members reach the member. */
        INBOUND_ONLY("hears-not"),
        /** The member hears this process, but not the reverse; other members hear the member. */
        OUTBOUND_ONLY("not-heard"),
        /** Neither direction works, but other members reach the member. */
        INDIRECT("by-others"),
        /** The member has not been probed yet. */
        UNKNOWN("untried"),
        /** The member has failed or left. */
        UNREACHABLE("none");

        private final String label;

        Reach(String label) {
            this.label = label;
        }

        /** The name in management replies. */
        public String label() {
            return label;
        }
    }

    /**
     * One member.
     *
     * @param name name of the member, the same over restarts of its process
     * @param address an IP address and a port
     * @param generation generation of the member's process; a later process has a higher one
     * @param incarnation number within the generation, raised by the process to refute suspicions
     * @param state state of the member in this view
     * @param stateSinceTicks when the state last changed, by this process's clock
     * @param reason why the member has the state, and which member reported it
     * @param reach how this process and the member reach each other
     * @param divergedForTicks for how long its view has differed from this one; -1: it does not
     */
    public record Member(
            String name,
            String address,
            long generation,
            int incarnation,
            MemberState state,
            long stateSinceTicks,
            String reason,
            Reach reach,
            long divergedForTicks) {}

    /** Number of members that may be running, including this process. */
    public int liveCount() {
        return (int) members.stream().filter(member -> member.state().isLive()).count();
    }

    /** The longest time a member's view has differed from this one, in ticks; -1: all agree. */
    public long divergedForTicks() {
        return members.stream().mapToLong(Member::divergedForTicks).max().orElse(-1);
    }
}

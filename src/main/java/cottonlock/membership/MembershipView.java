package cottonlock.membership;

import java.util.List;
import java.util.Map;

/**
 * One process's view of the membership at one moment.
 *
 * @param members all known members, this process first
 * @param digest equal in views that hold the same members live
 * @param localHealthScore how unreliable this process takes its own observations to be; 0: reliable
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
        /** The member is heard here, but does not hear this process; others reach it. */
        INBOUND_ONLY("hears-not"),
        /** The member hears this process, but is not heard here; others hear it. */
        OUTBOUND_ONLY("not-heard"),
        /** Neither direction works; others reach the member. */
        INDIRECT("by-others"),
        /** The member has not been probed yet. */
        UNKNOWN("untried"),
        /** The member has failed or left. */
        UNREACHABLE("none");

        private final String label;

        Reach(String label) {
            this.label = label;
        }

        /** The name in management lines. */
        public String label() {
            return label;
        }
    }

    /**
     * One member.
     *
     * @param name the same over restarts of the member's process
     * @param address an IP address and a port
     * @param generation of the member's process; a later process has a higher one
     * @param incarnation within the generation, raised by the process to refute suspicions
     * @param state as this process holds it
     * @param stateSinceTicks when it got the state, by this process's clock
     * @param reason why it has the state, and by whose report
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

    /** Members that may be running, this process among them. */
    public int liveCount() {
        return (int) members.stream().filter(member -> member.state().isLive()).count();
    }

    /** The longest time for which a live member's view has differed, in ticks; -1: all agree. */
    public long divergedForTicks() {
        return members.stream().mapToLong(Member::divergedForTicks).max().orElse(-1);
    }
}

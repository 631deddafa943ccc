package cottonlock.membership;

import java.util.List;
import java.util.Map;

/**
 * What one proxy holds of the fleet at one moment, itself first.
 *
 * @param digest two views with the same members that may live have the same
 * @param selfDoubt how far this process doubts itself; 0: not at all
 * @param hung whether its module stands still
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
     * @param since by the process's own clock, tenths of a millisecond
     * @param reason why it is in that state, and by whose word
     * @param differs for how long its view has differed from this one; -1: it does not
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

    /** Members that may be there, this one among them. */
    public int liveCount() {
        return (int) members.stream().filter(l -> l.state().isLive()).count();
    }

    /**
     * For how long the view of any live member has differed, tenths of a millisecond; -1: all
     * agree.
     */
    public long divergedForTicks() {
        return members.stream().mapToLong(Member::divergedForTicks).max().orElse(-1);
    }
}

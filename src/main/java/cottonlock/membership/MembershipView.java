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
        List<Line> lines,
        long digest,
        int selfDoubt,
        boolean hung,
        Map<MembershipMetric, Long> counts) {

    /** How one proxy reaches another. */
    public enum Reach {
        SELF,
        BOTH,
        /** It is heard, but does not hear this proxy; others reach it. */
        HEARS_NOT,
        /** It hears this proxy, but is not heard; others hear it. */
        NOT_HEARD,
        /** Neither way; others reach it. */
        BY_OTHERS,
        UNTRIED,
        NONE;

        /** In a word, for people and programs. */
        public String word() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * One member.
     *
     * @param since by the process's own clock, tenths of a millisecond
     * @param reason why it is in that state, and by whose word
     * @param differs for how long its view has differed from this one; -1: it does not
     */
    public record Line(
            String name,
            String address,
            long life,
            int turn,
            MemberState state,
            long since,
            String reason,
            Reach reach,
            long differs) {}

    /** Members that may be there, this one among them. */
    public int alive() {
        return (int) lines.stream().filter(l -> l.state().lives()).count();
    }

    /**
     * For how long the view of any live member has differed, tenths of a millisecond; -1: all
     * agree.
     */
    public long differs() {
        return lines.stream().mapToLong(Line::differs).max().orElse(-1);
    }
}

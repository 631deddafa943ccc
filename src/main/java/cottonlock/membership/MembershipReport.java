package cottonlock.membership;

import cottonlock.core.Ticks;
import java.util.Locale;

/** Formats a {@link MembershipView} for the management command MEMBERS and for the metrics. */
final class MembershipReport {
    private MembershipReport() {}

    /** A line of totals, then a line for each member, this process first. */
    static String statusLines(MembershipView view, long nowTicks) {
        StringBuilder text = new StringBuilder();
        text.append("view=").append(Long.toHexString(view.digest()));
        text.append(" alive=").append(view.liveCount());
        text.append(" members=").append(view.members().size());
        text.append(" differs_ms=").append(millisOrNone(view.divergedForTicks()));
        text.append(" self_doubt=").append(view.localHealthScore());
        text.append(" hung=").append(view.workerStalled());
        view.metrics()
                .forEach(
                        (metric, count) ->
                                text.append(' ').append(metric.label()).append('=').append(count));
        for (MembershipView.Member member : view.members()) {
            appendMember(text.append('\n'), member, nowTicks);
        }
        return text.append('\n').toString();
    }

    private static void appendMember(
            StringBuilder text, MembershipView.Member member, long nowTicks) {
        text.append(member.name());
        text.append(' ').append(lowerCase(member.state()));
        text.append(' ').append(member.address());
        text.append(" life=").append(member.generation());
        text.append(" turn=").append(member.incarnation());
        text.append(" since_ms=").append(Ticks.toMillis(nowTicks - member.stateSinceTicks()));
        text.append(" reach=").append(member.reach().label());
        text.append(" differs_ms=").append(millisOrNone(member.divergedForTicks()));
        text.append(" why=").append(member.reason());
    }

    /** Fields of a JSON object, each preceded by a comma. */
    static String metricsJson(MembershipView view) {
        StringBuilder json = new StringBuilder();
        for (MemberState state : MemberState.values()) {
            long count = view.members().stream().filter(m -> m.state() == state).count();
            json.append(",\"members_").append(lowerCase(state)).append("\":").append(count);
        }
        json.append(",\"members_differ_ms\":").append(millisOrNone(view.divergedForTicks()));
        json.append(",\"members_self_doubt\":").append(view.localHealthScore());
        view.metrics()
                .forEach(
                        (metric, count) ->
                                json.append(",\"members_")
                                        .append(metric.label())
                                        .append("_count\":")
                                        .append(count));
        return json.toString();
    }

    private static String lowerCase(MemberState state) {
        return state.name().toLowerCase(Locale.ROOT);
    }

    /** Converts ticks to milliseconds; -1 for a negative number, which stands for no duration. */
    private static long millisOrNone(long ticks) {
        return ticks < 0 ? -1 : Ticks.toMillis(ticks);
    }
}

package cottonlock.membership;

import cottonlock.core.Deterministic;
import java.util.EnumMap;
import java.util.Map;

/** The counters of one process. Confined to the thread of its {@link Membership}. */
@Deterministic
final class MembershipMetrics {
    private final Map<MembershipMetric, Long> counts = new EnumMap<>(MembershipMetric.class);

    MembershipMetrics() {
        for (MembershipMetric metric : MembershipMetric.values()) {
            counts.put(metric, 0L);
        }
    }

    void increment(MembershipMetric metric) {
        counts.merge(metric, 1L, Long::sum);
    }

    /** A copy with all metrics, in the order of their declaration. */
    Map<MembershipMetric, Long> snapshot() {
        return new EnumMap<>(counts);
    }
}

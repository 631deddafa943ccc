package cottonlock.setup;

import java.util.Map;

/**
 * What an operator's file asks of a proxy.
 *
 * @param watched settings, by path, of a module whose decisions are only counted; empty: none is
 *     watched
 * @param membership how proxies know one another; null: they don't
 * @param rollout where changes of the settings are learnt of; null: from the file alone
 */
public record Operator(
        Map<String, String> watched, MembershipPlan membership, RolloutPlan rollout) {
    /** Without a file. */
    public static final Operator NONE = new Operator(Map.of(), null);

    /** Without anybody to learn of changes from. */
    public Operator(Map<String, String> watched, MembershipPlan membership) {
        this(watched, membership, null);
    }
}

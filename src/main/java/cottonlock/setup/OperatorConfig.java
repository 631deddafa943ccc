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
public record OperatorConfig(
        Map<String, String> watched, MembershipConfig membership, RolloutConfig rollout) {
    /** Without a file. */
    public static final OperatorConfig NONE = new OperatorConfig(Map.of(), null);

    /** Without anybody to learn of changes from. */
    public OperatorConfig(Map<String, String> watched, MembershipConfig membership) {
        this(watched, membership, null);
    }
}

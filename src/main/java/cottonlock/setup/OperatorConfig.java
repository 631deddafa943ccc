package cottonlock.setup;

import java.util.Map;

/**
 * What the operator's file configures beside the platform's file.
 *
 * @param shadowSettings settings, by path, of a shadow load balancer whose decisions are only
 *     counted; empty: there is none
 * @param membership how proxies know each other; null: they don't
 * @param rollout where new versions of the configuration are learnt of; null: from the file alone
 */
public record OperatorConfig(
        Map<String, String> shadowSettings, MembershipConfig membership, RolloutConfig rollout) {
    /** The configuration without an operator's file. */
    public static final OperatorConfig NONE = new OperatorConfig(Map.of(), null, null);
}

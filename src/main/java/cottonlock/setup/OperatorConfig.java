package cottonlock.setup;

import java.util.Map;

/**
 * The configuration from the operator's file, which complements the platform's file.
 *
 * @param shadowSettings settings, by path, of a shadow load balancer whose decisions are only
 *     counted; if empty, there is none
 * @param membership how proxies find each other; null if they do not
 * @param rollout the source of new versions of the configuration; null if the file is the only
 *     source
 */
public record OperatorConfig(
        Map<String, String> shadowSettings, MembershipConfig membership, RolloutConfig rollout) {
    /** The configuration without an operator's file. */
    public static final OperatorConfig NONE = new OperatorConfig(Map.of(), null, null);
}

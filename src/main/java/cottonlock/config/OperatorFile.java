package cottonlock.config;

import cottonlock.setup.MembershipConfig;
import cottonlock.setup.RolloutConfig;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * The operator's file: settings that are not part of the platform's configuration. {@code
 * deploy/operator.example.toml} lists every key with its default, unit and range.
 *
 * @param logFormat {@code text}: lines with level and text; {@code json}: one JSON object per line
 * @param logLevel the lowest level that is written: {@code info}, {@code warning} or {@code off}
 * @param shadowSettings settings, by path, of a shadow load balancer whose decisions are counted
 *     but not applied; empty if there is none
 * @param membership the configuration of failure detection among the proxies; null if it is off
 * @param rollout the configuration of the rollout of settings; null if it is off
 */
public record OperatorFile(
        String logFormat,
        String logLevel,
        Map<String, String> shadowSettings,
        MembershipConfig membership,
        RolloutConfig rollout) {
    /** Paths of the fees that may differ for a shadow load balancer, by the file's keys. */
    private static final Map<String, String> FEE_PATHS =
            Map.of("connection_fee", "Fees.Connection", "handshake_fee", "Fees.Handshake");

    private static final String[] WORKLOADS = {"mesh", "chain", "proxy"};

    private static final double MAX_FEE = 1e6;

    /** Creates the content of a file without rollout. */
    public OperatorFile(
            String logFormat,
            String logLevel,
            Map<String, String> shadowSettings,
            MembershipConfig membership) {
        this(logFormat, logLevel, shadowSettings, membership, null);
    }

    /**
     * Reads and checks a file.
     *
     * @throws InvalidConfigurationException with all faults of the file
     */
    public static OperatorFile read(Path file) throws InvalidConfigurationException {
        Fields top = Fields.of(ConfigurationDocument.toml(file));
        Fields log = top.table("log");
        OperatorFile read =
                new OperatorFile(
                        log.oneOf("format", "text", "text", "json"),
                        log.oneOf("level", "info", "info", "warning", "off"),
                        readShadowSettings(top.table("watch")),
                        MembershipTable.read(top.table("membership"), file),
                        RolloutTable.read(top.table("rollout")));
        top.throwIfInvalid();
        return read;
    }

    private static Map<String, String> readShadowSettings(Fields table) {
        Map<String, String> settings = new TreeMap<>();
        if (table.bool("on", false)) {
            settings.put("Workload", table.oneOf("workload", "mesh", WORKLOADS));
            FEE_PATHS.forEach(
                    (key, path) ->
                            settings.put(path, Double.toString(table.number(key, 0, 0, MAX_FEE))));
        } else if (hasShadowSetting(table)) {
            table.oneOf("workload", "mesh", WORKLOADS);
            FEE_PATHS.keySet().forEach(key -> table.number(key, 0, 0, MAX_FEE));
        }
        return settings;
    }

    private static boolean hasShadowSetting(Fields table) {
        return table.has("workload") || FEE_PATHS.keySet().stream().anyMatch(table::has);
    }
}

package cottonlock.config;

import cottonlock.setup.RolloutConfig;
import java.util.List;

/** Reads the table {@code [rollout]} of an operator's file. */
final class RolloutTable {
    private static final String SERVICE_PATTERN = "[A-Za-z0-9._-]{0,64}";

    private RolloutTable() {}

    /** Reads the table and adds faults to those of the file. Returns null if rollout is off. */
    static RolloutConfig read(Fields table) {
        boolean enabled = table.bool("enabled", false);
        String service = service(table);
        List<String> control = Addresses.read(table, "control");
        List<String> far = Addresses.read(table, "far");
        if (enabled && service.isEmpty()) {
            table.addFault("service", "expected the service whose settings are rolled out");
        }
        if (enabled && control.isEmpty()) {
            table.addFault("control", "expected at least one control server");
        }
        RolloutConfig config =
                new RolloutConfig(
                        service,
                        control,
                        far,
                        Durations.millisAsTicks(
                                table,
                                "call_ms",
                                RolloutConfig.DEFAULT_CALL_TIMEOUT_TICKS,
                                50,
                                2_000),
                        Durations.millisAsTicks(
                                table,
                                "compare_ms",
                                RolloutConfig.DEFAULT_COMPARISON_INTERVAL_TICKS,
                                1_000,
                                60_000),
                        Durations.millisAsTicks(
                                table,
                                "retry_ms",
                                RolloutConfig.DEFAULT_MAX_RETRY_DELAY_TICKS,
                                500,
                                60_000));
        return enabled ? config : null;
    }

    private static String service(Fields table) {
        return table.matching(
                "service",
                "",
                SERVICE_PATTERN,
                "up to 64 letters, digits, dots, dashes and underscores");
    }
}

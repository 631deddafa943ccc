package cottonlock.config;

import cottonlock.setup.MembershipConfig;
import cottonlock.setup.MembershipProtocolConfig;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads the table {@code [membership]} of operators' files and of the lab's scenarios. */
public final class MembershipTable {
    private MembershipTable() {}

    /**
     * Reads the table; faults are added to the file's.
     *
     * @param file the file that holds the table; key files are named relative to its folder
     * @return the configuration, or null if membership is off
     */
    public static MembershipConfig read(Fields table, Path file) {
        boolean enabled = table.bool("enabled", false);
        String listen = table.address("listen", "");
        String advertise = table.address("advertise", "");
        List<String> seeds = Addresses.read(table, "seeds");
        String keyFile = keyFile(table, "key_file", file);
        String nextKeyFile = keyFile(table, "next_key_file", file);
        if (keyFile.isEmpty() && !nextKeyFile.isEmpty()) {
            table.addFault(
                    "next_key_file",
                    "expected key_file as well, which is the key that signs datagrams");
        }
        MembershipProtocolConfig protocol = protocol(table);
        return enabled
                ? new MembershipConfig(listen, advertise, seeds, keyFile, nextKeyFile, protocol)
                : null;
    }

    /**
     * Reads the protocol's parameters from an operator's file, even if membership is off in it.
     * Other tables of the file are not checked.
     *
     * @throws InvalidConfigurationException with all faults of the parameters
     */
    public static MembershipProtocolConfig readProtocol(Path file)
            throws InvalidConfigurationException {
        Fields top = Fields.of(ConfigurationDocument.toml(file));
        top.allowOtherKeys();
        Fields table = top.table("membership");
        MembershipProtocolConfig protocol = protocol(table);
        table.allowOtherKeys();
        top.throwIfInvalid();
        return protocol;
    }

    private static MembershipProtocolConfig protocol(Fields table) {
        MembershipProtocolConfig defaults = MembershipProtocolConfig.DEFAULTS;
        long periodTicks =
                Durations.millisAsTicks(table, "period_ms", defaults.periodTicks(), 50, 60_000);
        long defaultAnswerTimeoutTicks =
                Math.min(defaults.answerTimeoutTicks(), periodTicks * 3 / 10);
        long answerTimeoutTicks =
                Durations.millisAsTicks(table, "answer_ms", defaultAnswerTimeoutTicks, 10, 60_000);
        if (answerTimeoutTicks >= periodTicks) {
            table.addFault(
                    table.has("answer_ms") ? "answer_ms" : "period_ms",
                    "expected answer_ms to be less than period_ms, found "
                            + answerTimeoutTicks / 10
                            + " and "
                            + periodTicks / 10);
        }
        return new MembershipProtocolConfig(
                periodTicks,
                answerTimeoutTicks,
                table.integer("helpers", defaults.indirectProbeCount(), 0, 16),
                table.number("suspicion_periods", defaults.suspicionMultiplier(), 0.5, 1_000),
                table.number("suspicion_longest", defaults.maxSuspicionMultiplier(), 1, 100),
                table.integer("confirmations", defaults.confirmationCount(), 0, 16),
                Durations.millisAsTicks(
                        table, "hung_ms", defaults.stallTimeoutTicks(), 100, 600_000),
                table.number("repeats", defaults.retransmitMultiplier(), 0.5, 20),
                table.integer("most", defaults.maxMembers(), 2, 4_096),
                Durations.secondsAsTicks(
                        table, "forget_s", defaults.deadMemberRetentionTicks(), 10, 86_400),
                table.integer("bytes_per_second", defaults.maxBytesPerSecond(), 1_024, 1 << 20),
                table.integer("self_doubt", defaults.maxLocalHealthScore(), 0, 16),
                Durations.millisAsTicks(table, "join_ms", defaults.joinTimeoutTicks(), 100, 60_000),
                table.integer("contact_periods", defaults.contactIntervalPeriods(), 1, 100));
    }

    /** Returns the absolute path of a key file; empty if the table names none. */
    private static String keyFile(Fields table, String key, Path file) {
        String name = table.text(key, "");
        if (name.isEmpty()) {
            return name;
        }
        Path path = file.toAbsolutePath().getParent().resolve(name);
        if (!Files.isRegularFile(path)) {
            table.addFault(key, "there is no file " + path);
        }
        return path.toString();
    }
}

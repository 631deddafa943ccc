package cottonlock.config;

import cottonlock.setup.MembershipConfig;
import cottonlock.setup.MembershipProtocolConfig;
import cottonlock.setup.RolloutConfig;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The operator's file: what the platform's configuration has no place for. {@code
 * deploy/operator.example.toml} has every key with its default, unit and range.
 *
 * @param logFormat {@code text}: a line with level and text; {@code json}: an object a line (RFC
 *     8259)
 * @param logLevel the lowest level that is written: {@code info}, {@code warning} or {@code off}
 * @param watched settings, by path, of a module whose decisions are only counted; empty: none is
 *     watched
 * @param membership how the proxies know one another; null: they don't
 * @param rollout where changes of the settings are learnt of; null: from the platform's file alone
 */
public record OperatorFile(
        String logFormat,
        String logLevel,
        Map<String, String> watched,
        MembershipConfig membership,
        RolloutConfig rollout) {
    /** Without anybody to learn of changes from. */
    public OperatorFile(
            String logFormat,
            String logLevel,
            Map<String, String> watched,
            MembershipConfig membership) {
        this(logFormat, logLevel, watched, membership, null);
    }

    /** The settings that a watch may change, as the file names them. */
    private static final Map<String, String> FEES =
            Map.of("connection_fee", "Fees.Connection", "handshake_fee", "Fees.Handshake");

    /** Reads and checks it. */
    public static OperatorFile read(Path file) throws InvalidConfigurationException {
        Fields top = Fields.of(ConfigurationDocument.toml(file));
        Fields log = top.table("log");
        OperatorFile read =
                new OperatorFile(
                        log.word("format", "text", "text", "json"),
                        log.word("level", "info", "info", "warning", "off"),
                        watched(top.table("watch")),
                        membership(top.table("membership"), file),
                        rollout(top.table("rollout")));
        top.end();
        return read;
    }

    /**
     * How closely the proxies watch one another by an operator's file, whether or not it has them
     * do so.
     */
    public static MembershipProtocolConfig rules(Path file) throws InvalidConfigurationException {
        Fields top = Fields.of(ConfigurationDocument.toml(file));
        top.mayHoldMore();
        Fields table = top.table("membership");
        MembershipProtocolConfig rules = rules(table);
        table.mayHoldMore();
        top.end();
        return rules;
    }

    /** The table of that name of a file in the given place, which key files are named from. */
    public static MembershipConfig membership(Fields f, Path file) {
        boolean enabled = f.flag("enabled", false);
        String listen = f.address("listen", "");
        String advertise = f.address("advertise", "");
        List<String> seeds = f.texts("seeds", List.of());
        for (String seed : seeds) {
            if (!Fields.isAddress(seed)) {
                f.fault("seeds", "expected " + Fields.ADDRESS_WORDS + ", found \"" + seed + "\"");
            }
        }
        String key = key(f, "key_file", file);
        String next = key(f, "next_key_file", file);
        if (key.isEmpty() && !next.isEmpty()) {
            f.fault("next_key_file", "expected key_file beside it: tags are made with that one");
        }
        MembershipProtocolConfig rules = rules(f);
        return enabled ? new MembershipConfig(listen, advertise, seeds, key, next, rules) : null;
    }

    private static MembershipProtocolConfig rules(Fields f) {
        MembershipProtocolConfig usual = MembershipProtocolConfig.DEFAULTS;
        long period = millis(f, "period_ms", usual.periodTicks(), 50, 60_000);
        long answer =
                millis(
                        f,
                        "answer_ms",
                        Math.min(usual.answerTimeoutTicks(), period * 3 / 10),
                        10,
                        60_000);
        if (answer >= period) {
            f.fault(
                    f.has("answer_ms") ? "answer_ms" : "period_ms",
                    "expected answer_ms to be less than "
                            + "period_ms, found "
                            + answer / 10
                            + " and "
                            + period / 10);
        }
        return new MembershipProtocolConfig(
                period,
                answer,
                f.whole("helpers", usual.indirectProbeCount(), 0, 16),
                f.number("suspicion_periods", usual.suspicionMultiplier(), 0.5, 1_000),
                f.number("suspicion_longest", usual.maxSuspicionMultiplier(), 1, 100),
                f.whole("confirmations", usual.confirmationCount(), 0, 16),
                millis(f, "hung_ms", usual.stallTimeoutTicks(), 100, 600_000),
                f.number("repeats", usual.retransmitMultiplier(), 0.5, 20),
                f.whole("most", usual.maxMembers(), 2, 4_096),
                10_000L
                        * f.whole(
                                "forget_s",
                                (int) (usual.deadMemberRetentionTicks() / 10_000),
                                10,
                                86_400),
                f.whole("bytes_per_second", usual.maxBytesPerSecond(), 1_024, 1 << 20),
                f.whole("self_doubt", usual.maxLocalHealthScore(), 0, 16),
                millis(f, "join_ms", usual.joinTimeoutTicks(), 100, 60_000),
                f.whole("contact_periods", usual.contactIntervalPeriods(), 1, 100));
    }

    /** Where changes are learnt of; null where the table does not ask for it. */
    private static RolloutConfig rollout(Fields f) {
        boolean enabled = f.flag("enabled", false);
        String service =
                f.formed(
                        "service",
                        "",
                        "[A-Za-z0-9._-]{0,64}",
                        "up to 64 letters, digits, dots, dashes and underscores");
        List<String> control = addresses(f, "control");
        List<String> far = addresses(f, "far");
        if (enabled && service.isEmpty()) {
            f.fault("service", "expected a service whose settings these are");
        }
        if (enabled && control.isEmpty()) {
            f.fault("control", "expected a control machine or more");
        }
        RolloutConfig plan =
                new RolloutConfig(
                        service,
                        control,
                        far,
                        millis(f, "call_ms", RolloutConfig.DEFAULT_CALL_TIMEOUT_TICKS, 50, 2_000),
                        millis(
                                f,
                                "compare_ms",
                                RolloutConfig.DEFAULT_COMPARISON_INTERVAL_TICKS,
                                1_000,
                                60_000),
                        millis(
                                f,
                                "retry_ms",
                                RolloutConfig.DEFAULT_MAX_RETRY_DELAY_TICKS,
                                500,
                                60_000));
        return enabled ? plan : null;
    }

    private static List<String> addresses(Fields f, String key) {
        List<String> all = f.texts(key, List.of());
        for (String address : all) {
            if (!Fields.isAddress(address)) {
                f.fault(key, "expected " + Fields.ADDRESS_WORDS + ", found \"" + address + "\"");
            }
        }
        return all;
    }

    private static long millis(Fields f, String key, long tenths, int least, int most) {
        return 10L * f.whole(key, (int) (tenths / 10), least, most);
    }

    /** A file of a key, as the process will read it; it must be there. */
    private static String key(Fields f, String key, Path file) {
        String name = f.text(key, "");
        if (name.isEmpty()) {
            return name;
        }
        Path folder = file.toAbsolutePath().getParent();
        Path at = folder.resolve(name);
        if (!java.nio.file.Files.isRegularFile(at)) {
            f.fault(key, "there is no file " + at);
        }
        return at.toString();
    }

    private static Map<String, String> watched(Fields watch) {
        Map<String, String> settings = new TreeMap<>();
        if (watch.flag("on", false)) {
            settings.put("Workload", watch.word("workload", "mesh", "mesh", "chain", "proxy"));
            FEES.forEach(
                    (key, path) ->
                            settings.put(path, Double.toString(watch.number(key, 0, 0, 1e6))));
        } else if (watch.has("workload") || FEES.keySet().stream().anyMatch(watch::has)) {
            watch.word("workload", "mesh", "mesh", "chain", "proxy");
            FEES.keySet().forEach(key -> watch.number(key, 0, 0, 1e6));
        }
        return settings;
    }
}

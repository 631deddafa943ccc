package cottonlock.config;

import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * The operator's file: what the platform's configuration has no place for. {@code
 * deploy/operator.example.toml} has every key with its default, unit and range.
 *
 * @param logFormat {@code text}: a line with level and text; {@code json}: an object a line (RFC 8259)
 * @param logLevel  the lowest level that is written: {@code info}, {@code warning} or {@code off}
 * @param watched   settings, by path, of a module whose decisions are only counted; empty: none is watched
 */
public record OperatorFile(String logFormat, String logLevel, Map<String, String> watched) {
    /** The settings that a watch may change, as the file names them. */
    private static final Map<String, String> FEES =
        Map.of("connection_fee", "Fees.Connection", "handshake_fee", "Fees.Handshake");

    /** Reads and checks it. */
    public static OperatorFile read(Path file) throws BadFile {
        Fields top = Fields.of(Doc.toml(file));
        Fields log = top.table("log");
        OperatorFile read = new OperatorFile(log.word("format", "text", "text", "json"),
            log.word("level", "info", "info", "warning", "off"), watched(top.table("watch")));
        top.end();
        return read;
    }

    private static Map<String, String> watched(Fields watch) {
        Map<String, String> settings = new TreeMap<>();
        if (watch.flag("on", false)) {
            settings.put("Workload", watch.word("workload", "mesh", "mesh", "chain", "proxy"));
            FEES.forEach((key, path) -> settings.put(path, Double.toString(watch.number(key, 0, 0, 1e6))));
        } else if (watch.has("workload") || FEES.keySet().stream().anyMatch(watch::has)) {
            watch.word("workload", "mesh", "mesh", "chain", "proxy");
            FEES.keySet().forEach(key -> watch.number(key, 0, 0, 1e6));
        }
        return settings;
    }
}

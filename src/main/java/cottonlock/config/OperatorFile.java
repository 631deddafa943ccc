package cottonlock.config;

import java.nio.file.Path;

/**
 * The operator's file: what the platform's configuration has no place for. {@code
 * deploy/operator.example.toml} has every key with its default, unit and range.
 *
 * @param logFormat {@code text}: a line with level and text; {@code json}: an object a line (RFC 8259)
 * @param logLevel  the lowest level that is written: {@code info}, {@code warning} or {@code off}
 */
public record OperatorFile(String logFormat, String logLevel) {

    /** Reads and checks it. */
    public static OperatorFile read(Path file) throws BadFile {
        Fields top = Fields.of(Doc.toml(file));
        Fields log = top.table("log");
        OperatorFile read = new OperatorFile(log.word("format", "text", "text", "json"),
            log.word("level", "info", "info", "warning", "off"));
        top.end();
        return read;
    }
}

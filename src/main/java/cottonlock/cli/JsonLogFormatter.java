package cottonlock.cli;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Formats each log record as one line with a JSON object. */
final class JsonLogFormatter extends Formatter {
    /** Keeps the logger reachable: one that is garbage-collected loses its level. */
    private static final Logger LOGGER = Logger.getLogger("cottonlock");

    /** Separates the kind of a message from its text. */
    private static final String KIND_SEPARATOR = ": ";

    private JsonLogFormatter() {}

    /**
     * Configures logging in this process with the values of the operator's file.
     *
     * @param format {@code json} for this formatter; with any other value Java's formatter stays
     * @param level {@code info}, {@code warning} or {@code off}
     */
    static void configureLogging(String format, String level) {
        LOGGER.setLevel(
                switch (level) {
                    case "warning" -> Level.WARNING;
                    case "off" -> Level.OFF;
                    default -> Level.INFO;
                });
        if (format.equals("json")) {
            for (Handler handler : LogManager.getLogManager().getLogger("").getHandlers()) {
                handler.setFormatter(new JsonLogFormatter());
            }
        }
    }

    /**
     * Returns a record as an object with {@code time}, {@code level}, {@code kind}, {@code text}.
     */
    @Override
    public String format(LogRecord logRecord) {
        String message = formatMessage(logRecord);
        int separator = message.indexOf(KIND_SEPARATOR);
        String kind = separator < 0 ? "" : message.substring(0, separator);
        String text =
                separator < 0 ? message : message.substring(separator + KIND_SEPARATOR.length());
        return "{\"time\":\""
                + logRecord.getInstant()
                + "\",\"level\":\""
                + logRecord.getLevel()
                + "\",\"kind\":\""
                + quoted(kind)
                + "\",\"text\":\""
                + quoted(text)
                + "\"}"
                + System.lineSeparator();
    }

    private static String quoted(String text) {
        return new String(JsonStringEncoder.getInstance().quoteAsString(text));
    }
}

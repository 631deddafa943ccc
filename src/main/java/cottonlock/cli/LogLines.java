package cottonlock.cli;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Sets how the lines of System.Logger are written, as the operator's file has it. */
final class LogLines extends Formatter {
    /** Kept: a logger that nobody holds forgets its level. */
    private static final Logger OURS = Logger.getLogger("cottonlock");

    private LogLines() {}

    /** Levels are those of the operator's file: info, warning, off. */
    static void install(String format, String level) {
        OURS.setLevel(
                switch (level) {
                    case "warning" -> Level.WARNING;
                    case "off" -> Level.OFF;
                    default -> Level.INFO;
                });
        if (format.equals("json")) {
            for (Handler handler : LogManager.getLogManager().getLogger("").getHandlers()) {
                handler.setFormatter(new LogLines());
            }
        }
    }

    @Override
    public String format(LogRecord line) {
        String message = formatMessage(line);
        int colon = message.indexOf(": ");
        String kind = colon < 0 ? "" : message.substring(0, colon);
        String text = colon < 0 ? message : message.substring(colon + 2);
        return "{\"time\":\""
                + line.getInstant()
                + "\",\"level\":\""
                + line.getLevel()
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

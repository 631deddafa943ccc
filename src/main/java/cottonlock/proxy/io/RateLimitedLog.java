package cottonlock.proxy.io;

import java.util.HashMap;
import java.util.Map;

/**
 * The proxy's log. Each line has a kind; lines of one kind beyond a limit are dropped, and the next
 * one that is logged says how many were. Safe for use by any thread.
 */
public final class RateLimitedLog {
    private static final long INTERVAL_NANOS = 1_000_000_000L;

    /** The limit for lines that are each of interest. */
    private static final int MAX_EACH_LINES_PER_INTERVAL = 40;

    /** What was logged of one kind; guarded by the map that holds it. */
    private static final class Window {
        /** When the last line was logged, or for each-lines the number of its interval. */
        private long start;

        private int logged;
        private long dropped;

        Window(long start) {
            this.start = start;
        }

        long takeDropped() {
            long taken = dropped;
            dropped = 0;
            return taken;
        }
    }

    private final System.Logger logger;

    /** Windows by kind, each map guarded by itself. */
    private final Map<String, Window> singleLineWindows = new HashMap<>();

    private final Map<String, Window> burstWindows = new HashMap<>();

    /** A log that writes to a logger. */
    public RateLimitedLog(System.Logger logger) {
        this.logger = logger;
    }

    /** Logs a warning: of each kind one line a second at most. */
    public void warn(String kind, String text) {
        logOnce(System.Logger.Level.WARNING, kind, text);
    }

    /** Logs an information: of each kind one line a second at most. */
    public void info(String kind, String text) {
        logOnce(System.Logger.Level.INFO, kind, text);
    }

    /** Logs a line whose kind is of interest line by line: up to 40 a second. */
    public void logEach(String kind, String text) {
        logEach(System.Logger.Level.INFO, kind, text);
    }

    /** The same at a level. */
    public void logEach(System.Logger.Level level, String kind, String text) {
        long dropped;
        synchronized (burstWindows) {
            long interval = System.nanoTime() / INTERVAL_NANOS;
            Window window = burstWindows.computeIfAbsent(kind, unused -> new Window(interval));
            if (window.start != interval) {
                window.start = interval;
                window.logged = 0;
            }
            if (window.logged >= MAX_EACH_LINES_PER_INTERVAL) {
                window.dropped++;
                return;
            }
            window.logged++;
            dropped = window.takeDropped();
        }
        write(level, kind, text, dropped);
    }

    private void logOnce(System.Logger.Level level, String kind, String text) {
        long dropped;
        synchronized (singleLineWindows) {
            long nowNanos = System.nanoTime();
            Window window =
                    singleLineWindows.computeIfAbsent(kind, unused -> new Window(nowNanos - INTERVAL_NANOS));
            if (nowNanos - window.start < INTERVAL_NANOS) {
                window.dropped++;
                return;
            }
            window.start = nowNanos;
            dropped = window.takeDropped();
        }
        write(level, kind, text, dropped);
    }

    private void write(System.Logger.Level level, String kind, String text, long dropped) {
        String suffix = dropped > 0 ? " (and " + dropped + " like it)" : "";
        logger.log(level, kind + ": " + text + suffix);
    }
}

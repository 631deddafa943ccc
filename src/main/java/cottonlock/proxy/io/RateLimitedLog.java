package cottonlock.proxy.io;

import java.util.HashMap;
import java.util.Map;

/**
 * The proxy's log. Each line has a kind; lines of one kind beyond a limit are dropped, and the next
 * line of that kind states how many were dropped. Safe for use by any thread.
 */
public final class RateLimitedLog {
    private static final long INTERVAL_NANOS = 1_000_000_000L;

    /** The limit of {@link #logEach} for one kind. */
    private static final int MAX_EACH_LINES_PER_INTERVAL = 40;

    /** The lines of one kind in the current interval; guarded by the map that holds it. */
    private static final class Window {
        /** When the last line was logged, in nanoseconds; for logEach, the interval's number. */
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

    /** For {@link #warn} and {@link #info}, by kind; guarded by itself. */
    private final Map<String, Window> singleLineWindows = new HashMap<>();

    /** For {@link #logEach}, by kind; guarded by itself. */
    private final Map<String, Window> burstWindows = new HashMap<>();

    /** A log that writes to a logger. */
    public RateLimitedLog(System.Logger logger) {
        this.logger = logger;
    }

    /** Logs a warning; at most one line a second of each kind. */
    public void warn(String kind, String text) {
        logOnce(System.Logger.Level.WARNING, kind, text);
    }

    /** Logs an informational line; at most one line a second of each kind. */
    public void info(String kind, String text) {
        logOnce(System.Logger.Level.INFO, kind, text);
    }

    /** Logs a line of a kind of which every line matters; at most 40 lines a second. */
    public void logEach(String kind, String text) {
        logEach(System.Logger.Level.INFO, kind, text);
    }

    /** Like {@link #logEach(String, String)}, at the given level. */
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
                    singleLineWindows.computeIfAbsent(
                            kind, unused -> new Window(nowNanos - INTERVAL_NANOS));
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

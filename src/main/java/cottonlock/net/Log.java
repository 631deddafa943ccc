package cottonlock.net;

import java.util.HashMap;
import java.util.Map;

/** Lines for whoever is on call: one of each kind a second at most, with how many were left out. */
final class Log {
    private static final long GAP = 1_000_000_000L;

    private final System.Logger logger;
    private final Map<String, long[]> kinds = new HashMap<>();

    Log(System.Logger logger) {
        this.logger = logger;
    }

    void warn(String kind, String text) {
        say(System.Logger.Level.WARNING, kind, text);
    }

    void info(String kind, String text) {
        say(System.Logger.Level.INFO, kind, text);
    }

    private void say(System.Logger.Level level, String kind, String text) {
        long leftOut;
        synchronized (kinds) {
            long now = System.nanoTime();
            long[] last = kinds.computeIfAbsent(kind, k -> new long[] {now - GAP, 0});
            if (now - last[0] < GAP) {
                last[1]++;
                return;
            }
            leftOut = last[1];
            last[0] = now;
            last[1] = 0;
        }
        logger.log(level, kind + ": " + text + (leftOut > 0 ? " (and " + leftOut + " like it)" : ""));
    }
}

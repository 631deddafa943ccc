package cottonlock.proxy.io;

import java.util.HashMap;
import java.util.Map;

/** Lines for whoever is on call: one of each kind a second at most, with how many were left out. */
public final class RateLimitedLog {
    private static final long GAP = 1_000_000_000L;

    /** Lines a second of what is told each by each: more than a fleet in a storm can be read at. */
    private static final int EACH = 40;

    private final System.Logger logger;
    private final Map<String, long[]> kinds = new HashMap<>();

    public RateLimitedLog(System.Logger logger) {
        this.logger = logger;
    }

    public void warn(String kind, String text) {
        say(System.Logger.Level.WARNING, kind, text);
    }

    public void info(String kind, String text) {
        say(System.Logger.Level.INFO, kind, text);
    }

    /** For what must be told one by one, as far as anybody can read it. */
    public void each(String kind, String text) {
        each(System.Logger.Level.INFO, kind, text);
    }

    /** The same at a level. */
    public void each(System.Logger.Level level, String kind, String text) {
        long leftOut;
        synchronized (kinds) {
            long second = System.nanoTime() / GAP;
            long[] told = kinds.computeIfAbsent(kind, k -> new long[3]);
            if (told[0] == second && told[2] >= EACH) {
                told[1]++;
                return;
            }
            leftOut = told[1];
            told[2] = told[0] == second ? told[2] + 1 : 1;
            told[0] = second;
            told[1] = 0;
        }
        logger.log(level, kind + ": " + text + left(leftOut));
    }

    private static String left(long out) {
        return out > 0 ? " (and " + out + " like it)" : "";
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
        logger.log(level, kind + ": " + text + left(leftOut));
    }
}

package cottonlock;

import java.util.logging.LogManager;
import java.util.logging.Logger;

/**
 * Java's log manager, with the log kept open while the process shuts down.
 *
 * <p>Java's own shutdown hook closes the log as soon as the shutdown begins, beside the hook that
 * drains the proxy: what the drain logs would be lost. Java creates the manager itself, by the name
 * that {@link Main} sets before anything is logged.
 */
public final class ServiceLogManager extends LogManager {
    private static volatile boolean inService;

    /** From now on the log stays open until the process ends. */
    static void keepOpen() {
        inService = true;
        // Opened here if nothing has been logged yet: during the shutdown Java opens none.
        Logger.getLogger("").getHandlers();
    }

    /** Closes the log, except in service. */
    @Override
    public void reset() {
        if (!inService) {
            super.reset();
        }
    }
}

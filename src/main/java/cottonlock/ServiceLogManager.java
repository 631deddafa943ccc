package cottonlock;

import java.util.logging.LogManager;
import java.util.logging.Logger;

/**
 * Java's log manager, with the log kept open while the process shuts down.
 *
 * <p>Java's own shutdown hook closes the log as soon as the shutdown begins, concurrently with the
 * hook that drains the proxy, so that messages of the drain would be lost. Java creates the manager
 * itself, by the class name that {@link Main} sets before anything is logged.
 */
public final class ServiceLogManager extends LogManager {
    private static volatile boolean inService;

    /** Keeps the log open from now on until the process ends. */
    static void keepOpen() {
        inService = true;
        // Opens the log if nothing has been logged yet: Java does not open it during the shutdown.
        Logger.getLogger("").getHandlers();
    }

    /** Closes the log, unless {@link #keepOpen} has been called. */
    @Override
    public void reset() {
        if (!inService) {
            super.reset();
        }
    }
}

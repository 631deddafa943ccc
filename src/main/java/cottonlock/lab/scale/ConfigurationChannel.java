package cottonlock.lab.scale;

import java.io.IOException;
import java.util.Map;

/**
 * A way by which a change of configuration comes to proxies, and what is known of where it is in
 * force.
 */
interface ConfigurationChannel {
    /** Its name in reports. */
    String name();

    /** Sends a change, of that number from 1 on, to all that it reaches. */
    void send(long number) throws IOException;

    /**
     * By proxy, when the change of that number was in force first ({@link System#nanoTime}, which
     * all processes of a machine share); -1: it is not.
     */
    Map<Integer, Long> inForceAt(long number);
}

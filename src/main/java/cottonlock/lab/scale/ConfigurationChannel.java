package cottonlock.lab.scale;

import java.io.IOException;
import java.util.Map;

/** Sends configuration changes to proxies and reports where they are in force. */
interface ConfigurationChannel {
    /** Returns the name of the channel in reports. */
    String name();

    /**
     * Sends the change with this number, counted from 1, to all proxies that the channel reaches.
     */
    void send(long number) throws IOException;

    /**
     * Returns, by proxy, when the change was first in force ({@link System#nanoTime}, which all
     * processes of a machine share); -1 if it is not.
     */
    Map<Integer, Long> inForceAt(long number);
}

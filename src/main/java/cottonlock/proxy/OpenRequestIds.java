package cottonlock.proxy;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The ids of the requests that are owed a response or may still be executed: backends identify a
 * request by its id, so a second one with the same id would be executed as well, or be answered
 * with the response to the first. Thread-safe.
 */
final class OpenRequestIds {
    private final Set<String> ids = ConcurrentHashMap.newKeySet();

    /** Adds an id; false if it is open. */
    boolean add(String id) {
        return ids.add(id);
    }

    /** Removes an id that has been added. */
    void remove(String id) {
        ids.remove(id);
    }
}

package cottonlock.proxy;

import cottonlock.proxy.control.SharedIdTable;
import java.util.HashMap;
import java.util.Map;

/**
 * The ids of the requests that are owed a response or may still be executed: backends identify a
 * request by its id, so a second one with the same id would be executed as well, or be answered
 * with the response to the first. Where several processes of a proxy run, an id that is open at one
 * of them is open at all. Thread-safe.
 */
final class OpenRequestIds {
    /** Null: no other process is known to serve the same clients. */
    private final SharedIdTable shared;

    /** The slot in the shared table of each id that is open in this process. */
    private final Map<String, Integer> slots = new HashMap<>();

    /** Ids of this process alone. */
    OpenRequestIds() {
        this(null);
    }

    OpenRequestIds(SharedIdTable shared) {
        this.shared = shared;
    }

    /** Adds an id; false if it is open. */
    synchronized boolean add(String id) {
        if (slots.containsKey(id)) {
            return false;
        }
        if (shared == null) {
            slots.put(id, SharedIdTable.NO_SLOT);
            return true;
        }
        int slot = shared.add(id);
        if (shared.isInOtherProcess(id)) {
            shared.remove(slot);
            return false;
        }
        slots.put(id, slot);
        return true;
    }

    /** Removes an id that has been added. */
    synchronized void remove(String id) {
        Integer slot = slots.remove(id);
        if (shared != null && slot != null) {
            shared.remove(slot);
        }
    }
}

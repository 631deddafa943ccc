package cottonlock.proxy.discovery;

import cottonlock.decision.api.Endpoint;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Finds backends whose address now belongs to a process that started later, under another id:
 * whatever is sent to them would reach the new process, which may be in another zone and know none
 * of their idempotency keys. Such a backend counts as draining until the list gives it another
 * address or start, whatever state the list says. Used by one thread.
 */
public final class AddressConflicts {
    /** The entries of the list, by id. */
    private final Map<String, EndpointList.Entry> listed = new HashMap<>();

    /** The id of the backend that started last at an address. */
    private final Map<InetSocketAddress, String> latestIds = new HashMap<>();

    /** The backends that have a successor, as they were listed then. */
    private final Map<String, EndpointList.Entry> superseded = new HashMap<>();

    /** The message with the state of backends that have a successor; also of ones it lacks. */
    public EndpointList resolve(EndpointList message) {
        if (message.complete()) {
            listed.clear();
            latestIds.clear();
        }
        Set<String> named = new TreeSet<>();
        Set<String> found = new TreeSet<>();
        for (EndpointList.Entry entry : message.entries()) {
            named.add(entry.endpoint().id());
            update(entry, found);
        }
        if (message.complete()) {
            superseded.keySet().retainAll(listed.keySet());
        }
        if (superseded.isEmpty()) {
            return message;
        }
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (EndpointList.Entry entry : message.entries()) {
            boolean drains = superseded.containsKey(entry.endpoint().id());
            entries.add(drains ? draining(entry) : entry);
        }
        found.removeAll(named);
        found.forEach(id -> entries.add(draining(listed.get(id))));
        return new EndpointList(message.version(), message.complete(), entries);
    }

    /**
     * Takes an entry in.
     *
     * @param found receives the ids of backends that are found to have a successor
     */
    private void update(EndpointList.Entry entry, Set<String> found) {
        String id = entry.endpoint().id();
        EndpointList.Entry before = listed.remove(id);
        if (before != null) {
            latestIds.remove(before.address(), id);
        }
        EndpointList.Entry former = superseded.get(id);
        if (former != null && !isSameProcess(former, entry)) {
            superseded.remove(id);
        }
        if (entry.endpoint().state() == Endpoint.State.GONE || entry.address() == null) {
            return;
        }
        listed.put(id, entry);
        String otherId = latestIds.putIfAbsent(entry.address(), id);
        EndpointList.Entry other = otherId == null ? null : listed.get(otherId);
        if (other == null) {
            latestIds.put(entry.address(), id);
        } else if (startedAt(other) < startedAt(entry)) {
            latestIds.put(entry.address(), id);
            superseded.put(otherId, other);
            found.add(otherId);
        } else if (startedAt(entry) < startedAt(other)) {
            superseded.put(id, entry);
        }
    }

    private static boolean isSameProcess(EndpointList.Entry one, EndpointList.Entry other) {
        return startedAt(one) == startedAt(other)
                && (other.address() == null || one.address().equals(other.address()))
                && other.endpoint().state() != Endpoint.State.GONE;
    }

    private static long startedAt(EndpointList.Entry entry) {
        return entry.endpoint().startedAtTicks();
    }

    private static EndpointList.Entry draining(EndpointList.Entry entry) {
        Endpoint endpoint = entry.endpoint();
        if (endpoint.state() != Endpoint.State.READY) {
            return entry;
        }
        return new EndpointList.Entry(
                new Endpoint(
                        endpoint.id(),
                        endpoint.zone(),
                        endpoint.machineKind(),
                        endpoint.cell(),
                        Endpoint.State.DRAINING,
                        endpoint.capacityWeight(),
                        endpoint.startedAtTicks()),
                entry.address());
    }
}

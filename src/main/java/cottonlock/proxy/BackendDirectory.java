package cottonlock.proxy;

import cottonlock.decision.api.Endpoint;
import cottonlock.proxy.control.ManualEjections;
import cottonlock.proxy.discovery.AddressConflicts;
import cottonlock.proxy.discovery.EndpointList;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * The backends that discovery names, each with its actor, and what the operators have ejected of
 * them. Owned by the load balancer's thread, except {@link #isListed} and {@link #listedCount}.
 */
final class BackendDirectory {
    private static final int NOT_COUNTED = -1;

    private final Function<EndpointList.Entry, BackendActor> actorFactory;
    private final ManualEjections manualEjections;
    private final AddressConflicts addressConflicts = new AddressConflicts();

    /** The backends in the endpoint list as discovery reported them. */
    private final Map<String, Endpoint> listedEndpoints = new TreeMap<>();

    /** The ids of these backends, for other threads; replaced as a whole by a complete list. */
    private volatile Set<String> listedIds = ConcurrentHashMap.newKeySet();

    /** The backends in the list that drain or were ejected; negative while it is not counted. */
    private int unavailableCount = NOT_COUNTED;

    private final Map<String, BackendActor> actors = new TreeMap<>();

    /** Backends that have left the list and may have to be retired. */
    private final Set<String> unlistedIds = new TreeSet<>();

    BackendDirectory(
            Function<EndpointList.Entry, BackendActor> actorFactory,
            ManualEjections manualEjections) {
        this.actorFactory = actorFactory;
        this.manualEjections = manualEjections;
    }

    /**
     * Takes in a message of discovery; {@link #retireUnlisted} completes it.
     *
     * @return the backends that it names, as the load balancer is to treat them
     */
    List<Endpoint> update(EndpointList message) {
        EndpointList list = addressConflicts.resolve(message);
        List<Endpoint> endpoints = new ArrayList<>();
        if (list.complete()) {
            unlistedIds.addAll(actors.keySet());
            listedEndpoints.clear();
        }
        for (EndpointList.Entry entry : list.entries()) {
            endpoints.add(manualEjections.effective(entry.endpoint()));
            if (entry.endpoint().state() == Endpoint.State.GONE) {
                removeListed(entry.endpoint().id());
            } else {
                updateListed(entry);
            }
        }
        if (list.complete()) {
            Set<String> ids = ConcurrentHashMap.newKeySet();
            ids.addAll(listedEndpoints.keySet());
            listedIds = ids;
        } else {
            updateListedIds(list);
        }
        unavailableCount = NOT_COUNTED;
        return endpoints;
    }

    private void updateListedIds(EndpointList changes) {
        for (EndpointList.Entry entry : changes.entries()) {
            String id = entry.endpoint().id();
            if (listedEndpoints.containsKey(id)) {
                listedIds.add(id);
            } else {
                listedIds.remove(id);
            }
        }
    }

    private void removeListed(String id) {
        listedEndpoints.remove(id);
        unlistedIds.add(id);
    }

    private void updateListed(EndpointList.Entry entry) {
        String id = entry.endpoint().id();
        listedEndpoints.put(id, entry.endpoint());
        unlistedIds.remove(id);
        BackendActor actor = actors.get(id);
        if (actor == null && entry.address() != null) {
            actors.put(id, actorFactory.apply(entry));
        } else if (entry.address() != null) {
            actor.addressChanged(entry.address());
        }
        updateReadiness(entry.endpoint());
    }

    /**
     * Updates whether the backend's connections may send: an attempt on its way to one must not go
     * out after the backend began to drain or was ejected manually.
     */
    private void updateReadiness(Endpoint endpoint) {
        BackendActor actor = actors.get(endpoint.id());
        if (actor != null) {
            actor.setReady(manualEjections.effective(endpoint).state() == Endpoint.State.READY);
        }
    }

    /**
     * Takes in that backends were ejected or restored manually.
     *
     * @return all backends in the list, as the load balancer is to treat them
     */
    List<Endpoint> updateEjections() {
        unavailableCount = NOT_COUNTED;
        List<Endpoint> endpoints = new ArrayList<>();
        for (Endpoint endpoint : listedEndpoints.values()) {
            endpoints.add(manualEjections.effective(endpoint));
            updateReadiness(endpoint);
            if (isEjected(endpoint.id()) && actors.containsKey(endpoint.id())) {
                // It is about to be restarted: its idle connections would break as soon as they
                // are used again.
                actors.get(endpoint.id()).closeIdleConnections();
            }
        }
        return endpoints;
    }

    /**
     * Removes backends that have left the list, except those that the load balancer may still use:
     * where removals from the list are not binding, it may use a backend for some time after its
     * removal.
     */
    void retireUnlisted(Predicate<String> mayUse) {
        unlistedIds.removeIf(
                id -> {
                    BackendActor actor = mayUse.test(id) ? null : actors.remove(id);
                    if (actor != null) {
                        actor.removedFromList();
                    }
                    return !mayUse.test(id);
                });
    }

    /** The actor of a backend; null if there is none. */
    BackendActor actor(String id) {
        return actors.get(id);
    }

    /** Whether the endpoint list contains a backend with this id; safe for use by any thread. */
    boolean isListed(String id) {
        return listedIds.contains(id);
    }

    /** Whether a backend was ejected manually. */
    boolean isEjected(String id) {
        return manualEjections.isEjected(id);
    }

    /** The number of backends in the list; safe for use by any thread. */
    int listedCount() {
        return listedIds.size();
    }

    /** The number of backends in the list that drain or were ejected manually. */
    int unavailableCount() {
        if (unavailableCount == NOT_COUNTED) {
            unavailableCount =
                    (int)
                            listedEndpoints.values().stream()
                                    .map(manualEjections::effective)
                                    .filter(endpoint -> endpoint.state() != Endpoint.State.READY)
                                    .count();
        }
        return unavailableCount;
    }
}

package cottonlock.decision.backend;

import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.Tenant;
import cottonlock.decision.lane.LaneAssignment;
import cottonlock.decision.lane.RendezvousHash;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * The backends that accept new requests, and their lanes. Each list is in this load balancer's
 * order of preference, which differs between load balancers: where only a few backends of a list
 * are used, load balancers use different ones. Owned by the load balancer's thread.
 *
 * <p>The lists are made when they are next needed: while a large fleet is replaced, hundreds of
 * changes a second arrive, far more than there are decisions.
 */
final class ReadyBackends {
    private final List<Tenant> tenants;
    private final Comparator<Backend> preference;
    private final Collection<Backend> known;
    private boolean stale;
    private List<Backend> all = List.of();
    private LaneAssignment<Backend> lanes = new LaneAssignment<>(List.of(), List.of());

    /**
     * Lists of the ready ones among these backends.
     *
     * @param known the backends, in the order of their ids; a view that follows changes
     */
    ReadyBackends(List<Tenant> tenants, DeploymentTopology topology, Collection<Backend> known) {
        this.tenants = tenants;
        this.known = known;
        this.preference = preference(topology);
    }

    /**
     * By id where idle connections cost nothing; otherwise by weighted rendezvous hash, so that a
     * larger backend is the first choice of more load balancers.
     */
    private static Comparator<Backend> preference(DeploymentTopology topology) {
        if (topology.connectionBreakEvenTicks() <= 0) {
            return Comparator.comparing(Backend::id);
        }
        // Negative numbers keep these hashes distinct from those of tenants.
        int hashNumber = -1 - topology.ownIndex();
        return Comparator.comparingDouble(
                backend ->
                        -Math.log(RendezvousHash.fractionOf(hashNumber, backend.id()))
                                / backend.capacityWeight());
    }

    /** Handles that backends have come, changed or begun to leave. */
    void onChange() {
        stale = true;
    }

    /** Makes the lists anew after a change. */
    void refreshIfStale() {
        if (!stale) {
            return;
        }
        stale = false;
        List<Backend> ready = known.stream().filter(backend -> !backend.isLeaving()).toList();
        lanes = LaneAssignment.assign(tenants, ready, Backend::id);
        for (int tenant = 0; tenant < tenants.size(); tenant++) {
            sortLane(lanes.lanes().get(tenant), tenant);
        }
        sortLane(lanes.unassigned(), tenants.size());
        all = ready.stream().sorted(preference).toList();
    }

    private void sortLane(List<Backend> lane, int laneIndex) {
        lane.sort(preference);
        lane.forEach(backend -> backend.laneIndex = laneIndex);
    }

    List<Backend> all() {
        refreshIfStale();
        return all;
    }

    int count() {
        return all().size();
    }

    /** The lane of a tenant; the backends in no lane for a tenant without one. */
    List<Backend> lane(int tenant) {
        refreshIfStale();
        return tenant < lanes.lanes().size() ? lanes.lanes().get(tenant) : lanes.unassigned();
    }

    List<Backend> unassigned() {
        refreshIfStale();
        return lanes.unassigned();
    }
}

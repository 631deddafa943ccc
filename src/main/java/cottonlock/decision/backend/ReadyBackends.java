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
 */
final class ReadyBackends {
    private final List<Tenant> tenants;
    private final Comparator<Backend> preference;
    private List<Backend> all = List.of();
    private LaneAssignment<Backend> lanes = new LaneAssignment<>(List.of(), List.of());

    ReadyBackends(List<Tenant> tenants, DeploymentTopology topology) {
        this.tenants = tenants;
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

    /**
     * Rebuilds the lists from the ready ones of these backends, which must be in the order of their
     * ids.
     */
    void refresh(Collection<Backend> known) {
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
        return all;
    }

    int count() {
        return all.size();
    }

    /** The lane of a tenant; the backends in no lane for a tenant without one. */
    List<Backend> lane(int tenant) {
        return tenant < lanes.lanes().size() ? lanes.lanes().get(tenant) : lanes.unassigned();
    }

    List<Backend> unassigned() {
        return lanes.unassigned();
    }
}

package cottonlock.decision.backend;

import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.RequestClass;
import cottonlock.decision.api.RequestClass.Idempotency;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides which backends a request may be sent to now, and how much load each can take. Owned by
 * the load balancer's thread.
 */
public final class BackendEligibility {
    /** No backend has a lower effective capacity. */
    private static final double MIN_CAPACITY = 1e-3;

    private final DeploymentTopology topology;
    private final ReadyBackends ready;
    private final LoadTracker load;
    private final SlowStart slowStart;
    private final OutlierDetector outliers;

    BackendEligibility(
            DeploymentTopology topology,
            ReadyBackends ready,
            LoadTracker load,
            SlowStart slowStart,
            OutlierDetector outliers) {
        this.topology = topology;
        this.ready = ready;
        this.load = load;
        this.slowStart = slowStart;
        this.outliers = outliers;
    }

    /**
     * The capacity of a backend relative to others, from the endpoint list, its warm-up and the
     * speed of its kind of machine; above 0.
     */
    public double effectiveCapacity(Backend backend, long nowTicks) {
        return Math.max(
                MIN_CAPACITY,
                backend.capacityWeight()
                        * slowStart.warmUpFraction(backend, nowTicks)
                        * backend.relativeSpeed);
    }

    /**
     * The backends of a list that a request may be sent to now, in the order of the list. Where
     * idle connections cost something, only the first ones: one more than its tenant has attempts
     * in flight.
     *
     * @param maxInFlightPerCapacity the load, in attempts in flight per effective capacity, up to
     *     which a backend is eligible
     * @param spareInFlight attempts in flight that each backend may have beyond that
     */
    public List<Backend> eligible(
            List<Backend> backends,
            BackendRequest request,
            double maxInFlightPerCapacity,
            double spareInFlight,
            long nowTicks) {
        int limit =
                topology.connectionBreakEvenTicks() <= 0
                        ? backends.size()
                        : 1 + load.inFlight(request.tenant());
        List<Backend> eligible = new ArrayList<>(backends.size());
        for (Backend backend : backends) {
            if (eligible.size() >= limit) {
                break;
            }
            double maxInFlight =
                    spareInFlight + maxInFlightPerCapacity * effectiveCapacity(backend, nowTicks);
            // The last two draw random numbers, so the order of the conditions matters.
            if (backend.inFlight <= maxInFlight
                    && !request.hasTried(backend)
                    && mayExecute(backend, request, nowTicks)
                    && slowStart.admits(backend, nowTicks)
                    && outliers.isTrusted(backend, nowTicks)) {
                eligible.add(backend);
            }
        }
        return eligible;
    }

    /**
     * Whether a backend may execute a request that another may already have executed: its class
     * permits it, or both recognise its idempotency key.
     */
    private static boolean mayExecute(Backend backend, BackendRequest request, long nowTicks) {
        Backend executor = request.firstPossibleExecutor();
        if (executor == null) {
            return true;
        }
        RequestClass requestClass = request.requestClass();
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case WITH_KEY ->
                    nowTicks < request.sendByTicks()
                            && requestClass
                                    .deduplicationScope()
                                    .covers(executor.endpoint, backend.endpoint);
            case NOT_IDEMPOTENT -> false;
        };
    }

    /**
     * The backends without attempts in flight if every ready backend is suspected, as one of them
     * may be healthy; otherwise none. Only for idempotent requests, whose failure costs least.
     */
    public List<Backend> candidatesIfAllSuspected(BackendRequest request, long nowTicks) {
        boolean idempotent = request.requestClass().idempotency() == Idempotency.IDEMPOTENT;
        if (!idempotent || ready.all().stream().anyMatch(b -> !outliers.isSuspected(b, nowTicks))) {
            return List.of();
        }
        return ready.all().stream()
                .filter(backend -> backend.inFlight == 0)
                .filter(backend -> !request.hasTried(backend))
                .filter(backend -> slowStart.admits(backend, nowTicks))
                .toList();
    }
}

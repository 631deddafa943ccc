package cottonlock.decision.backend;

import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.RequestClass;
import cottonlock.decision.api.RequestClass.Idempotency;
import java.util.ArrayList;
import java.util.List;

/**
 * Which backends a request may be sent to now, and how much each can take. Owned by the load
 * balancer's thread.
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
     * The capacity of a backend against others': by the endpoint list, its warm-up and how fast its
     * kind of machine answers. Above 0.
     */
    public double effectiveCapacity(Backend backend, long nowTicks) {
        return Math.max(
                MIN_CAPACITY,
                backend.capacityWeight()
                        * slowStart.warmUpFraction(backend, nowTicks)
                        * backend.relativeSpeed);
    }

    /**
     * The first of these backends that a request may be sent to now, in their order. Where
     * connections are expensive, one more than its tenant has attempts in flight; else all.
     *
     * @param maxInFlightPerCapacity the load, in attempts in flight per effective capacity, up to
     *     which a backend is taken
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
            // The last two draw at random, so the order of the conditions matters.
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
     * Whether a backend may execute a request that another may have executed already: by its class,
     * or as both recognise its idempotency key.
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
     * Where every ready backend is under suspicion, those with nothing in flight: one of them may
     * be sound. Only for idempotent requests, of which a failure costs least.
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

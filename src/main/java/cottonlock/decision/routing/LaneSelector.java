package cottonlock.decision.routing;

import cottonlock.decision.admission.AdmissionController;
import cottonlock.decision.api.RejectionReason;
import cottonlock.decision.backend.Backend;
import cottonlock.decision.backend.BackendRegistry;
import cottonlock.decision.request.Request;
import cottonlock.decision.request.RequestStage;
import java.util.List;

/**
 * Chooses the group of backends that a request may go to: its tenant's lane; the backends in no
 * lane if the lane has no eligible backend; all backends if those have none either. A request that
 * spills over from a crowded lane skips the lane and gets the backends of uncrowded lanes instead
 * of all. Owned by the load balancer's thread.
 */
public final class LaneSelector implements RequestStage {
    /** The multiple of the mean load above which a backend is not eligible. */
    private static final double MAX_RELATIVE_LOAD = 1.25;

    /** The multiple of the mean attempt time above which requests spill over from a lane. */
    private static final double MAX_RELATIVE_ATTEMPT_TIME = 1.25;

    /** The same where the load balancers carry very different load. */
    private static final double MAX_RELATIVE_ATTEMPT_TIME_UNEQUAL_LOAD = 1.1;

    private final AdmissionController admission;
    private final BackendRegistry registry;

    /** Assigned once, before the first request. */
    private RequestStage next;

    /** A selector of lanes as the registry assigns them. */
    public LaneSelector(AdmissionController admission, BackendRegistry registry) {
        this.admission = admission;
        this.registry = registry;
    }

    /** Connects the stage that follows; called once, before the first request. */
    public void connect(RequestStage nextStage) {
        next = nextStage;
    }

    /**
     * Sets the request's candidates to the eligible backends, or returns the request if there are
     * none.
     */
    @Override
    public void process(Request request, long nowTicks) {
        request.setCandidates(candidates(request, nowTicks));
        if (request.candidates().isEmpty()) {
            request.setRejectionReason(RejectionReason.NO_BACKEND);
            admission.onRequestReturned(request, nowTicks);
        } else {
            next.process(request, nowTicks);
        }
    }

    private List<Backend> candidates(Request request, long nowTicks) {
        double maxInFlightPerCapacity = maxInFlightPerCapacity(nowTicks);
        double spareRequests = admission.isUnderPressure(nowTicks) ? 0 : 1;
        boolean crowded =
                registry.laneLoad().isCrowded(request.tenant(), maxRelativeAttemptTime(), nowTicks);
        List<Backend> usable = List.of();
        if (!crowded) {
            List<Backend> lane = registry.lane(request.tenant());
            usable =
                    registry.eligibility()
                            .eligible(
                                    lane, request, maxInFlightPerCapacity, spareRequests, nowTicks);
        }
        List<Backend> spillOverBackends =
                crowded ? registry.laneLoad().backendsOfUncrowdedLanes(nowTicks) : registry.ready();
        for (List<Backend> group : List.of(registry.unassigned(), spillOverBackends)) {
            if (usable.isEmpty()) {
                usable =
                        registry.eligibility()
                                .eligible(
                                        group,
                                        request,
                                        maxInFlightPerCapacity,
                                        spareRequests,
                                        nowTicks);
            }
        }
        return usable.isEmpty()
                ? registry.eligibility().candidatesIfAllSuspected(request, nowTicks)
                : usable;
    }

    private double maxInFlightPerCapacity(long nowTicks) {
        double inFlight = registry.ready().stream().mapToInt(Backend::inFlight).sum();
        double totalCapacity =
                registry.ready().stream()
                        .mapToDouble(b -> registry.eligibility().effectiveCapacity(b, nowTicks))
                        .sum();
        return MAX_RELATIVE_LOAD * inFlight / totalCapacity;
    }

    private double maxRelativeAttemptTime() {
        return registry.topology().evenlyLoaded()
                ? MAX_RELATIVE_ATTEMPT_TIME
                : MAX_RELATIVE_ATTEMPT_TIME_UNEQUAL_LOAD;
    }
}

package cottonlock.decision;

import cottonlock.decision.api.RejectionReason;
import cottonlock.decision.backend.Backend;
import cottonlock.decision.backend.BackendRegistry;
import java.util.List;

/** The design: the tenant's own lane; the public part or all backends when none of it is usable. */
public final class LaneSelector extends RequestStage {
    /**
     * How far above the mean is far: low enough to keep one backend from filling while others idle.
     */
    private static final double FAR = 1.25;

    /**
     * How much longer than usual work may stay in a lane of unlike balancers; at 1.25 some choke.
     */
    private static final double CROWD = 1.1;

    private final AdmissionController line;
    private final BackendRegistry fleet;

    public LaneSelector(AdmissionController line, BackendRegistry fleet) {
        this.line = line;
        this.fleet = fleet;
    }

    @Override
    void take(Request req, long now) {
        double out = fleet.ready().stream().mapToInt(Backend::inFlight).sum();
        double far =
                FAR
                        * out
                        / fleet.ready().stream()
                                .mapToDouble(b -> fleet.eligibility().effectiveCapacity(b, now))
                                .sum();
        double spare = line.pressed(now) ? 0 : 1;
        boolean crowded =
                fleet.laneLoad()
                        .isCrowded(req.tenant, fleet.topology().evenlyLoaded() ? FAR : CROWD, now);
        req.candidates =
                crowded
                        ? List.of()
                        : fleet.eligibility()
                                .eligible(fleet.lane(req.tenant), req, far, spare, now);
        for (List<Backend> part :
                List.of(
                        fleet.unassigned(),
                        crowded ? fleet.laneLoad().backendsOfUncrowdedLanes(now) : fleet.ready())) {
            if (req.candidates.isEmpty()) {
                req.candidates = fleet.eligibility().eligible(part, req, far, spare, now);
            }
        }
        if (req.candidates.isEmpty()) {
            req.candidates = fleet.eligibility().whereAllAreSuspected(req, now);
        }
        if (req.candidates.isEmpty()) {
            req.rejectionReason = RejectionReason.NO_BACKEND;
            before.back(req, now);
        } else {
            after.take(req, now);
        }
    }
}

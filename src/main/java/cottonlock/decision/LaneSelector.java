package cottonlock.decision;

import cottonlock.decision.api.RejectionReason;
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
        double out = fleet.ready.stream().mapToInt(b -> b.out).sum();
        double far = FAR * out / fleet.ready.stream().mapToDouble(b -> fleet.size(b, now)).sum();
        double spare = line.pressed(now) ? 0 : 1;
        boolean crowded = fleet.crowded(req.tenant, fleet.shape.evenlyLoaded() ? FAR : CROWD, now);
        req.candidates =
                crowded ? List.of() : fleet.usable(fleet.lane(req.tenant), req, far, spare, now);
        for (List<Backend> part : List.of(fleet.open, crowded ? fleet.calm(now) : fleet.ready)) {
            if (req.candidates.isEmpty()) {
                req.candidates = fleet.usable(part, req, far, spare, now);
            }
        }
        if (req.candidates.isEmpty()) {
            req.candidates = fleet.lastResort(req, now);
        }
        if (req.candidates.isEmpty()) {
            req.rejectionReason = RejectionReason.NO_BACKEND;
            before.back(req, now);
        } else {
            after.take(req, now);
        }
    }
}

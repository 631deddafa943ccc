package cottonlock.decision;

import cottonlock.decision.backend.Backend;
import cottonlock.decision.backend.BackendRegistry;
import java.util.List;
import java.util.SplittableRandom;

/** A random pick among the candidates, the larger the likelier. */
public final class BackendPicker extends RequestStage {
    private final BackendRegistry fleet;
    private final SplittableRandom random;

    public BackendPicker(BackendRegistry fleet, SplittableRandom random) {
        this.fleet = fleet;
        this.random = random;
    }

    @Override
    void take(Request req, long now) {
        double sum = 0;
        Backend choice = null;
        for (Backend b : req.candidates) {
            double size = fleet.eligibility().effectiveCapacity(b, now);
            sum += size;
            if (random.nextDouble() * sum < size) {
                choice = b;
            }
        }
        req.candidates = List.of(choice);
        after.take(req, now);
    }
}

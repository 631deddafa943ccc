package cottonlock.decision.routing;

import cottonlock.decision.backend.Backend;
import cottonlock.decision.backend.BackendRegistry;
import cottonlock.decision.request.Request;
import cottonlock.decision.request.RequestStage;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Picks one of the candidates at random, weighted by their effective capacity. Owned by the load
 * balancer's thread.
 */
public final class BackendPicker implements RequestStage {
    private final BackendRegistry registry;
    private final SplittableRandom random;

    /** Assigned once, before the first request. */
    private RequestStage next;

    /** A picker with this source of randomness. */
    public BackendPicker(BackendRegistry registry, SplittableRandom random) {
        this.registry = registry;
        this.random = random;
    }

    /** Connects the stage that follows; called once, before the first request. */
    public void connect(RequestStage nextStage) {
        next = nextStage;
    }

    /** Reduces the request's candidates, of which there must be at least one, to the chosen one. */
    @Override
    public void process(Request request, long nowTicks) {
        double totalCapacity = 0;
        Backend chosen = null;
        for (Backend backend : request.candidates()) {
            double capacity = registry.eligibility().effectiveCapacity(backend, nowTicks);
            totalCapacity += capacity;
            if (random.nextDouble() * totalCapacity < capacity) {
                chosen = backend;
            }
        }
        request.setCandidates(List.of(chosen));
        next.process(request, nowTicks);
    }
}

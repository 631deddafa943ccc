package cottonlock.decision;

import static java.nio.charset.StandardCharsets.UTF_8;

import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.Endpoint;
import cottonlock.decision.api.RequestClass;
import cottonlock.decision.api.RequestClass.DeduplicationScope;
import cottonlock.decision.api.RequestClass.Idempotency;
import cottonlock.decision.api.Tenant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Random events from a seed; the host checks four invariants after every step. */
class RulesTest {

    @Property(seed = "20261201", tries = 150)
    void invariantsHoldUnderRandomEvents(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 9) int tenantCount,
            @ForAll @IntRange(min = 0, max = 14) int backends,
            @ForAll boolean firstTier,
            @ForAll boolean endpointListPolled,
            @ForAll boolean cancellationAllowed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<RequestClass> requestClasses = new ArrayList<>();
        for (Idempotency idempotency : Idempotency.values()) {
            for (DeduplicationScope scope : DeduplicationScope.values()) {
                requestClasses.add(
                        InvariantCheckingHost.requestClass(
                                requestClasses.size(), idempotency, scope));
            }
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int t = 0; t < tenantCount; t++) {
            tenants.add(new Tenant(random.nextInt(4) / 4.0, random.nextInt(40)));
        }
        DeploymentTopology topology =
                new DeploymentTopology(
                        1 + random.nextInt(60),
                        random.nextInt(9),
                        random.nextBoolean(),
                        random.nextInt(2) * 50L,
                        true,
                        endpointListPolled,
                        100_000,
                        true,
                        random.nextInt(2) * 50_000L);
        InvariantCheckingHost host =
                new InvariantCheckingHost(
                        requestClasses, tenants, seed, firstTier, cancellationAllowed, topology);
        host.nowTicks = random.nextInt(100_000);
        host.updateEndpoints(InvariantCheckingHost.ready(0, backends), true, true);
        for (int step = 0; step < 400; step++) {
            applyRandomEvent(host, random, backends, Math.max(1, tenantCount));
        }
        host.advanceTime(40_000);
    }

    private static void applyRandomEvent(
            InvariantCheckingHost host, SplittableRandom random, int backends, int tenants) {
        switch (random.nextInt(12)) {
            case 0, 1, 2, 3 -> {
                for (int n = random.nextInt(6); n >= 0; n--) {
                    host.sendRequest(
                            random.nextInt(host.requestClasses.size()),
                            random.nextInt(tenants),
                            random.nextInt(4) == 0
                                    ? random.nextInt(300)
                                    : 5_000 + random.nextInt(25_000));
                }
            }
            case 4, 5, 6, 7 -> {
                for (long id : List.copyOf(host.requests.keySet())) {
                    completeSome(host, random, id);
                }
            }
            case 8 -> changeEndpointList(host, random, backends);
            case 9 -> {
                host.loadBalancer.onPeerMessage(
                        host.nowTicks, ("b" + random.nextInt(9) + "  x").getBytes(UTF_8));
                if (random.nextBoolean()) {
                    host.loadBalancer.onEndpointListFailed(host.nowTicks);
                }
            }
            case 10 -> {
                for (Map.Entry<Long, InvariantCheckingHost.TrackedRequest> e :
                        List.copyOf(host.requests.entrySet())) {
                    if (random.nextInt(10) == 0 && !e.getValue().completed) {
                        host.disconnectClient(e.getKey());
                    }
                }
            }
            default -> host.advanceTime(random.nextInt(random.nextInt(5) == 0 ? 12_000 : 300));
        }
        host.advanceTime(random.nextInt(150));
    }

    private static void completeSome(InvariantCheckingHost host, SplittableRandom random, long id) {
        InvariantCheckingHost.TrackedRequest request = host.requests.get(id);
        for (int n = 0; request != null && n < request.attempts.size(); n++) {
            if (request.attempts.get(n).inFlight && random.nextInt(3) == 0) {
                AttemptOutcome outcome =
                        random.nextInt(3) > 0
                                ? AttemptOutcome.COMPLETED
                                : List.of(AttemptOutcome.values())
                                        .get(random.nextInt(AttemptOutcome.values().length));
                host.completeAttempt(id, n, outcome);
            }
        }
    }

    private static void changeEndpointList(
            InvariantCheckingHost host, SplittableRandom random, int backends) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int n = random.nextInt(4); n > 0; n--) {
            Endpoint endpoint = InvariantCheckingHost.ready(random.nextInt(backends + 1));
            Endpoint.State state = List.of(Endpoint.State.values()).get(random.nextInt(3));
            long startedAtTicks = random.nextBoolean() ? endpoint.startedAtTicks() : host.nowTicks;
            endpoints.add(
                    new Endpoint(
                            endpoint.id(),
                            endpoint.zone(),
                            endpoint.machineKind(),
                            endpoint.cell(),
                            state,
                            random.nextInt(3),
                            startedAtTicks));
        }
        host.updateEndpoints(endpoints, random.nextInt(4) == 0, false);
    }
}

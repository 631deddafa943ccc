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

/** Seeded random days; the ledger checks the four rules after every step. */
class RulesTest {

    @Property(seed = "20261201", tries = 150)
    void rulesHoldWhateverHappens(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 9) int tenantCount,
            @ForAll @IntRange(min = 0, max = 14) int backends,
            @ForAll boolean first,
            @ForAll boolean mustAsk,
            @ForAll boolean mayRecall) {
        SplittableRandom random = new SplittableRandom(seed);
        List<RequestClass> categories = new ArrayList<>();
        for (Idempotency repeat : Idempotency.values()) {
            for (DeduplicationScope scope : DeduplicationScope.values()) {
                categories.add(Ledger.category(categories.size(), repeat, scope));
            }
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int t = 0; t < tenantCount; t++) {
            tenants.add(new Tenant(random.nextInt(4) / 4.0, random.nextInt(40)));
        }
        DeploymentTopology shape =
                new DeploymentTopology(
                        1 + random.nextInt(60),
                        random.nextInt(9),
                        random.nextBoolean(),
                        random.nextInt(2) * 50L,
                        true,
                        mustAsk,
                        100_000,
                        true,
                        random.nextInt(2) * 50_000L);
        Ledger ledger = new Ledger(categories, tenants, seed, first, mayRecall, shape);
        ledger.now = random.nextInt(100_000);
        ledger.list(Ledger.ready(0, backends), true, true);
        for (int step = 0; step < 400; step++) {
            step(ledger, random, backends, Math.max(1, tenantCount));
        }
        ledger.pass(40_000);
    }

    private static void step(Ledger ledger, SplittableRandom random, int backends, int tenants) {
        switch (random.nextInt(12)) {
            case 0, 1, 2, 3 -> {
                for (int n = random.nextInt(6); n >= 0; n--) {
                    ledger.arrive(
                            random.nextInt(ledger.categories.size()),
                            random.nextInt(tenants),
                            random.nextInt(4) == 0
                                    ? random.nextInt(300)
                                    : 5_000 + random.nextInt(25_000));
                }
            }
            case 4, 5, 6, 7 -> {
                for (long id : List.copyOf(ledger.items.keySet())) {
                    settleSome(ledger, random, id);
                }
            }
            case 8 -> changeList(ledger, random, backends);
            case 9 -> {
                ledger.balancer.onPeerMessage(
                        ledger.now, ("b" + random.nextInt(9) + "  x").getBytes(UTF_8));
                if (random.nextBoolean()) {
                    ledger.balancer.onEndpointListFailed(ledger.now);
                }
            }
            case 10 -> {
                for (Map.Entry<Long, Ledger.Item> e : List.copyOf(ledger.items.entrySet())) {
                    if (random.nextInt(10) == 0 && !e.getValue().answered) {
                        ledger.left(e.getKey());
                    }
                }
            }
            default -> ledger.pass(random.nextInt(random.nextInt(5) == 0 ? 12_000 : 300));
        }
        ledger.pass(random.nextInt(150));
    }

    private static void settleSome(Ledger ledger, SplittableRandom random, long id) {
        Ledger.Item item = ledger.items.get(id);
        for (int n = 0; item != null && n < item.sent.size(); n++) {
            if (item.sent.get(n).out && random.nextInt(3) == 0) {
                AttemptOutcome outcome =
                        random.nextInt(3) > 0
                                ? AttemptOutcome.COMPLETED
                                : List.of(AttemptOutcome.values())
                                        .get(random.nextInt(AttemptOutcome.values().length));
                ledger.settle(id, n, outcome);
            }
        }
    }

    private static void changeList(Ledger ledger, SplittableRandom random, int backends) {
        List<Endpoint> members = new ArrayList<>();
        for (int n = random.nextInt(4); n > 0; n--) {
            Endpoint m = Ledger.ready(random.nextInt(backends + 1));
            Endpoint.State state = List.of(Endpoint.State.values()).get(random.nextInt(3));
            long started = random.nextBoolean() ? m.startedAtTicks() : ledger.now;
            members.add(
                    new Endpoint(
                            m.id(),
                            m.zone(),
                            m.machineKind(),
                            m.cell(),
                            state,
                            random.nextInt(3),
                            started));
        }
        ledger.list(members, random.nextInt(4) == 0, false);
    }
}

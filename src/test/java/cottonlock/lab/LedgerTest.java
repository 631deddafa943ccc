package cottonlock.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Feeds the ledger, the verdict and the backend model with sequences whose breaches are known. */
class LedgerTest {
    private static final long MS = 1_000_000L;
    private final Ledger ledger = new Ledger(50 * MS, 1_500 * MS);

    private String take(String id, long until) {
        ledger.sent(id, "chain-" + id, "quote", 0, until);
        return id;
    }

    private void counts(int lost, int twice, int drains, int cold) {
        assertEquals(
                List.of(lost, twice, drains, cold),
                List.of(
                        ledger.count(Ledger.Rule.LOST),
                        ledger.count(Ledger.Rule.TWICE),
                        ledger.count(Ledger.Rule.DRAINS),
                        ledger.count(Ledger.Rule.COLD)),
                ledger.lines().toString());
    }

    @Example
    void requestsWithoutFaultsBreakNoRule() {
        take("a", 1_000 * MS);
        ledger.received(MS, 2 * MS, "a", "b0", 0);
        ledger.effect(2 * MS, "a", "unsafe", "x");
        ledger.responseProduced("a", 7);
        ledger.answered(1_040 * MS, "a", true, 7);
        take("gone", 10 * MS);
        ledger.excused(5 * MS, "gone", false);
        ledger.received(40 * MS, 41 * MS, "gone", "b0", 0);
        counts(0, 0, 0, 0);
    }

    @Example
    void eachKindOfLossIsCounted() {
        ledger.unanswered(5, take("ended", 10), "its connection ended");
        ledger.answered(1_051 * MS, take("late", 1_000 * MS), false, 0);
        ledger.answered(1, take("invented", 1_000 * MS), true, 3);
        ledger.responseProduced(take("mixed up", 1_000 * MS), 4);
        ledger.answered(2, "mixed up", true, 5);
        ledger.answered(1, take("two answers", 1_000 * MS), false, 0);
        ledger.answered(2, "two answers", false, 0);
        ledger.answered(100 * MS, take("sent after", 1_000 * MS), false, 0);
        ledger.received(151 * MS, 152 * MS, "sent after", "b0", 0);
        ledger.received(1, 2, "never sent", "b0", 0);
        counts(7, 0, 0, 0);
        // A request whose proxy was killed is unanswered, but does not count as lost.
        ledger.excused(1, take("killed", 10), true);
        ledger.unanswered(2, "killed", "again");
        counts(7, 0, 0, 0);
        assertEquals(1, ledger.unansweredOfKilledProxies());
    }

    @Example
    void aSecondEffectIsCountedInAnyZone() {
        take("safe", 1_000 * MS);
        ledger.effect(1, "safe", "safe", "x");
        ledger.effect(2, "safe", "safe", "y");
        counts(0, 0, 0, 0);
        take("once", 1_000 * MS);
        ledger.effect(1, "once", "unsafe", "x");
        ledger.effect(2, "once", "unsafe", "x");
        // A client's retry of a rejected request under a new ID: the rejection said that a retry is
        // safe.
        ledger.sent("first", "order", "order", 0, 1_000 * MS);
        ledger.effect(3, "first", "keyed", "x");
        ledger.sent("retry", "order", "order", 1, 1_000 * MS);
        ledger.effect(4, "retry", "keyed", "y");
        counts(0, 2, 0, 0);
        assertEquals(Map.of("quote in x", 1, "order in y", 1), ledger.doubleEffectsByCategory());
    }

    @Example
    void aDrainCountsFromItsAnnouncementToTheProxy() {
        take("a", 10_000 * MS);
        ledger.drainAnnounced(1_000 * MS, 0, "b0");
        ledger.drainAnnounced(2_000 * MS, 0, "b0");
        ledger.received(2_550 * MS, 2_551 * MS, "a", "b0", 0);
        ledger.received(2_551 * MS, 2_552 * MS, "a", "b0", 1);
        counts(0, 0, 0, 0);
        ledger.received(2_551 * MS, 2_552 * MS, "a", "b0", 0);
        counts(0, 0, 1, 0);
        ledger.drainRevoked(0, "b0");
        ledger.received(9_000 * MS, 9_001 * MS, "a", "b0", 0);
        counts(0, 0, 1, 0);
    }

    @Example
    void aVerdictNamesEachBreachAndALateMachineHasNone() {
        Map<String, Double> figures = new TreeMap<>();
        Verdict.KEYS.forEach(key -> figures.put(key, 0.0));
        figures.put("service", 0.5);
        List<Scenario.Bound> bounds = List.of(new Scenario.Bound("service", ">=", 0.9, ">= 0.9"));
        Verdict low = new Verdict(figures, bounds, 20, 50);
        assertEquals(List.of("expected service >= 0.9, found 0.500"), low.broken);
        assertEquals(1, low.kind.status);
        figures.put("twice", 2.0);
        Verdict broken = new Verdict(figures, List.of(), 20, 50);
        assertEquals(List.of("rule twice: 2 breaches"), broken.broken);
        assertTrue(broken.line().startsWith("verdict: fail service=0.500 "), broken.line());
        figures.put("behind_ms", 20.5);
        assertEquals(3, new Verdict(figures, bounds, 20, 50).kind.status);
        figures.put("twice", 0.0);
        assertEquals(
                3,
                new Verdict(figures, List.of(), 20, 50).kind.status,
                "a late machine never passes");
        figures.put("behind_ms", 1.0);
        figures.put("watch_ms", 50.5);
        assertEquals(3, new Verdict(figures, List.of(), 20, 50).kind.status, "nor one found so");
    }

    /**
     * A backend model never exceeds its cores and its queue, and neither invents nor drops work.
     */
    @Property(seed = "20261201", tries = 100)
    void aBackendNeverExceedsItsCoresAndQueue(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int cores = 1 + random.nextInt(4);
        int queue = random.nextInt(5);
        BackendModel<Integer> model = new BackendModel<>(cores, 1, queue, 0.35, 1_000, 3, 300);
        List<Integer> running = new ArrayList<>();
        List<Integer> waiting = new ArrayList<>();
        for (int job = 0; job < 200; job++) {
            if (random.nextBoolean() && !running.isEmpty()) {
                running.remove(random.nextInt(running.size()));
                Integer next = model.onCoreFree();
                assertEquals(
                        waiting.isEmpty() ? null : waiting.remove(0),
                        next,
                        "first come, first served");
                if (next != null) {
                    running.add(next);
                }
            }
            switch (model.admit(job)) {
                case STARTED -> running.add(job);
                case QUEUED -> waiting.add(job);
                default -> assertTrue(running.size() == cores && waiting.size() == queue);
            }
            assertTrue(running.size() <= cores && waiting.size() <= queue);
            assertEquals(running.size(), model.busy());
        }
    }

    @Example
    void onlyAColdBackendCollapsesUnderLoadBeyondItsMultiple() {
        BackendModel<Integer> model = new BackendModel<>(2, 1, 10, 0.5, 10_000, 3, 1_000);
        assertFalse(model.isOverloadedCold(0, 1e9), "long ago started: warm");
        model.start(100_000);
        assertEquals(0.5, model.capacityShare(100_000));
        assertEquals(0.75, model.capacityShare(105_000));
        // Two cores at half for 1,000, three times over: 3,000 of work is the most, give or take
        // the warming.
        int sent = 0;
        long now = 100_000;
        while (!model.isOverloadedCold(now, 100)) {
            sent += 100;
            now += 10;
        }
        assertTrue(sent >= 2_900 && sent < 3_300, sent + " sent before it fell");
        model.start(200_000);
        for (int i = 0; i < 1_000; i++) {
            assertFalse(
                    model.isOverloadedCold(200_000 + i * 40, 100),
                    "two and a half times what it can do");
        }
    }
}

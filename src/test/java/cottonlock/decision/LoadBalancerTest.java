package cottonlock.decision;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.Endpoint;
import cottonlock.decision.api.RequestClass;
import cottonlock.decision.api.RequestClass.DeduplicationScope;
import cottonlock.decision.api.RequestClass.Idempotency;
import cottonlock.decision.api.Tenant;
import cottonlock.decision.backend.Backend;
import cottonlock.decision.lane.LaneAssignment;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import net.jqwik.api.Example;

/** Plain cases, and one small case for each failure found. */
class LoadBalancerTest {
    private static final List<RequestClass> PLAIN =
            List.of(
                    Ledger.category(0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                    Ledger.category(1, Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL));
    private static final List<Tenant> TWO = List.of(new Tenant(0.75, 100), new Tenant(0.25, 100));

    private static Ledger ledger(boolean first, List<Tenant> tenants, int backends) {
        Ledger ledger = new Ledger(PLAIN, tenants, 7, first, false);
        ledger.list(Ledger.ready(0, backends), true, true);
        return ledger;
    }

    private static Set<String> ids(List<Backend> lane) {
        return lane.stream().map(Backend::id).collect(Collectors.toSet());
    }

    /** Answers everything that is out, in the order of arrival. */
    private static void finishAll(Ledger ledger) {
        for (long id : List.copyOf(ledger.items.keySet())) {
            Ledger.Item item = ledger.items.get(id);
            for (int n = 0; item != null && n < item.sent.size(); n++) {
                if (item.sent.get(n).out) {
                    ledger.settle(id, n, AttemptOutcome.COMPLETED);
                }
            }
        }
    }

    @Example
    void lanesHoldTheSharesAndAtLeastOneBackend() {
        List<Tenant> tenants =
                List.of(new Tenant(0.5, 0), new Tenant(0.45, 0), new Tenant(0.05, 0));
        assertArrayEquals(new int[] {5, 4, 1}, LaneAssignment.laneSizes(tenants, 10));
        assertArrayEquals(new int[] {1, 1, 0}, LaneAssignment.laneSizes(tenants, 2));
        assertArrayEquals(new int[] {0, 0, 0}, LaneAssignment.laneSizes(tenants, 0));
        assertArrayEquals(new int[] {2}, LaneAssignment.laneSizes(List.of(new Tenant(0.2, 0)), 10));
        assertArrayEquals(new int[0], LaneAssignment.laneSizes(List.of(), 10));
    }

    @Example
    void whoHasGoneWithoutDrainingIsUsedWhileItAnswersWhereThatBindsNobody() {
        for (boolean binds : new boolean[] {false, true}) {
            Ledger ledger =
                    new Ledger(
                            PLAIN,
                            TWO,
                            5,
                            false,
                            true,
                            new DeploymentTopology(2, 0, true, 0, true, false, 100_000, binds, 0));
            ledger.list(Ledger.ready(0, 3), true, true);
            for (int i = 0; i < 30; i++) {
                ledger.arrive(0, i % 2, 20_000);
                ledger.pass(100);
                finishAll(ledger);
            }
            Endpoint draining = new Endpoint("b2", 2, 0, 1, Endpoint.State.DRAINING, 1, 0);
            ledger.list(List.of(draining), false, false);
            // Past the ledger, which holds all to what binds elsewhere: the list loses both others.
            ledger.balancer.onEndpointList(ledger.now, List.of(), true, false);
            assertEquals(!binds, ledger.balancer.mayUse("b0") && ledger.balancer.mayUse("b1"));
            assertFalse(
                    ledger.balancer.mayUse("b2"),
                    "draining binds, whatever the list says after it");
            ledger.pass(25_000);
            assertFalse(
                    ledger.balancer.mayUse("b0") || ledger.balancer.mayUse("b1"),
                    "they answer no more");
        }
    }

    @Example
    void lanesAreAlikeInEveryOrderOfTheListAndShareNothing() {
        Ledger one = ledger(true, TWO, 8);
        Ledger other = new Ledger(PLAIN, TWO, 99, false, false);
        other.list(Ledger.ready(4, 8), false, false);
        other.list(Ledger.ready(0, 4), false, false);
        Set<String> all = new HashSet<>();
        for (int t = 0; t < 2; t++) {
            assertEquals(ids(one.fleet.lane(t)), ids(other.fleet.lane(t)));
            all.addAll(ids(one.fleet.lane(t)));
        }
        assertEquals(8, all.size());
    }

    @Example
    void workStaysInItsLaneWhileTheLaneIsUsable() {
        Ledger ledger = ledger(false, TWO, 8);
        for (int i = 0; i < 200; i++) {
            ledger.arrive(0, i % 2, 20_000);
            ledger.pass(100);
            finishAll(ledger);
        }
        Set<String> small = ids(ledger.fleet.lane(1));
        long inSmall =
                ledger.sends.entrySet().stream()
                        .filter(e -> small.contains(e.getKey()))
                        .mapToLong(e -> e.getValue().size())
                        .sum();
        assertEquals(100, inSmall);
    }

    @Example
    void aLaneWithoutUsableBackendsSpills() {
        Ledger ledger = ledger(false, TWO, 8);
        long id = ledger.arrive(0, 1, 20_000);
        ledger.settle(id, 0, AttemptOutcome.CONNECT_FAILED);
        ledger.settle(id, 1, AttemptOutcome.CONNECT_FAILED);
        List<String> tried = ledger.items.get(id).sent.stream().map(s -> s.to.id()).toList();
        assertEquals(ids(ledger.fleet.lane(1)), Set.copyOf(tried.subList(0, 2)));
        assertFalse(ids(ledger.fleet.lane(1)).contains(tried.get(2)));
    }

    /**
     * Found in a newcomer's first minute: one broken answer, and up to six sound ones were deferred
     * behind it.
     */
    @Example
    void aSoleBackendThatFailedOnceGetsSafeWorkAtOnce() {
        for (int n = 0; n < 20; n++) {
            Ledger ledger = ledger(true, TWO, 1);
            ledger.settle(ledger.arrive(0, 0, 20_000), 0, AttemptOutcome.CONNECTION_BROKEN);
            ledger.pass(1_000 + 10 * n);
            long id = ledger.arrive(0, 0, 20_000);
            assertEquals(1, ledger.items.get(id).sent.size());
            finishAll(ledger);
        }
    }

    /**
     * A client that comes back after its backends have forgotten it would have its effect twice.
     */
    @Example
    void whatMayHaveRunIsDeferredOnlyWhileItIsStillKnownWhenItsClientComesBack() {
        for (long window : new long[] {2_000, 100_000}) {
            RequestClass keyed =
                    new RequestClass(
                            0, 10_000, 1, 0, Idempotency.WITH_KEY, DeduplicationScope.ALL, window);
            Ledger ledger = new Ledger(List.of(keyed), TWO, 7, true, false);
            ledger.list(Ledger.ready(0, 1), true, true);
            long id = ledger.arrive(0, 0, 20_000);
            ledger.pass(100);
            ledger.settle(id, 0, AttemptOutcome.CONNECTION_BROKEN);
            assertEquals(
                    window > 10_000 ? 1 : 0, ledger.ends.values().stream().mapToInt(n -> n).sum());
        }
    }

    @Example
    void whenItLeavesAllIsOverByThen() {
        Ledger ledger = ledger(true, TWO, 1);
        long id = ledger.arrive(0, 0, 100_000);
        assertEquals(1, ledger.items.get(id).sent.size());
        ledger.balancer.limitDeadlines(ledger.now + 500);
        ledger.pass(500);
        // Safe, well before its due time, but there is no time left for another try.
        ledger.settle(id, 0, AttemptOutcome.TIMED_OUT);
        assertTrue(!ledger.items.containsKey(id) || ledger.items.get(id).answered);
    }

    /**
     * Where each client has a balancer of its own, and where keeping connections costs something.
     */
    private static Ledger apart(int me, double rest, int backends) {
        Ledger ledger =
                new Ledger(
                        PLAIN,
                        List.of(new Tenant(1, 100)),
                        7 + me,
                        true,
                        true,
                        new DeploymentTopology(200, me, false, rest, false, false, 0, true, 0));
        ledger.list(Ledger.ready(0, backends), true, true);
        return ledger;
    }

    /**
     * Found on an overloaded day: with a new draw for each try nearly all got in at their fourth.
     */
    @Example
    void aRepeatWithTheSameHintGetsTheSameAnswer() {
        Ledger ledger = apart(0, 0, 8);
        int letIn = 0;
        for (int hint = 1; hint <= 100; hint++) {
            boolean first = ledger.items.containsKey(ledger.arrive(0, 0, 20_000, hint));
            finishAll(ledger);
            for (int n = 0; n < 3; n++) {
                assertEquals(first, ledger.items.containsKey(ledger.arrive(0, 0, 20_000, hint)));
                finishAll(ledger);
            }
            letIn += first ? 1 : 0;
        }
        assertTrue(letIn > 30 && letIn < 90, letIn + " of 100 let in");
    }

    /**
     * Found at hundreds of balancers: each held a connection to nearly each backend, and many got
     * none.
     */
    @Example
    void dearConnectionsAreFewAndThoseThatRestAreClosed() {
        Set<String> all = new HashSet<>();
        for (int me = 0; me < 30; me++) {
            Ledger ledger = apart(me, 100, 8);
            for (int n = 0; n < 40; n++) {
                ledger.arrive(0, 0, 20_000);
                finishAll(ledger);
                ledger.pass(100);
            }
            assertTrue(ledger.sends.size() == 1, ledger.sends.keySet() + " used one at a time");
            assertTrue(ledger.released.isEmpty());
            ledger.pass(1_500);
            assertEquals(List.copyOf(ledger.sends.keySet()), ledger.released);
            all.addAll(ledger.sends.keySet());
        }
        assertTrue(all.size() >= 6, "balancers differ in what they use: " + all);
    }

    /**
     * Found on days on which balancers stand still: what waited for them passed for silence of
     * backends.
     */
    @Example
    void afterAStandstillNothingIsTakenForSilent() {
        Ledger ledger = ledger(true, TWO, 8);
        for (int n = 0; n < 60; n++) {
            ledger.arrive(0, n % 2, 20_000);
            ledger.pass(50);
            finishAll(ledger);
        }
        long id = ledger.arrive(0, 0, 20_000);
        ledger.now += 4_000;
        ledger.balancer.onTimer(ledger.now);
        assertFalse(ledger.items.get(id).sent.get(0).recalled);
        ledger.pass(5_000);
        assertTrue(ledger.items.get(id).sent.get(0).recalled, "but silence after it is");
    }

    /**
     * Found on quiet days with many balancers: a tenant held to its lane's rate while all else
     * idled.
     */
    @Example
    void anIdleFleetIsLentToALane() {
        Ledger ledger = many(50, List.of(new Tenant(0.05, 1), new Tenant(0.95, 1_000))).get(0);
        ledger.list(Ledger.ready(0, 20), true, true);
        int[] letIn = new int[2];
        for (int i = 0; i < 400; i++) {
            long id = ledger.arrive(0, 0, 60_000);
            letIn[ledger.now < 40_000 ? 0 : 1] += ledger.items.containsKey(id) ? 1 : 0;
            ledger.pass(500);
            finishAll(ledger);
        }
        assertTrue(
                letIn[1] > 20 * letIn[0],
                letIn[0] + " let in while unknown, " + letIn[1] + " then");
    }

    @Example
    void anEmptyListDefersAtOnce() {
        Ledger ledger = ledger(true, TWO, 0);
        ledger.arrive(0, 0, 20_000);
        assertTrue(ledger.items.isEmpty());
    }

    @Example
    void excessIsTurnedAwayFirst() {
        Ledger ledger = ledger(true, List.of(new Tenant(0.5, 1_000), new Tenant(0.5, 2)), 4);
        int[] letIn = new int[2];
        for (int i = 0; i < 400; i++) {
            Ledger.Item item = ledger.items.get(ledger.arrive(0, i % 2, 20_000));
            letIn[i % 2] += item == null ? 0 : 1;
            if (i % 16 == 15) {
                finishAll(ledger);
            }
            ledger.pass(100);
        }
        assertTrue(letIn[0] > letIn[1], letIn[0] + " within quota, " + letIn[1] + " beyond");
    }

    /** Answers what has been out for so long: a fleet that slows down as more is inside. */
    private static int answerOlder(Ledger ledger, Map<Long, Long> sentAt, long age) {
        for (long id : List.copyOf(ledger.items.keySet())) {
            Ledger.Item item = ledger.items.get(id);
            if (item != null
                    && item.sent.size() == 1
                    && item.sent.get(0).out
                    && ledger.now - sentAt.get(id) >= age) {
                ledger.settle(id, 0, AttemptOutcome.COMPLETED);
            }
        }
        return (int)
                ledger.items.values().stream()
                        .filter(i -> i.sent.stream().anyMatch(s -> s.out))
                        .count();
    }

    /**
     * Danger: what is inside made the room for more excess, until a hundred small balancers choked.
     */
    @Example
    void excessMakesNoRoomOfItsOwn() {
        Ledger ledger = new Ledger(PLAIN, List.of(new Tenant(1, 2)), 7, true, false, true, 9);
        ledger.list(Ledger.ready(0, 18), true, true);
        Map<Long, Long> sentAt = new HashMap<>();
        int most = 0;
        for (int i = 0; i < 1_000; i++) {
            sentAt.put(ledger.arrive(0, 0, 20_000), ledger.now);
            ledger.pass(50);
            int inside = answerOlder(ledger, sentAt, 1_500 + 300L * most);
            most = Math.max(most, inside);
        }
        // Two for each of a part of two backends, one by chance, and a little that is within the
        // quota.
        assertTrue(most <= 8, () -> "so much excess inside of one of nine before 18 backends");
        assertTrue(most >= 4, "while nothing is pressed, excess is served");
    }

    /** Danger: where due times are long, two seconds hold too few answers to learn a calm from. */
    @Example
    void spansOfMeasuresFollowDueTimes() {
        assertEquals(
                20_000,
                Math.round(
                        1.28
                                * new DeploymentTopology(1, 0, true, 0, true, true, 0, true, 0)
                                        .meanLatencyObjectiveTicks()));
        assertEquals(
                15_625,
                new DeploymentTopology(8, 0, true, 0, true, true, 0, true, 60_000)
                        .meanLatencyObjectiveTicks(),
                "few balancers");
        Ledger ledger =
                new Ledger(
                        PLAIN,
                        TWO,
                        7,
                        true,
                        true,
                        new DeploymentTopology(9, 0, true, 0, true, false, 100_000, true, 60_000));
        ledger.list(Ledger.ready(0, 3), true, true);
        ledger.arrive(0, 0, 20_000);
        finishAll(ledger);
        ledger.pass(30_000);
        Backend answered =
                ledger.fleet.all().stream()
                        .filter(b -> ledger.sends.containsKey(b.id()))
                        .findFirst()
                        .orElseThrow();
        assertEquals(
                1,
                answered.recentSuccesses(ledger.now),
                "an answer of three seconds ago, half a due time");
    }

    @Example
    void failedCallsForTheListAreRepeatedInTime() {
        Ledger ledger = new Ledger(PLAIN, TWO, 3, true, true);
        ledger.list(Ledger.ready(0, 3), true, true);
        assertEquals(1, ledger.asked);
        for (int i = 2; i < 20; i++) {
            ledger.balancer.onEndpointListFailed(ledger.now);
            ledger.pass(26_000);
            assertEquals(i, ledger.asked);
        }
    }

    /** Found on a day with a lost server room: sent on from the line after its client had left. */
    @Example
    void workWhoseClientLeftIsNotSentOn() {
        Ledger ledger = ledger(true, TWO, 2);
        for (int i = 0; i < 8; i++) {
            ledger.arrive(0, 0, 20_000);
        }
        for (long id : List.copyOf(ledger.items.keySet())) {
            if (ledger.items.get(id).sent.isEmpty()) {
                ledger.left(id);
            }
        }
        finishAll(ledger);
        ledger.pass(1_000);
        assertTrue(ledger.items.isEmpty());
    }

    /**
     * Found when a product of zero and infinity shut the door: the first requests must get through.
     */
    @Example
    void aFreshBalancerLetsWorkIn() {
        Ledger ledger = ledger(true, TWO, 6);
        long id = ledger.arrive(0, 0, 20_000);
        assertEquals(1, ledger.items.get(id).sent.size());
    }

    /**
     * Found on a day with a lost server room: what it held filled the room and all else was turned
     * away.
     */
    @Example
    void workStuckAtSilentBackendsFreesItsRoom() {
        Ledger ledger = ledger(true, List.of(), 6);
        for (int i = 0; i < 300; i++) {
            ledger.arrive(1, 0, 60_000);
            ledger.pass(100);
            for (long id : List.copyOf(ledger.items.keySet())) {
                Ledger.Item item = ledger.items.get(id);
                if (!item.sent.isEmpty() && item.sent.get(0).to.zone() != 0) {
                    ledger.settle(id, 0, AttemptOutcome.COMPLETED);
                }
            }
        }
        long id = ledger.arrive(0, 0, 20_000);
        assertTrue(ledger.items.containsKey(id), "turned away while backends idle");
    }

    /**
     * Found on a day with slow backends: answers that come far too late count against a backend.
     */
    @Example
    void aSlowBackendGetsLessWork() {
        Ledger ledger = ledger(false, List.of(), 4);
        for (int i = 0; i < 400; i++) {
            ledger.arrive(0, 0, 60_000);
            ledger.pass(100);
            for (long id : List.copyOf(ledger.items.keySet())) {
                Ledger.Sent sent = ledger.items.get(id).sent.get(0);
                if (sent.out && ledger.now - sent.at >= (sent.to.id().equals("b0") ? 3_000 : 100)) {
                    ledger.settle(id, 0, AttemptOutcome.COMPLETED);
                }
            }
        }
        assertTrue(
                ledger.sends.get("b0").size() * 2 < ledger.sends.get("b1").size(),
                ledger.sends.get("b0").size() + " to the slow one");
    }

    /**
     * Found on a full fleet: what was promised found two places a backend, and few answers make no
     * more.
     */
    @Example
    void whatIsWithinQuotasHasFourPlacesABackendFromTheStart() {
        for (int[] shape : new int[][] {{1, 4}, {3, 12}, {16, 35}, {90, 150}, {120, 300}}) {
            for (double quota : new double[] {100_000, 0.1}) {
                Ledger ledger =
                        new Ledger(
                                PLAIN,
                                List.of(new Tenant(1, quota)),
                                shape[0],
                                true,
                                true,
                                new DeploymentTopology(
                                        shape[0], 0, true, 0, true, false, 100_000, true, 60_000));
                ledger.list(Ledger.ready(0, shape[1]), true, true);
                for (int i = 0; i < 10 * shape[1]; i++) {
                    ledger.arrive(0, 0, 200_000);
                }
                long sent =
                        ledger.items.values().stream().filter(item -> !item.sent.isEmpty()).count();
                double each = (double) sent * shape[0] / shape[1];
                // The part below one is drawn; a quota's bucket lets four in that are not excess.
                double chance = (quota < 1 ? 5.0 : 1.0) * shape[0] / shape[1];
                double places = quota < 1 ? 2 : 4;
                assertTrue(
                        each >= places - chance && each <= places + chance,
                        each
                                + " for each backend, quota "
                                + quota
                                + " at "
                                + shape[0]
                                + " balancers");
            }
        }
    }

    /**
     * Found on a full fleet with a zone cut off: what was stuck behind sound backends filled the
     * room, and a backend that held nothing else passed for silent for as long as that did not
     * expire.
     */
    @Example
    void workStuckBehindBackendsThatAnswerFreesItsRoom() {
        for (int[] shape : new int[][] {{1, 6}, {2, 6}, {16, 35}, {90, 150}, {120, 300}}) {
            Ledger ledger =
                    new Ledger(
                            PLAIN,
                            List.of(),
                            shape[0],
                            true,
                            true,
                            new DeploymentTopology(
                                    shape[0], 0, true, 0, true, false, 100_000, true, 10_000));
            ledger.list(Ledger.ready(0, shape[1]), true, true);
            for (int i = 0; i < 1_000; i++) {
                // A share of what this balancer's part of the backends can hold, and a tenth of it
                // is stuck.
                ledger.arrive(1, 0, 5_000_000);
                ledger.pass(1_000L * shape[0] / shape[1]);
                ledger.finish(1_000, Integer.MAX_VALUE, out -> out % 10 != 0);
            }
            assertTrue(
                    ledger.ends.isEmpty(),
                    "deferred for " + ledger.ends + " at " + shape[0] + " balancers");
        }
    }

    /**
     * Found on a full fleet with a zone cut off: work of long due times filled the line and kept it
     * full.
     */
    @Example
    void noCategoryStarvesInTheLineOfOthers() {
        for (int[] shape : new int[][] {{1, 4}, {2, 8}, {16, 35}, {90, 150}}) {
            List<RequestClass> categories =
                    List.of(
                            new RequestClass(
                                    0,
                                    5_000,
                                    1,
                                    0,
                                    Idempotency.IDEMPOTENT,
                                    DeduplicationScope.ALL,
                                    0),
                            new RequestClass(
                                    1,
                                    50_000,
                                    1,
                                    0,
                                    Idempotency.IDEMPOTENT,
                                    DeduplicationScope.ALL,
                                    0));
            Ledger ledger =
                    new Ledger(
                            categories,
                            List.of(new Tenant(1, 100_000)),
                            shape[0],
                            true,
                            true,
                            new DeploymentTopology(
                                    shape[0], 0, true, 0, true, false, 100_000, true, 27_500));
            ledger.list(Ledger.ready(0, shape[1]), true, true);
            SplittableRandom random = new SplittableRandom(shape[0]);
            int[] finished = new int[2];
            for (int i = 0; i < 6_000; i++) {
                // Twice what can be done, half of it of either category.
                ledger.arrive(random.nextInt(2), 0, 200_000);
                ledger.arrive(random.nextInt(2), 0, 200_000);
                ledger.pass(100);
                int[] now = ledger.finish(1_000, 1, id -> true);
                finished[0] += now[0];
                finished[1] += now[1];
            }
            for (int c = 0; c < 2; c++) {
                assertTrue(
                        finished[c] * 2 > finished[1 - c],
                        finished[0]
                                + " of short due times finished, "
                                + finished[1]
                                + " of long ones, at "
                                + shape[0]
                                + " balancers");
            }
        }
    }

    /**
     * Found on a day without queues at the backends: turned-away work must lower what is let in.
     */
    @Example
    void turnedAwayWorkLowersTheRoom() {
        Ledger ledger = ledger(true, List.of(), 8);
        for (int i = 0; i < 200; i++) {
            ledger.arrive(0, 0, 60_000);
            ledger.pass(100);
            for (long id : List.copyOf(ledger.items.keySet())) {
                for (int n = 0;
                        ledger.items.containsKey(id) && n < ledger.items.get(id).sent.size();
                        n++) {
                    if (ledger.items.get(id).sent.get(n).out) {
                        ledger.settle(id, n, AttemptOutcome.REJECTED);
                    }
                }
            }
        }
        long before = ledger.sends.values().stream().mapToLong(List::size).sum();
        for (int i = 0; i < 40; i++) {
            ledger.arrive(0, 0, 60_000);
        }
        long more = ledger.sends.values().stream().mapToLong(List::size).sum() - before;
        assertFalse(more > 20, more + " let in at once");
    }

    /**
     * Found on a day with a lost server room: each balancer lost work to find out what its peers
     * knew.
     */
    @Example
    void whatPeersFoundLostIsDoubtedButNotPassedOn() {
        Ledger finder = ledger(false, List.of(), 2);
        for (int i = 0; i < 40; i++) {
            long id = finder.arrive(0, 0, 20_000);
            for (int n = 0;
                    finder.items.containsKey(id) && n < finder.items.get(id).sent.size();
                    n++) {
                boolean lost = finder.items.get(id).sent.get(n).to.id().equals("b0");
                finder.settle(
                        id, n, lost ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.COMPLETED);
            }
            finder.pass(300);
        }
        assertEquals(Set.of("b0"), Set.copyOf(finder.told));
        Ledger hearer = ledger(false, List.of(), 2);
        hearer.balancer.onPeerMessage(hearer.now, "b0".getBytes(UTF_8));
        hearer.pass(600);
        assertTrue(hearer.told.isEmpty());
        for (int i = 0; i < 40; i++) {
            hearer.balancer.onPeerMessage(hearer.now, "b0".getBytes(UTF_8));
            hearer.arrive(0, 0, 20_000);
            hearer.pass(300);
            for (long id : List.copyOf(hearer.items.keySet())) {
                if (hearer.items.get(id).sent.get(0).to.id().equals("b1")) {
                    hearer.settle(id, 0, AttemptOutcome.COMPLETED);
                }
            }
        }
        assertTrue(hearer.sends.get("b1").size() > 25, hearer.sends.toString());
    }

    private static List<Ledger> many(int balancers, List<Tenant> tenants) {
        List<Ledger> many = new ArrayList<>();
        for (int n = 0; n < balancers; n++) {
            many.add(new Ledger(PLAIN, tenants, n, true, false, true, balancers));
        }
        return many;
    }

    /**
     * Found with hundreds of balancers: one request from each at once pushed a cold backend over.
     */
    @Example
    void manyBalancersTogetherKeepAColdBackendUp() {
        int balancers = 200;
        List<Long> sent = new ArrayList<>();
        for (Ledger ledger : many(balancers, List.of())) {
            List<Endpoint> members = new ArrayList<>(Ledger.ready(0, 20));
            ledger.list(members, true, true);
            for (int i = 0; i < 60; i++) {
                ledger.arrive(0, 0, 20_000);
                ledger.pass(1_000);
                finishAll(ledger);
                if (i == 20) {
                    Endpoint fresh =
                            new Endpoint("b3", 0, 0, 1, Endpoint.State.READY, 1, ledger.now);
                    ledger.list(List.of(fresh), false, false);
                }
            }
            List<Long> toFresh = ledger.sends.getOrDefault("b3", List.of());
            sent.addAll(toFresh.stream().filter(at -> at > 20_900).toList());
        }
        // Each warm backend gets 10 a second of the 200; a cold one bears the multiple of its share
        // of that.
        double bears = Ledger.FALL_MULTIPLE * Ledger.COLD_SHARE * 10 * Ledger.FALL / 10_000.0;
        long inWindow = sent.stream().filter(at -> at <= 20_900 + Ledger.FALL).count();
        assertTrue(inWindow <= bears, inWindow + " sent in the first window, it bears " + bears);
        assertTrue(inWindow > 0, "a cold backend is not left out");
    }

    /**
     * Found with hundreds of balancers: the least rooms of one request each added up and choked
     * all.
     */
    @Example
    void manyBalancersTogetherLetInWhatTheBackendsMayHold() {
        long held = 0;
        for (Ledger ledger : many(100, List.of(new Tenant(1, 1_000)))) {
            ledger.list(Ledger.ready(0, 10), true, true);
            for (int i = 0; i < 200; i++) {
                ledger.arrive(0, 0, 60_000);
                ledger.pass(1_000);
                for (long id : List.copyOf(ledger.items.keySet())) {
                    if (ledger.now - ledger.items.get(id).sent.get(0).at >= 3_000) {
                        ledger.settle(id, 0, AttemptOutcome.COMPLETED);
                    }
                }
            }
            // By Little's law: what each second brought in, over the 0.3 s that it stays.
            held +=
                    ledger.sends.values().stream()
                            .flatMap(List::stream)
                            .filter(at -> at > 100_000)
                            .count();
        }
        held = held * 3 / 100;
        assertTrue(held > 20 && held < 70, held + " held by ten backends together");
    }

    /**
     * Found at a start with many balancers: nearly all backends passed for silent in the first
     * second.
     */
    @Example
    void anAnswerOfUsualLengthIsNoSilence() {
        Ledger ledger = ledger(true, List.of(), 10);
        for (int i = 0; i < 10; i++) {
            ledger.arrive(0, 0, 60_000);
        }
        ledger.pass(3_000);
        assertTrue(ledger.told.isEmpty(), "told peers " + ledger.told);
        assertTrue(ledger.items.values().stream().allMatch(item -> item.sent.size() == 1));
    }

    /**
     * Found on a day with eight lanes and many balancers: two lanes choked while the others idled.
     */
    @Example
    void aLaneThatHoldsFarMoreThanTheOthersSpills() {
        int outside = 0;
        for (Ledger ledger : many(20, TWO)) {
            ledger.list(Ledger.ready(0, 20), true, true);
            Set<String> small = ids(ledger.fleet.lane(1));
            for (int i = 0; i < 60; i++) {
                ledger.arrive(0, i % 3 == 0 ? 0 : 1, 60_000);
                ledger.pass(900);
                for (long id : List.copyOf(ledger.items.keySet())) {
                    for (Ledger.Sent sent : List.copyOf(ledger.items.get(id).sent)) {
                        long time = small.contains(sent.to.id()) ? 4_000 : 500;
                        if (sent.out && ledger.now - sent.at >= time) {
                            ledger.settle(id, 0, AttemptOutcome.COMPLETED);
                        }
                    }
                }
            }
            outside += ledger.spilled(1, small);
        }
        assertTrue(outside > 50, outside + " of the crowded lane's requests spilled");
    }

    /** Found after a flood: so few were let in that nobody learned that it was over. */
    @Example
    void aLaneOpensAgainAfterAFlood() {
        Ledger ledger = many(200, TWO).get(0);
        ledger.list(Ledger.ready(0, 50), true, true);
        int[] letIn = new int[2];
        for (int i = 0; i < 800; i++) {
            long id = ledger.arrive(0, 0, 60_000);
            letIn[i / 400] += ledger.items.containsKey(id) ? 1 : 0;
            for (int n = 0;
                    ledger.items.containsKey(id) && n < ledger.items.get(id).sent.size();
                    n++) {
                ledger.settle(id, n, i < 400 ? AttemptOutcome.REJECTED : AttemptOutcome.COMPLETED);
            }
            ledger.pass(500);
        }
        assertTrue(
                letIn[1] > letIn[0] * 1.3, letIn[0] + " let in during it, " + letIn[1] + " after");
    }

    /**
     * Found where listed sizes are alike: the slower kind of machine held most and choked first.
     */
    @Example
    void aSlowerKindGetsLessWork() {
        Ledger ledger = ledger(false, List.of(), 20);
        int[] byKind = new int[2];
        for (int i = 0; i < 800; i++) {
            long id = ledger.arrive(0, 0, 60_000);
            byKind[ledger.items.get(id).sent.get(0).to.machineKind()]++;
            ledger.pass(100);
            for (long out : List.copyOf(ledger.items.keySet())) {
                Ledger.Sent sent = ledger.items.get(out).sent.get(0);
                if (ledger.now - sent.at >= (sent.to.machineKind() == 1 ? 600 : 300)) {
                    ledger.settle(out, 0, AttemptOutcome.COMPLETED);
                }
            }
        }
        assertTrue(
                byKind[1] * 3 < byKind[0] * 2, byKind[1] + " to the slower kind of " + byKind[0]);
    }

    /**
     * What has gone for good must not be kept, nor looked at, for as long as the balancer lives.
     */
    @Example
    void whatHasGoneIsForgotten() {
        Ledger ledger = ledger(false, TWO, 4);
        for (int i = 4; i < 100; i++) {
            ledger.list(Ledger.ready(i, i + 4), true, false);
            ledger.pass(100);
        }
        assertEquals(4, ledger.fleet.all().size());
    }

    /**
     * Found with many balancers: the false finds of all added up, and sound backends were shunned.
     */
    @Example
    void manyBalancersDoNotTell() {
        for (int balancers : new int[] {2, 200}) {
            Ledger ledger = new Ledger(PLAIN, List.of(), 1, false, false, true, balancers);
            ledger.list(Ledger.ready(0, 4), true, true);
            for (int i = 0; i < 20; i++) {
                long id = ledger.arrive(0, 0, 20_000);
                for (int n = 0;
                        ledger.items.containsKey(id) && n < ledger.items.get(id).sent.size();
                        n++) {
                    ledger.settle(id, n, AttemptOutcome.CONNECT_FAILED);
                }
                ledger.pass(300);
            }
            assertEquals(balancers > 4, ledger.told.isEmpty());
        }
    }
}

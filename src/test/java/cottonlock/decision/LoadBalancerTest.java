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

/** Basic cases, and a regression test for each failure found. */
class LoadBalancerTest {
    private static final List<RequestClass> REQUEST_CLASSES =
            List.of(
                    InvariantCheckingHost.requestClass(
                            0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                    InvariantCheckingHost.requestClass(
                            1, Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL));
    private static final List<Tenant> TWO_TENANTS =
            List.of(new Tenant(0.75, 100), new Tenant(0.25, 100));

    private static InvariantCheckingHost newHost(
            boolean firstTier, List<Tenant> tenants, int backends) {
        InvariantCheckingHost host =
                new InvariantCheckingHost(REQUEST_CLASSES, tenants, 7, firstTier, false);
        host.updateEndpoints(InvariantCheckingHost.ready(0, backends), true, true);
        return host;
    }

    private static Set<String> ids(List<Backend> lane) {
        return lane.stream().map(Backend::id).collect(Collectors.toSet());
    }

    /** Completes all attempts in flight, in the order in which their requests arrived. */
    private static void completeAll(InvariantCheckingHost host) {
        for (long id : List.copyOf(host.requests.keySet())) {
            InvariantCheckingHost.TrackedRequest request = host.requests.get(id);
            for (int n = 0; request != null && n < request.attempts.size(); n++) {
                if (request.attempts.get(n).inFlight) {
                    host.completeAttempt(id, n, AttemptOutcome.COMPLETED);
                }
            }
        }
    }

    @Example
    void laneSizesFollowSharesWithAtLeastOneBackend() {
        List<Tenant> tenants =
                List.of(new Tenant(0.5, 0), new Tenant(0.45, 0), new Tenant(0.05, 0));
        assertArrayEquals(new int[] {5, 4, 1}, LaneAssignment.laneSizes(tenants, 10));
        assertArrayEquals(new int[] {1, 1, 0}, LaneAssignment.laneSizes(tenants, 2));
        assertArrayEquals(new int[] {0, 0, 0}, LaneAssignment.laneSizes(tenants, 0));
        assertArrayEquals(new int[] {2}, LaneAssignment.laneSizes(List.of(new Tenant(0.2, 0)), 10));
        assertArrayEquals(new int[0], LaneAssignment.laneSizes(List.of(), 10));
    }

    @Example
    void delistedBackendIsUsedWhileItAnswersUnlessRemovalIsBinding() {
        for (boolean removalBinding : new boolean[] {false, true}) {
            InvariantCheckingHost host =
                    new InvariantCheckingHost(
                            REQUEST_CLASSES,
                            TWO_TENANTS,
                            5,
                            false,
                            true,
                            new DeploymentTopology(
                                    2, 0, true, 0, true, false, 100_000, removalBinding, 0));
            host.updateEndpoints(InvariantCheckingHost.ready(0, 3), true, true);
            for (int i = 0; i < 30; i++) {
                host.sendRequest(0, i % 2, 20_000);
                host.advanceTime(100);
                completeAll(host);
            }
            Endpoint draining = new Endpoint("b2", 2, 0, 1, Endpoint.State.DRAINING, 1, 0);
            host.updateEndpoints(List.of(draining), false, false);
            // Bypasses the host, which treats removal as binding: the list loses both other
            // backends.
            host.loadBalancer.onEndpointList(host.nowTicks, List.of(), true, false);
            assertEquals(
                    !removalBinding,
                    host.loadBalancer.mayUse("b0") && host.loadBalancer.mayUse("b1"));
            assertFalse(
                    host.loadBalancer.mayUse("b2"),
                    "draining is binding, whatever a later list says");
            host.advanceTime(25_000);
            assertFalse(
                    host.loadBalancer.mayUse("b0") || host.loadBalancer.mayUse("b1"),
                    "backends that no longer answer are not used");
        }
    }

    @Example
    void lanesAreDisjointAndIndependentOfListOrder() {
        InvariantCheckingHost one = newHost(true, TWO_TENANTS, 8);
        InvariantCheckingHost other =
                new InvariantCheckingHost(REQUEST_CLASSES, TWO_TENANTS, 99, false, false);
        other.updateEndpoints(InvariantCheckingHost.ready(4, 8), false, false);
        other.updateEndpoints(InvariantCheckingHost.ready(0, 4), false, false);
        Set<String> all = new HashSet<>();
        for (int t = 0; t < 2; t++) {
            assertEquals(ids(one.registry.lane(t)), ids(other.registry.lane(t)));
            all.addAll(ids(one.registry.lane(t)));
        }
        assertEquals(8, all.size());
    }

    @Example
    void requestsStayInTheirLaneWhileItIsUsable() {
        InvariantCheckingHost host = newHost(false, TWO_TENANTS, 8);
        for (int i = 0; i < 200; i++) {
            host.sendRequest(0, i % 2, 20_000);
            host.advanceTime(100);
            completeAll(host);
        }
        Set<String> smallLane = ids(host.registry.lane(1));
        long inSmall =
                host.sendTimesByBackend.entrySet().stream()
                        .filter(e -> smallLane.contains(e.getKey()))
                        .mapToLong(e -> e.getValue().size())
                        .sum();
        assertEquals(100, inSmall);
    }

    @Example
    void requestsSpillOverFromALaneWithoutUsableBackends() {
        InvariantCheckingHost host = newHost(false, TWO_TENANTS, 8);
        long id = host.sendRequest(0, 1, 20_000);
        host.completeAttempt(id, 0, AttemptOutcome.CONNECT_FAILED);
        host.completeAttempt(id, 1, AttemptOutcome.CONNECT_FAILED);
        List<String> tried =
                host.requests.get(id).attempts.stream().map(s -> s.endpoint.id()).toList();
        assertEquals(ids(host.registry.lane(1)), Set.copyOf(tried.subList(0, 2)));
        assertFalse(ids(host.registry.lane(1)).contains(tried.get(2)));
    }

    /**
     * Guards against rejecting requests while the only backend is suspected: after one broken
     * response, up to six further requests were rejected.
     */
    @Example
    void soleBackendGetsIdempotentRequestsRightAfterAFailure() {
        for (int n = 0; n < 20; n++) {
            InvariantCheckingHost host = newHost(true, TWO_TENANTS, 1);
            host.completeAttempt(
                    host.sendRequest(0, 0, 20_000), 0, AttemptOutcome.CONNECTION_BROKEN);
            host.advanceTime(1_000 + 10 * n);
            long id = host.sendRequest(0, 0, 20_000);
            assertEquals(1, host.requests.get(id).attempts.size());
            completeAll(host);
        }
    }

    /**
     * Guards against advising a retry for which the backends no longer know the idempotency key, so
     * that the request would be executed twice.
     */
    @Example
    void possiblyExecutedRequestIsRejectedOnlyWithinTheDeduplicationWindow() {
        for (long windowTicks : new long[] {2_000, 100_000}) {
            RequestClass keyed =
                    new RequestClass(
                            0,
                            10_000,
                            1,
                            0,
                            Idempotency.WITH_KEY,
                            DeduplicationScope.ALL,
                            windowTicks);
            InvariantCheckingHost host =
                    new InvariantCheckingHost(List.of(keyed), TWO_TENANTS, 7, true, false);
            host.updateEndpoints(InvariantCheckingHost.ready(0, 1), true, true);
            long id = host.sendRequest(0, 0, 20_000);
            host.advanceTime(100);
            host.completeAttempt(id, 0, AttemptOutcome.CONNECTION_BROKEN);
            assertEquals(
                    windowTicks > 10_000 ? 1 : 0,
                    host.rejectionCounts.values().stream().mapToInt(n -> n).sum());
        }
    }

    @Example
    void requestsEndByTheLimitedDeadline() {
        InvariantCheckingHost host = newHost(true, TWO_TENANTS, 1);
        long id = host.sendRequest(0, 0, 100_000);
        assertEquals(1, host.requests.get(id).attempts.size());
        host.loadBalancer.limitDeadlines(host.nowTicks + 500);
        host.advanceTime(500);
        // Idempotent and well before its latency objective, but no time is left for another
        // attempt.
        host.completeAttempt(id, 0, AttemptOutcome.TIMED_OUT);
        assertTrue(!host.requests.containsKey(id) || host.requests.get(id).completed);
    }

    /**
     * A host of a deployment in which each client has its own load balancer, and in which idle
     * connections cost something if the break-even time is above 0.
     */
    private static InvariantCheckingHost unevenlyLoadedHost(
            int ownIndex, double connectionBreakEvenTicks, int backends) {
        InvariantCheckingHost host =
                new InvariantCheckingHost(
                        REQUEST_CLASSES,
                        List.of(new Tenant(1, 100)),
                        7 + ownIndex,
                        true,
                        true,
                        new DeploymentTopology(
                                200,
                                ownIndex,
                                false,
                                connectionBreakEvenTicks,
                                false,
                                false,
                                0,
                                true,
                                0));
        host.updateEndpoints(InvariantCheckingHost.ready(0, backends), true, true);
        return host;
    }

    /**
     * Guards against an independent draw for each retry: under overload, nearly all requests were
     * admitted by their fourth try.
     */
    @Example
    void clientRetryWithTheSameEstimatedWorkGetsTheSameDecision() {
        InvariantCheckingHost host = unevenlyLoadedHost(0, 0, 8);
        int admitted = 0;
        for (int estimatedWorkTicks = 1; estimatedWorkTicks <= 100; estimatedWorkTicks++) {
            boolean firstAdmitted =
                    host.requests.containsKey(host.sendRequest(0, 0, 20_000, estimatedWorkTicks));
            completeAll(host);
            for (int n = 0; n < 3; n++) {
                assertEquals(
                        firstAdmitted,
                        host.requests.containsKey(
                                host.sendRequest(0, 0, 20_000, estimatedWorkTicks)));
                completeAll(host);
            }
            admitted += firstAdmitted ? 1 : 0;
        }
        assertTrue(admitted > 30 && admitted < 90, admitted + " of 100 admitted");
    }

    /**
     * Guards against hundreds of load balancers that each hold a connection to nearly every
     * backend, so that many of them get none.
     */
    @Example
    void costlyConnectionsAreFewAndClosedWhenIdle() {
        Set<String> all = new HashSet<>();
        for (int ownIndex = 0; ownIndex < 30; ownIndex++) {
            InvariantCheckingHost host = unevenlyLoadedHost(ownIndex, 100, 8);
            for (int n = 0; n < 40; n++) {
                host.sendRequest(0, 0, 20_000);
                completeAll(host);
                host.advanceTime(100);
            }
            assertTrue(
                    host.sendTimesByBackend.size() == 1,
                    host.sendTimesByBackend.keySet() + " used with one request at a time");
            assertTrue(host.closedBackends.isEmpty());
            host.advanceTime(1_500);
            assertEquals(List.copyOf(host.sendTimesByBackend.keySet()), host.closedBackends);
            all.addAll(host.sendTimesByBackend.keySet());
        }
        assertTrue(
                all.size() >= 6,
                "load balancers should differ in the backends that they use: " + all);
    }

    /**
     * Guards against taking a stall of the load balancer for silence of backends, whose responses
     * had waited for the stalled process.
     */
    @Example
    void backendsAreNotSilentAfterAStall() {
        InvariantCheckingHost host = newHost(true, TWO_TENANTS, 8);
        for (int n = 0; n < 60; n++) {
            host.sendRequest(0, n % 2, 20_000);
            host.advanceTime(50);
            completeAll(host);
        }
        long id = host.sendRequest(0, 0, 20_000);
        host.nowTicks += 4_000;
        host.loadBalancer.onTimer(host.nowTicks);
        assertFalse(host.requests.get(id).attempts.get(0).cancelled);
        host.advanceTime(5_000);
        assertTrue(
                host.requests.get(id).attempts.get(0).cancelled,
                "silence after the stall is detected");
    }

    /**
     * Guards against limiting a tenant to its lane's rate while all other backends are idle, as
     * seen with many load balancers at low load.
     */
    @Example
    void idleBackendsAreLentToALane() {
        InvariantCheckingHost host =
                newHosts(50, List.of(new Tenant(0.05, 1), new Tenant(0.95, 1_000))).get(0);
        host.updateEndpoints(InvariantCheckingHost.ready(0, 20), true, true);
        int[] admitted = new int[2];
        for (int i = 0; i < 400; i++) {
            long id = host.sendRequest(0, 0, 60_000);
            admitted[host.nowTicks < 40_000 ? 0 : 1] += host.requests.containsKey(id) ? 1 : 0;
            host.advanceTime(500);
            completeAll(host);
        }
        assertTrue(
                admitted[1] > 20 * admitted[0],
                admitted[0] + " admitted before the load was known, " + admitted[1] + " after");
    }

    @Example
    void emptyEndpointListRejectsAtOnce() {
        InvariantCheckingHost host = newHost(true, TWO_TENANTS, 0);
        host.sendRequest(0, 0, 20_000);
        assertTrue(host.requests.isEmpty());
    }

    @Example
    void requestsOverQuotaAreRejectedFirst() {
        InvariantCheckingHost host =
                newHost(true, List.of(new Tenant(0.5, 1_000), new Tenant(0.5, 2)), 4);
        int[] admitted = new int[2];
        for (int i = 0; i < 400; i++) {
            InvariantCheckingHost.TrackedRequest request =
                    host.requests.get(host.sendRequest(0, i % 2, 20_000));
            admitted[i % 2] += request == null ? 0 : 1;
            if (i % 16 == 15) {
                completeAll(host);
            }
            host.advanceTime(100);
        }
        assertTrue(
                admitted[0] > admitted[1],
                admitted[0] + " admitted within quota, " + admitted[1] + " over quota");
    }

    /**
     * Completes the attempts that have been in flight for at least a given time, and returns the
     * number of requests still in flight.
     */
    private static int completeOlder(
            InvariantCheckingHost host, Map<Long, Long> sentAtTicks, long minAgeTicks) {
        for (long id : List.copyOf(host.requests.keySet())) {
            InvariantCheckingHost.TrackedRequest request = host.requests.get(id);
            if (request != null
                    && request.attempts.size() == 1
                    && request.attempts.get(0).inFlight
                    && host.nowTicks - sentAtTicks.get(id) >= minAgeTicks) {
                host.completeAttempt(id, 0, AttemptOutcome.COMPLETED);
            }
        }
        return (int)
                host.requests.values().stream()
                        .filter(i -> i.attempts.stream().anyMatch(s -> s.inFlight))
                        .count();
    }

    /**
     * Guards against requests over quota that raise the concurrency limit by their own concurrency,
     * until a hundred small load balancers were overloaded.
     */
    @Example
    void requestsOverQuotaDoNotRaiseTheConcurrencyLimit() {
        InvariantCheckingHost host =
                new InvariantCheckingHost(
                        REQUEST_CLASSES, List.of(new Tenant(1, 2)), 7, true, false, true, 9);
        host.updateEndpoints(InvariantCheckingHost.ready(0, 18), true, true);
        Map<Long, Long> sentAtTicks = new HashMap<>();
        int maxInFlight = 0;
        for (int i = 0; i < 1_000; i++) {
            sentAtTicks.put(host.sendRequest(0, 0, 20_000), host.nowTicks);
            host.advanceTime(50);
            int inFlight = completeOlder(host, sentAtTicks, 1_500 + 300L * maxInFlight);
            maxInFlight = Math.max(maxInFlight, inFlight);
        }
        // Two for each of this load balancer's share of two backends, one from the random draw, and
        // a few requests that are within the quota.
        assertTrue(
                maxInFlight <= 8,
                () ->
                        "too many requests over quota in flight at one of nine load balancers with"
                                + " 18 backends");
        assertTrue(maxInFlight >= 4, "requests over quota are admitted while there is no pressure");
    }

    /**
     * Guards against too short windows: with long latency objectives, two seconds hold too few
     * responses to measure a calm latency.
     */
    @Example
    void statisticsWindowsFollowLatencyObjectives() {
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
                "few load balancers");
        InvariantCheckingHost host =
                new InvariantCheckingHost(
                        REQUEST_CLASSES,
                        TWO_TENANTS,
                        7,
                        true,
                        true,
                        new DeploymentTopology(9, 0, true, 0, true, false, 100_000, true, 60_000));
        host.updateEndpoints(InvariantCheckingHost.ready(0, 3), true, true);
        host.sendRequest(0, 0, 20_000);
        completeAll(host);
        host.advanceTime(30_000);
        Backend usedBackend =
                host.registry.all().stream()
                        .filter(b -> host.sendTimesByBackend.containsKey(b.id()))
                        .findFirst()
                        .orElseThrow();
        assertEquals(
                1,
                usedBackend.recentSuccesses(host.nowTicks),
                "a response of three seconds ago, half a latency objective, still counts");
    }

    @Example
    void failedSubscriptionsAreRepeatedInTime() {
        InvariantCheckingHost host =
                new InvariantCheckingHost(REQUEST_CLASSES, TWO_TENANTS, 3, true, true);
        host.updateEndpoints(InvariantCheckingHost.ready(0, 3), true, true);
        assertEquals(1, host.subscriptionCount);
        for (int i = 2; i < 20; i++) {
            host.loadBalancer.onEndpointListFailed(host.nowTicks);
            host.advanceTime(26_000);
            assertEquals(i, host.subscriptionCount);
        }
    }

    /**
     * Guards against sending a queued request after its client has disconnected, as seen during the
     * loss of a zone.
     */
    @Example
    void queuedRequestOfADisconnectedClientIsNotSent() {
        InvariantCheckingHost host = newHost(true, TWO_TENANTS, 2);
        for (int i = 0; i < 8; i++) {
            host.sendRequest(0, 0, 20_000);
        }
        for (long id : List.copyOf(host.requests.keySet())) {
            if (host.requests.get(id).attempts.isEmpty()) {
                host.disconnectClient(id);
            }
        }
        completeAll(host);
        host.advanceTime(1_000);
        assertTrue(host.requests.isEmpty());
    }

    /**
     * Guards against a limit computed as zero times infinity, with which no first request was
     * admitted.
     */
    @Example
    void newLoadBalancerAdmitsItsFirstRequest() {
        InvariantCheckingHost host = newHost(true, TWO_TENANTS, 6);
        long id = host.sendRequest(0, 0, 20_000);
        assertEquals(1, host.requests.get(id).attempts.size());
    }

    /**
     * Guards against requests at silent backends that use up the concurrency limit, so that all
     * others were rejected, as seen during the loss of a zone.
     */
    @Example
    void requestsAtSilentBackendsReleaseTheirCapacity() {
        InvariantCheckingHost host = newHost(true, List.of(), 6);
        for (int i = 0; i < 300; i++) {
            host.sendRequest(1, 0, 60_000);
            host.advanceTime(100);
            for (long id : List.copyOf(host.requests.keySet())) {
                InvariantCheckingHost.TrackedRequest request = host.requests.get(id);
                if (!request.attempts.isEmpty() && request.attempts.get(0).endpoint.zone() != 0) {
                    host.completeAttempt(id, 0, AttemptOutcome.COMPLETED);
                }
            }
        }
        long id = host.sendRequest(0, 0, 20_000);
        assertTrue(host.requests.containsKey(id), "rejected while backends are idle");
    }

    /** Guards against counting overdue responses as successes, as seen with slow backends. */
    @Example
    void slowBackendGetsFewerRequests() {
        InvariantCheckingHost host = newHost(false, List.of(), 4);
        for (int i = 0; i < 400; i++) {
            host.sendRequest(0, 0, 60_000);
            host.advanceTime(100);
            for (long id : List.copyOf(host.requests.keySet())) {
                InvariantCheckingHost.TrackedAttempt attempt =
                        host.requests.get(id).attempts.get(0);
                if (attempt.inFlight
                        && host.nowTicks - attempt.sentAtTicks
                                >= (attempt.endpoint.id().equals("b0") ? 3_000 : 100)) {
                    host.completeAttempt(id, 0, AttemptOutcome.COMPLETED);
                }
            }
        }
        assertTrue(
                host.sendTimesByBackend.get("b0").size() * 2
                        < host.sendTimesByBackend.get("b1").size(),
                host.sendTimesByBackend.get("b0").size() + " to the slow one");
    }

    /**
     * Guards against a minimum concurrency of two instead of four requests per backend within
     * quota, as seen at full load; few responses do not raise the limit above the minimum.
     */
    @Example
    void minimumConcurrencyPerBackendHoldsFromTheStart() {
        for (int[] counts : new int[][] {{1, 4}, {3, 12}, {16, 35}, {90, 150}, {120, 300}}) {
            for (double quota : new double[] {100_000, 0.1}) {
                InvariantCheckingHost host =
                        new InvariantCheckingHost(
                                REQUEST_CLASSES,
                                List.of(new Tenant(1, quota)),
                                counts[0],
                                true,
                                true,
                                new DeploymentTopology(
                                        counts[0], 0, true, 0, true, false, 100_000, true, 60_000));
                host.updateEndpoints(InvariantCheckingHost.ready(0, counts[1]), true, true);
                for (int i = 0; i < 10 * counts[1]; i++) {
                    host.sendRequest(0, 0, 200_000);
                }
                long sent =
                        host.requests.values().stream()
                                .filter(request -> !request.attempts.isEmpty())
                                .count();
                double perBackend = (double) sent * counts[0] / counts[1];
                // The fraction below one is drawn at random; the quota's token bucket admits four
                // requests that are not over quota.
                double tolerance = (quota < 1 ? 5.0 : 1.0) * counts[0] / counts[1];
                double expectedPerBackend = quota < 1 ? 2 : 4;
                assertTrue(
                        perBackend >= expectedPerBackend - tolerance
                                && perBackend <= expectedPerBackend + tolerance,
                        perBackend
                                + " per backend, quota "
                                + quota
                                + " at "
                                + counts[0]
                                + " load balancers");
            }
        }
    }

    /**
     * Guards against overdue requests at healthy backends that use up the concurrency limit, as
     * seen at full load with a zone cut off. A backend with no other request in flight also counted
     * as silent until they timed out.
     */
    @Example
    void overdueRequestsAtAnsweringBackendsReleaseTheirCapacity() {
        for (int[] counts : new int[][] {{1, 6}, {2, 6}, {16, 35}, {90, 150}, {120, 300}}) {
            InvariantCheckingHost host =
                    new InvariantCheckingHost(
                            REQUEST_CLASSES,
                            List.of(),
                            counts[0],
                            true,
                            true,
                            new DeploymentTopology(
                                    counts[0], 0, true, 0, true, false, 100_000, true, 10_000));
            host.updateEndpoints(InvariantCheckingHost.ready(0, counts[1]), true, true);
            for (int i = 0; i < 1_000; i++) {
                // A part of what this load balancer's share of the backends can hold, of which a
                // tenth is never answered.
                host.sendRequest(1, 0, 5_000_000);
                host.advanceTime(1_000L * counts[0] / counts[1]);
                host.completeOldest(1_000, Integer.MAX_VALUE, id -> id % 10 != 0);
            }
            assertTrue(
                    host.rejectionCounts.isEmpty(),
                    "rejected for "
                            + host.rejectionCounts
                            + " at "
                            + counts[0]
                            + " load balancers");
        }
    }

    /**
     * Guards against requests with long latency objectives that fill the queue and keep it full, as
     * seen at full load with a zone cut off.
     */
    @Example
    void noRequestClassStarvesInTheQueue() {
        for (int[] counts : new int[][] {{1, 4}, {2, 8}, {16, 35}, {90, 150}}) {
            List<RequestClass> requestClasses =
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
            InvariantCheckingHost host =
                    new InvariantCheckingHost(
                            requestClasses,
                            List.of(new Tenant(1, 100_000)),
                            counts[0],
                            true,
                            true,
                            new DeploymentTopology(
                                    counts[0], 0, true, 0, true, false, 100_000, true, 27_500));
            host.updateEndpoints(InvariantCheckingHost.ready(0, counts[1]), true, true);
            SplittableRandom random = new SplittableRandom(counts[0]);
            int[] finished = new int[2];
            for (int i = 0; i < 6_000; i++) {
                // Twice the capacity, on average half of it from each request class.
                host.sendRequest(random.nextInt(2), 0, 200_000);
                host.sendRequest(random.nextInt(2), 0, 200_000);
                host.advanceTime(100);
                int[] completed = host.completeOldest(1_000, 1, id -> true);
                finished[0] += completed[0];
                finished[1] += completed[1];
            }
            for (int c = 0; c < 2; c++) {
                assertTrue(
                        finished[c] * 2 > finished[1 - c],
                        finished[0]
                                + " with short latency objectives completed, "
                                + finished[1]
                                + " with long ones, at "
                                + counts[0]
                                + " load balancers");
            }
        }
    }

    /**
     * Guards against rejected attempts that do not lower the admitted load, as seen with backends
     * that have no queues.
     */
    @Example
    void rejectedAttemptsLowerTheConcurrencyLimit() {
        InvariantCheckingHost host = newHost(true, List.of(), 8);
        for (int i = 0; i < 200; i++) {
            host.sendRequest(0, 0, 60_000);
            host.advanceTime(100);
            for (long id : List.copyOf(host.requests.keySet())) {
                for (int n = 0;
                        host.requests.containsKey(id) && n < host.requests.get(id).attempts.size();
                        n++) {
                    if (host.requests.get(id).attempts.get(n).inFlight) {
                        host.completeAttempt(id, n, AttemptOutcome.REJECTED);
                    }
                }
            }
        }
        long before = host.sendTimesByBackend.values().stream().mapToLong(List::size).sum();
        for (int i = 0; i < 40; i++) {
            host.sendRequest(0, 0, 60_000);
        }
        long more = host.sendTimesByBackend.values().stream().mapToLong(List::size).sum() - before;
        assertFalse(more > 20, more + " admitted at once");
    }

    /**
     * Guards against each load balancer losing requests to detect a loss that its peers already
     * know, as seen during the loss of a zone.
     */
    @Example
    void lossesReportedByPeersAreUsedButNotForwarded() {
        InvariantCheckingHost reporter = newHost(false, List.of(), 2);
        for (int i = 0; i < 40; i++) {
            long id = reporter.sendRequest(0, 0, 20_000);
            for (int n = 0;
                    reporter.requests.containsKey(id)
                            && n < reporter.requests.get(id).attempts.size();
                    n++) {
                boolean lost = reporter.requests.get(id).attempts.get(n).endpoint.id().equals("b0");
                reporter.completeAttempt(
                        id, n, lost ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.COMPLETED);
            }
            reporter.advanceTime(300);
        }
        assertEquals(Set.of("b0"), Set.copyOf(reporter.peerMessages));
        InvariantCheckingHost receiver = newHost(false, List.of(), 2);
        receiver.loadBalancer.onPeerMessage(receiver.nowTicks, "b0".getBytes(UTF_8));
        receiver.advanceTime(600);
        assertTrue(receiver.peerMessages.isEmpty());
        for (int i = 0; i < 40; i++) {
            receiver.loadBalancer.onPeerMessage(receiver.nowTicks, "b0".getBytes(UTF_8));
            receiver.sendRequest(0, 0, 20_000);
            receiver.advanceTime(300);
            for (long id : List.copyOf(receiver.requests.keySet())) {
                if (receiver.requests.get(id).attempts.get(0).endpoint.id().equals("b1")) {
                    receiver.completeAttempt(id, 0, AttemptOutcome.COMPLETED);
                }
            }
        }
        assertTrue(
                receiver.sendTimesByBackend.get("b1").size() > 25,
                receiver.sendTimesByBackend.toString());
    }

    private static List<InvariantCheckingHost> newHosts(int loadBalancers, List<Tenant> tenants) {
        List<InvariantCheckingHost> hosts = new ArrayList<>();
        for (int n = 0; n < loadBalancers; n++) {
            hosts.add(
                    new InvariantCheckingHost(
                            REQUEST_CLASSES, tenants, n, true, false, true, loadBalancers));
        }
        return hosts;
    }

    /**
     * Guards against simultaneous requests from hundreds of load balancers, one from each, that
     * overload a cold backend.
     */
    @Example
    void manyLoadBalancersTogetherDoNotOverloadAColdBackend() {
        int loadBalancers = 200;
        List<Long> sent = new ArrayList<>();
        for (InvariantCheckingHost host : newHosts(loadBalancers, List.of())) {
            List<Endpoint> endpoints = new ArrayList<>(InvariantCheckingHost.ready(0, 20));
            host.updateEndpoints(endpoints, true, true);
            for (int i = 0; i < 60; i++) {
                host.sendRequest(0, 0, 20_000);
                host.advanceTime(1_000);
                completeAll(host);
                if (i == 20) {
                    Endpoint fresh =
                            new Endpoint("b3", 0, 0, 1, Endpoint.State.READY, 1, host.nowTicks);
                    host.updateEndpoints(List.of(fresh), false, false);
                }
            }
            List<Long> toFresh = host.sendTimesByBackend.getOrDefault("b3", List.of());
            sent.addAll(toFresh.stream().filter(at -> at > 20_900).toList());
        }
        // Counts on 10 requests per second from the 200 load balancers to each warm backend; a cold
        // one is overloaded by the multiple of its share of that.
        double overloadCount =
                InvariantCheckingHost.OVERLOAD_MULTIPLE
                        * InvariantCheckingHost.INITIAL_FRACTION
                        * 10
                        * InvariantCheckingHost.OVERLOAD_WINDOW_TICKS
                        / 10_000.0;
        long inWindow =
                sent.stream()
                        .filter(at -> at <= 20_900 + InvariantCheckingHost.OVERLOAD_WINDOW_TICKS)
                        .count();
        assertTrue(
                inWindow <= overloadCount,
                inWindow + " sent in the first window, overloaded above " + overloadCount);
        assertTrue(inWindow > 0, "a cold backend gets requests");
    }

    /**
     * Guards against a minimum limit of one request per load balancer: with hundreds of load
     * balancers, these added up and overloaded all backends.
     */
    @Example
    void manyLoadBalancersTogetherAdmitWhatTheBackendsCanHold() {
        long held = 0;
        for (InvariantCheckingHost host : newHosts(100, List.of(new Tenant(1, 1_000)))) {
            host.updateEndpoints(InvariantCheckingHost.ready(0, 10), true, true);
            for (int i = 0; i < 200; i++) {
                host.sendRequest(0, 0, 60_000);
                host.advanceTime(1_000);
                for (long id : List.copyOf(host.requests.keySet())) {
                    if (host.nowTicks - host.requests.get(id).attempts.get(0).sentAtTicks
                            >= 3_000) {
                        host.completeAttempt(id, 0, AttemptOutcome.COMPLETED);
                    }
                }
            }
            // By Little's law: the requests admitted per second multiplied by the 0.3 s for which
            // each is in flight.
            held +=
                    host.sendTimesByBackend.values().stream()
                            .flatMap(List::stream)
                            .filter(at -> at > 100_000)
                            .count();
        }
        held = held * 3 / 100;
        assertTrue(held > 20 && held < 70, held + " in flight at ten backends together");
    }

    /**
     * Guards against taking a typical latency for silence: at a start with many load balancers,
     * nearly all backends counted as silent in the first second.
     */
    @Example
    void typicalLatencyIsNotSilence() {
        InvariantCheckingHost host = newHost(true, List.of(), 10);
        for (int i = 0; i < 10; i++) {
            host.sendRequest(0, 0, 60_000);
        }
        host.advanceTime(3_000);
        assertTrue(host.peerMessages.isEmpty(), "reported to peers: " + host.peerMessages);
        assertTrue(
                host.requests.values().stream().allMatch(request -> request.attempts.size() == 1));
    }

    /**
     * Guards against overloaded lanes beside idle ones, as seen with many load balancers for two of
     * eight lanes.
     */
    @Example
    void requestsSpillOverFromACrowdedLane() {
        int outside = 0;
        for (InvariantCheckingHost host : newHosts(20, TWO_TENANTS)) {
            host.updateEndpoints(InvariantCheckingHost.ready(0, 20), true, true);
            Set<String> smallLane = ids(host.registry.lane(1));
            for (int i = 0; i < 60; i++) {
                host.sendRequest(0, i % 3 == 0 ? 0 : 1, 60_000);
                host.advanceTime(900);
                for (long id : List.copyOf(host.requests.keySet())) {
                    for (InvariantCheckingHost.TrackedAttempt attempt :
                            List.copyOf(host.requests.get(id).attempts)) {
                        long latencyTicks = smallLane.contains(attempt.endpoint.id()) ? 4_000 : 500;
                        if (attempt.inFlight
                                && host.nowTicks - attempt.sentAtTicks >= latencyTicks) {
                            host.completeAttempt(id, 0, AttemptOutcome.COMPLETED);
                        }
                    }
                }
            }
            outside += host.countSpilledOver(1, smallLane);
        }
        assertTrue(outside > 50, outside + " of the crowded lane's requests spilled over");
    }

    /**
     * Guards against a rate limit that stays low after an overload, because too few requests are
     * admitted to measure that it has ended.
     */
    @Example
    void laneRateRecoversAfterAnOverload() {
        InvariantCheckingHost host = newHosts(200, TWO_TENANTS).get(0);
        host.updateEndpoints(InvariantCheckingHost.ready(0, 50), true, true);
        int[] admitted = new int[2];
        for (int i = 0; i < 800; i++) {
            long id = host.sendRequest(0, 0, 60_000);
            admitted[i / 400] += host.requests.containsKey(id) ? 1 : 0;
            for (int n = 0;
                    host.requests.containsKey(id) && n < host.requests.get(id).attempts.size();
                    n++) {
                host.completeAttempt(
                        id, n, i < 400 ? AttemptOutcome.REJECTED : AttemptOutcome.COMPLETED);
            }
            host.advanceTime(500);
        }
        assertTrue(
                admitted[1] > admitted[0] * 1.3,
                admitted[0] + " admitted during the overload, " + admitted[1] + " after");
    }

    /**
     * Guards against overloading the slower kind of machine where the list gives equal weights: it
     * held the most requests and was overloaded first.
     */
    @Example
    void slowerMachineKindGetsFewerRequests() {
        InvariantCheckingHost host = newHost(false, List.of(), 20);
        int[] byKind = new int[2];
        for (int i = 0; i < 800; i++) {
            long id = host.sendRequest(0, 0, 60_000);
            byKind[host.requests.get(id).attempts.get(0).endpoint.machineKind()]++;
            host.advanceTime(100);
            for (long requestId : List.copyOf(host.requests.keySet())) {
                InvariantCheckingHost.TrackedAttempt attempt =
                        host.requests.get(requestId).attempts.get(0);
                if (host.nowTicks - attempt.sentAtTicks
                        >= (attempt.endpoint.machineKind() == 1 ? 600 : 300)) {
                    host.completeAttempt(requestId, 0, AttemptOutcome.COMPLETED);
                }
            }
        }
        assertTrue(
                byKind[1] * 3 < byKind[0] * 2,
                byKind[1] + " to the slower kind, others " + byKind[0]);
    }

    /**
     * Guards against keeping backends that are gone for good, and iterating over them, as long as
     * the load balancer runs.
     */
    @Example
    void removedBackendsAreForgotten() {
        InvariantCheckingHost host = newHost(false, TWO_TENANTS, 4);
        for (int i = 4; i < 100; i++) {
            host.updateEndpoints(InvariantCheckingHost.ready(i, i + 4), true, false);
            host.advanceTime(100);
        }
        assertEquals(4, host.registry.all().size());
    }

    /**
     * Guards against false detections by many load balancers that add up, so that healthy backends
     * were avoided.
     */
    @Example
    void manyLoadBalancersDoNotReportLosses() {
        for (int loadBalancers : new int[] {2, 200}) {
            InvariantCheckingHost host =
                    new InvariantCheckingHost(
                            REQUEST_CLASSES, List.of(), 1, false, false, true, loadBalancers);
            host.updateEndpoints(InvariantCheckingHost.ready(0, 4), true, true);
            for (int i = 0; i < 20; i++) {
                long id = host.sendRequest(0, 0, 20_000);
                for (int n = 0;
                        host.requests.containsKey(id) && n < host.requests.get(id).attempts.size();
                        n++) {
                    host.completeAttempt(id, n, AttemptOutcome.CONNECT_FAILED);
                }
                host.advanceTime(300);
            }
            assertEquals(loadBalancers > 4, host.peerMessages.isEmpty());
        }
    }
}

package cottonlock.decision.backend;

import static java.util.stream.Collectors.toSet;

import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.Endpoint;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.SlowStartConfig;
import cottonlock.decision.api.Tenant;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The backends that this load balancer knows. It applies the endpoint list, passes the events of
 * attempts to the classes that rate backends, and gives the stages of the load balancer access to
 * them. Owned by the load balancer's thread; times and durations are in {@link
 * cottonlock.core.Ticks}.
 *
 * <p>A backend that is draining or gone is kept until none of its attempts is in flight.
 */
public final class BackendRegistry {
    private static final long NO_STALL = -1;

    private final LoadBalancerActions actions;
    private final DeploymentTopology topology;
    private final SlowStartConfig slowStartConfig;

    /** By id, in the order of the ids, which fixes the order of random draws. */
    private final Map<String, Backend> backendsById = new TreeMap<>();

    private final ReadyBackends ready;
    private final EndpointListFreshness listFreshness;
    private final PeerExchange peerExchange;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final LoadTracker load;
    private final LaneLoad laneLoad;
    private final BackendEligibility eligibility;

    /** When the last stall of this process was detected; {@code stallTicks} is its duration. */
    private long stallNoticedAtTicks = NO_STALL;

    private long stallTicks;

    /**
     * A registry without backends.
     *
     * @param random the source of all random draws of this package
     */
    public BackendRegistry(
            LoadBalancerActions actions,
            SplittableRandom random,
            List<Tenant> tenants,
            DeploymentTopology topology,
            SlowStartConfig slowStartConfig) {
        this.actions = actions;
        this.topology = topology;
        this.slowStartConfig = slowStartConfig;
        ready = new ReadyBackends(tenants, topology, backendsById.values());
        listFreshness = new EndpointListFreshness(actions, random, topology);
        peerExchange = new PeerExchange(actions, topology);
        outliers = new OutlierDetector(topology, random);
        slowStart = new SlowStart(slowStartConfig, topology, random);
        load = new LoadTracker(topology);
        laneLoad = new LaneLoad(topology, random, ready, load, slowStart);
        eligibility = new BackendEligibility(topology, ready, load, slowStart, outliers);
    }

    /** How the deployment is laid out. */
    public DeploymentTopology topology() {
        return topology;
    }

    /** All known backends, by id; a view that follows changes. */
    public Collection<Backend> all() {
        return Collections.unmodifiableCollection(backendsById.values());
    }

    /** The backends that accept new requests, in this load balancer's order of preference. */
    public List<Backend> ready() {
        return ready.all();
    }

    /** The backends of a tenant's lane, in the same order. */
    public List<Backend> lane(int tenant) {
        return ready.lane(tenant);
    }

    /** The ready backends that are in no lane, in the same order. */
    public List<Backend> unassigned() {
        return ready.unassigned();
    }

    /** Whether a backend is known and accepts new requests. */
    public boolean isReady(String backendId) {
        Backend backend = backendsById.get(backendId);
        return backend != null && !backend.isLeaving();
    }

    /** How many of the ready backends get almost no requests because they are suspected. */
    public long countAvoided(long nowTicks) {
        return outliers.countAvoided(ready.all(), nowTicks);
    }

    /** The detector of outliers, which rates backends by outcomes, latency and silence. */
    public OutlierDetector outliers() {
        return outliers;
    }

    /** The load and latency of this load balancer's attempts. */
    public LoadTracker load() {
        return load;
    }

    /** The load and capacity of lanes. */
    public LaneLoad laneLoad() {
        return laneLoad;
    }

    /** The rules for which backends a request may be sent to. */
    public BackendEligibility eligibility() {
        return eligibility;
    }

    /**
     * This process was stalled until now. The stall does not count as silence of backends, and
     * latencies of the events handled at this time measure the stall.
     */
    public void onStall(long nowTicks, long stalledForTicks) {
        stallNoticedAtTicks = nowTicks;
        stallTicks = stalledForTicks;
        load.onStall(nowTicks);
        for (Backend backend : backendsById.values()) {
            backend.lastSignOfLifeTicks =
                    Math.min(nowTicks, backend.lastSignOfLifeTicks + stalledForTicks);
        }
    }

    /** Whether a stall of this process was detected at exactly this time. */
    public boolean isResumingFromStall(long nowTicks) {
        return nowTicks == stallNoticedAtTicks;
    }

    /** The duration of the stall that was detected at exactly this time; 0 if there was none. */
    public long stallTicks(long nowTicks) {
        return isResumingFromStall(nowTicks) ? stallTicks : 0;
    }

    /**
     * The endpoint list, or changes to it, have arrived.
     *
     * @param complete whether it is the complete list, so that backends missing from it are removed
     * @param cached whether it was kept from an earlier run and may be out of date
     */
    public void onEndpointList(
            long nowTicks, List<Endpoint> endpoints, boolean complete, boolean cached) {
        if (complete) {
            Set<String> listed = endpoints.stream().map(Endpoint::id).collect(toSet());
            backendsById.values().stream()
                    .filter(backend -> !listed.contains(backend.id()))
                    .forEach(backend -> delist(backend, nowTicks));
        }
        for (Endpoint endpoint : endpoints) {
            Backend backend =
                    backendsById.computeIfAbsent(endpoint.id(), id -> newBackend(endpoint));
            backend.update(endpoint);
            if (endpoint.state() == Endpoint.State.DRAINING) {
                backend.markLeaving();
            } else if (endpoint.state() == Endpoint.State.GONE) {
                delist(backend, nowTicks);
            }
        }
        removeLeft();
        listFreshness.onList(cached);
    }

    private Backend newBackend(Endpoint endpoint) {
        return new Backend(endpoint, slowStartConfig, topology.meanLatencyObjectiveTicks());
    }

    /**
     * Handles a backend that has left the list without draining. Where removal is not binding, it
     * is used as long as it answers.
     */
    private void delist(Backend backend, long nowTicks) {
        backend.delisted = !topology.removalBinding();
        if (!backend.delisted || !hasRecentSuccess(backend, nowTicks)) {
            backend.markLeaving();
        }
    }

    private static boolean hasRecentSuccess(Backend backend, long nowTicks) {
        return backend.successes.sum(nowTicks) > 0;
    }

    private void removeLeft() {
        backendsById.values().removeIf(backend -> backend.isLeaving() && backend.inFlight == 0);
        ready.onChange();
    }

    /** A subscription to the endpoint list has failed or ended. */
    public void onEndpointListFailed(long nowTicks) {
        listFreshness.onFailure(nowTicks);
    }

    /**
     * Periodic maintenance: polls the list if due, samples the load, closes idle connections,
     * updates relative speeds and the rate for slow start, and removes delisted backends that no
     * longer answer.
     */
    public void maintain(long nowTicks) {
        listFreshness.pollIfDue(nowTicks);
        load.sampleInFlight(backendsById.values(), nowTicks);
        closeIdleConnections(nowTicks);
        load.updateRelativeSpeeds(ready.all(), nowTicks);
        slowStart.updateCompletionRate(ready.all(), nowTicks);
        removeSilentDelisted(nowTicks);
    }

    /** Closes connections that have been idle for so long that opening new ones is cheaper. */
    private void closeIdleConnections(long nowTicks) {
        double maxIdleTicks = topology.connectionBreakEvenTicks() * ready.count();
        for (Backend backend : backendsById.values()) {
            boolean idleTooLong = nowTicks - backend.idleSinceTicks > maxIdleTicks;
            if (idleTooLong
                    && topology.connectionBreakEvenTicks() > 0
                    && backend.connectionMayBeOpen
                    && backend.inFlight == 0) {
                backend.connectionMayBeOpen = false;
                actions.closeIdleConnections(backend.id());
            }
        }
    }

    private void removeSilentDelisted(long nowTicks) {
        List<Backend> delisted = ready.all().stream().filter(backend -> backend.delisted).toList();
        if (delisted.stream().anyMatch(backend -> !hasRecentSuccess(backend, nowTicks))) {
            delisted.forEach(backend -> delist(backend, nowTicks));
            removeLeft();
        }
    }

    /** Notifies peers of the backends found lost since the previous call. */
    public void reportLossesToPeers() {
        peerExchange.reportLosses(backendsById.values(), ready.count());
    }

    /** A peer has sent a message by its {@link #reportLossesToPeers}. */
    public void onPeerMessage(long nowTicks, byte[] message) {
        for (String backendId : PeerExchange.lostBackendIds(message)) {
            Backend backend = backendsById.get(backendId);
            if (backend != null) {
                outliers.onPeerReport(backend, nowTicks);
            }
        }
    }

    /** An attempt of a request is being sent to a backend. */
    public void onAttemptSent(Backend backend, BackendRequest request, long nowTicks) {
        outliers.onSent(backend, nowTicks);
        if (outliers.isWithoutAssumedLatency()) {
            load.onFirstSent(nowTicks);
            outliers.assumeLatency(request);
        }
        backend.connectionMayBeOpen = true;
        backend.inFlight++;
        backend.requestsInFlight.put(request.id(), request);
        load.onSent(request, nowTicks);
        slowStart.onSent(backend, nowTicks);
    }

    /** A backend has begun to respond to an attempt in flight. */
    public void onResponseBegun(Backend backend, long nowTicks) {
        outliers.onResponseBegun(backend, nowTicks);
    }

    /** A backend was found silent with an attempt in flight; called once for each attempt. */
    public void onSilenceDetected(Backend backend, long nowTicks) {
        outliers.onSilenceDetected(backend, nowTicks);
    }

    /** An attempt has ended. */
    public void onAttemptCompleted(CompletedAttempt attempt, long nowTicks) {
        // Latencies are counted for the lane that the backend is in now.
        ready.refreshIfStale();
        boolean measurable = !isResumingFromStall(nowTicks);
        outliers.onCompleted(attempt, measurable, nowTicks);
        load.onCompleted(attempt, measurable, nowTicks);
        Backend backend = attempt.backend();
        if (attempt.outcome() == AttemptOutcome.COMPLETED) {
            backend.completions.add(nowTicks, 1);
        }
        backend.inFlight--;
        backend.idleSinceTicks = nowTicks;
        backend.requestsInFlight.remove(attempt.request().id());
    }
}

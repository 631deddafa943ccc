package cottonlock.lab.scale;

import cottonlock.core.Deterministic;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Quantities that are not measured but derived from the operators' design, the program's constants
 * and measured slopes; {@code worked:NAME} in {@code budget.toml} refers to them. A quantity is NaN
 * if one that it depends on was not measured. Times are in seconds unless the name says otherwise.
 */
@Deterministic
final class DerivedQuantities {
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double BYTES_PER_MB = 1 << 20;

    /** The load balancer's unit of time is a tick of 0.1 ms. */
    private static final double TICKS_PER_SECOND = 10_000;

    private final Map<String, Double> given;
    private final Map<String, Double> figures = new LinkedHashMap<>();

    /**
     * Derives all quantities.
     *
     * @param given the quantities of {@link Budget}
     * @param listBytes the size of a complete list on the wire at the operators' number of
     *     backends; NaN if not measured
     */
    DerivedQuantities(Map<String, Double> given, double listBytes) {
        this.given = given;
        deriveUnits();
        deriveListTransfers(listBytes);
        deriveQuotas();
        deriveColdBackends();
        derivePairs();
    }

    Map<String, Double> figures() {
        return figures;
    }

    private double input(String name) {
        return given.getOrDefault(name, Double.NaN);
    }

    private double derived(String name) {
        return figures.get(name);
    }

    private void deriveUnits() {
        figures.put("one", 1.0);
        figures.put("none", 0.0);
        figures.put("calls_proxy", input("operators.calls_s") / input("operators.backends"));
        figures.put("service_backends", input("operators.backends") / input("operators.services"));
        figures.put("in_force_ms", 1_000 * input("operators.in_force_s"));
        figures.put("proxy_memory_bytes", BYTES_PER_MB * input("operators.proxy_memory_mb"));
        figures.put("proxy_cpu_us", 1e6 * input("operators.proxy_cpu_share"));
        double changes =
                input("operators.restarts_day") * input("assumed.list_changes")
                        + input("operators.failures_day") * (input("assumed.list_changes") - 1);
        figures.put("discovery_watches", input("operators.backends"));
        figures.put("discovery_beats_s", input("operators.backends") / input("assumed.beat_s"));
        figures.put("discovery_changes_s", changes * input("operators.backends") / SECONDS_PER_DAY);
        figures.put("tells_day", input("operators.changes_day") * input("operators.backends"));
        figures.put(
                "in_force_tells_s", input("operators.backends") / input("operators.in_force_s"));
        figures.put("tells_s", derived("tells_day") / SECONDS_PER_DAY);
    }

    /** After control servers return, each proxy requests the complete list at once. */
    private void deriveListTransfers(double listBytes) {
        double totalBytes = listBytes * input("operators.backends");
        figures.put("list_bytes", listBytes);
        figures.put("list_entry_bytes", listBytes / input("operators.backends"));
        figures.put("list_rate", listBytes / input("operators.in_force_s"));
        figures.put("list_time_s", listBytes / input("operators.proxy_bytes_s"));
        figures.put("list_all_bytes", totalBytes);
        figures.put(
                "list_control_rate",
                totalBytes / input("operators.in_force_s") / input("operators.control_machines"));
        figures.put("list_zone_bytes", listBytes / input("operators.zones"));
    }

    /** TenantQuota: each of N load balancers grants quota / N from a token bucket of its own. */
    private void deriveQuotas() {
        double quota = input("operators.calls_s") / input("operators.services");
        double quotaPerBalancer = quota / input("operators.backends");
        // A burst is half a second at the quota's rate, and MIN_BURST_REQUESTS at least; buckets
        // start filled to a quarter.
        double burst = Math.max(input("constant.quota_depth"), quotaPerBalancer / 2);
        figures.put("quota", quota);
        figures.put("quota_part", quotaPerBalancer);
        figures.put("quota_gap_s", 1 / quotaPerBalancer);
        figures.put("quota_start", input("operators.backends") * burst / 4);
        figures.put("quota_burst", input("operators.backends") * burst);
        figures.put("quota_burst_s", derived("quota_burst") / quota);
        // Load balancers with unequal load don't divide a quota: each grants all of it.
        figures.put("quota_mesh", input("operators.backends"));
        figures.put("quota_lost", input("operators.backends") / derived("service_backends"));
        figures.put("quota_got", quota / derived("quota_lost"));
    }

    /**
     * SlowStart: together, load balancers may send a warming backend half of what overloads it,
     * each in proportion to what it completes.
     */
    private void deriveColdBackends() {
        double ownCallsInWindow =
                input("operators.calls_s") / input("operators.backends") * input("assumed.fall_s");
        double ownCallsPerBackend = ownCallsInWindow / input("operators.backends");
        double allowedCalls =
                Math.max(
                        input("assumed.fall_multiple")
                                / 2
                                * input("assumed.cold_share")
                                * ownCallsPerBackend,
                        1 / input("operators.backends"));
        double overloadCalls =
                input("assumed.fall_multiple") * input("assumed.cold_share") * ownCallsInWindow;
        figures.put("cold_part", allowedCalls);
        figures.put("cold_all", allowedCalls * input("operators.backends"));
        figures.put("cold_over", overloadCalls);
        figures.put("cold_ratio", derived("cold_all") / overloadCalls);
        figures.put("cold_gap_s", input("assumed.fall_s") * input("operators.backends"));
        figures.put("cold_gap_h", derived("cold_gap_s") / 3_600);
        figures.put("cold_floor_all_s", 1 / input("assumed.fall_s"));
    }

    /** Quantities of one proxy and one backend, if calls are spread evenly over all backends. */
    private void derivePairs() {
        double calls = derived("calls_proxy");
        double callsPerPair = calls / input("operators.backends");
        double objectiveSeconds =
                Math.max(
                        input("constant.least_due") / TICKS_PER_SECOND,
                        input("assumed.due_ms") / 1_000);
        figures.put("pair_s", callsPerPair);
        figures.put("pair_gap_s", 1 / callsPerPair);
        figures.put("pair_service_s", calls / derived("service_backends"));
        figures.put("due_s", objectiveSeconds);
        figures.put("now_span_s", input("constant.now_span") * objectiveSeconds);
        figures.put("now_samples", callsPerPair * derived("now_span_s"));
        figures.put("gap_span_s", input("constant.gap_span") * objectiveSeconds);
        figures.put("gap_samples", callsPerPair * derived("gap_span_s"));
        figures.put("gaps_short", input("constant.imagined_gaps") / derived("gap_samples"));
        figures.put("times_span_s", input("constant.usual_span") * objectiveSeconds);
        figures.put("times_samples", calls * derived("times_span_s"));
        figures.put("stays_span_s", derived("times_span_s"));
        figures.put("line_span_s", input("constant.line_span") * objectiveSeconds);
        figures.put("line_samples", calls * derived("line_span_s"));
        figures.put("streak_s", input("assumed.streak") / callsPerPair);
        double reuseShare =
                1
                        - Math.exp(
                                -callsPerPair
                                        * input("constant.retire")
                                        * input("assumed.conn_idle_s"));
        figures.put("reuse", reuseShare);
        figures.put("connections", reuseShare * input("operators.backends"));
        double sockets = input("assumed.sockets") - input("constant.own_sockets");
        sockets -= Math.floor(sockets / input("constant.for_bodies"));
        figures.put("backend_sockets", Math.floor(sockets * input("constant.to_backends")));
        figures.put(
                "bounded_reuse",
                Math.min(reuseShare, derived("backend_sockets") / input("operators.backends")));
        figures.put("new_connections_s", calls * (1 - derived("bounded_reuse")));
    }
}

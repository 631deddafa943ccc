package cottonlock.lab.scale;

import cottonlock.core.Deterministic;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Figures that no run measures and that follow from the operators' design, the program's constants
 * and measured slopes. One that rests on something not measured is not a number. Times are in
 * seconds where the name doesn't say otherwise.
 */
@Deterministic
final class WorkedOut {
    private static final double DAY = 86_400;
    private static final double MEGA = 1 << 20;

    /** Tenths of a millisecond in a second: the module's unit of time. */
    private static final double TENTHS = 10_000;

    private final Map<String, Double> given;
    private final Map<String, Double> figures = new LinkedHashMap<>();

    /**
     * Works all out.
     *
     * @param given the figures of {@link Budget}
     * @param listBytes of one whole list on the wire at the operators' size; NaN where not measured
     */
    WorkedOut(Map<String, Double> given, double listBytes) {
        this.given = given;
        units();
        lists(listBytes);
        quotas();
        cold();
        pairs();
    }

    Map<String, Double> figures() {
        return figures;
    }

    private double g(String name) {
        return given.getOrDefault(name, Double.NaN);
    }

    private double w(String name) {
        return figures.get(name);
    }

    private void units() {
        figures.put("one", 1.0);
        figures.put("none", 0.0);
        figures.put("calls_proxy", g("operators.calls_s") / g("operators.backends"));
        figures.put("service_backends", g("operators.backends") / g("operators.services"));
        figures.put("in_force_ms", 1_000 * g("operators.in_force_s"));
        figures.put("proxy_memory_bytes", MEGA * g("operators.proxy_memory_mb"));
        figures.put("proxy_cpu_us", 1e6 * g("operators.proxy_cpu_share"));
        double changes =
                g("operators.restarts_day") * g("assumed.list_changes")
                        + g("operators.failures_day") * (g("assumed.list_changes") - 1);
        figures.put("discovery_watches", g("operators.backends"));
        figures.put("discovery_beats_s", g("operators.backends") / g("assumed.beat_s"));
        figures.put("discovery_changes_s", changes * g("operators.backends") / DAY);
        figures.put("tells_day", g("operators.changes_day") * g("operators.backends"));
        figures.put("in_force_tells_s", g("operators.backends") / g("operators.in_force_s"));
        figures.put("tells_s", w("tells_day") / DAY);
    }

    /** Control returns, and each proxy asks for the whole list at once. */
    private void lists(double bytes) {
        double all = bytes * g("operators.backends");
        figures.put("list_bytes", bytes);
        figures.put("list_entry_bytes", bytes / g("operators.backends"));
        figures.put("list_rate", bytes / g("operators.in_force_s"));
        figures.put("list_time_s", bytes / g("operators.proxy_bytes_s"));
        figures.put("list_all_bytes", all);
        figures.put(
                "list_control_rate",
                all / g("operators.in_force_s") / g("operators.control_machines"));
        figures.put("list_zone_bytes", bytes / g("operators.zones"));
    }

    /** Balancer.Intake: each balancer has quota / balancers and a bucket of its own. */
    private void quotas() {
        double quota = g("operators.calls_s") / g("operators.services");
        double part = quota / g("operators.backends");
        // Half a second's worth, and DEPTH at least; a quarter of it is there at the start.
        double depth = Math.max(g("constant.quota_depth"), part / 2);
        figures.put("quota", quota);
        figures.put("quota_part", part);
        figures.put("quota_gap_s", 1 / part);
        figures.put("quota_start", g("operators.backends") * depth / 4);
        figures.put("quota_burst", g("operators.backends") * depth);
        figures.put("quota_burst_s", w("quota_burst") / quota);
        // Where they carry unlike amounts, nothing is divided.
        figures.put("quota_mesh", g("operators.backends"));
        figures.put("quota_lost", g("operators.backends") / w("service_backends"));
        figures.put("quota_got", quota / w("quota_lost"));
    }

    /**
     * Balancer.Fleet.warmEnough: half of what pushes a cold one over, parted by what each gets
     * finished.
     */
    private void cold() {
        double sent = g("operators.calls_s") / g("operators.backends") * g("assumed.fall_s");
        double mine = sent / g("operators.backends");
        double part =
                Math.max(
                        g("assumed.fall_multiple") / 2 * g("assumed.cold_share") * mine,
                        1 / g("operators.backends"));
        double over = g("assumed.fall_multiple") * g("assumed.cold_share") * sent;
        figures.put("cold_part", part);
        figures.put("cold_all", part * g("operators.backends"));
        figures.put("cold_over", over);
        figures.put("cold_ratio", w("cold_all") / over);
        figures.put("cold_gap_s", g("assumed.fall_s") * g("operators.backends"));
        figures.put("cold_gap_h", w("cold_gap_s") / 3_600);
        figures.put("cold_floor_all_s", 1 / g("assumed.fall_s"));
    }

    /** One caller and one backend, where calls go to all backends alike. */
    private void pairs() {
        double calls = w("calls_proxy");
        double pair = calls / g("operators.backends");
        double due = Math.max(g("constant.least_due") / TENTHS, g("assumed.due_ms") / 1_000);
        figures.put("pair_s", pair);
        figures.put("pair_gap_s", 1 / pair);
        figures.put("pair_service_s", calls / w("service_backends"));
        figures.put("due_s", due);
        figures.put("now_span_s", g("constant.now_span") * due);
        figures.put("now_samples", pair * w("now_span_s"));
        figures.put("gap_span_s", g("constant.gap_span") * due);
        figures.put("gap_samples", pair * w("gap_span_s"));
        figures.put("gaps_short", g("constant.imagined_gaps") / w("gap_samples"));
        figures.put("times_span_s", g("constant.usual_span") * due);
        figures.put("times_samples", calls * w("times_span_s"));
        figures.put("stays_span_s", w("times_span_s"));
        figures.put("line_span_s", g("constant.line_span") * due);
        figures.put("line_samples", calls * w("line_span_s"));
        figures.put("streak_s", g("assumed.streak") / pair);
        double kept = 1 - Math.exp(-pair * g("constant.retire") * g("assumed.conn_idle_s"));
        figures.put("reuse", kept);
        figures.put("connections", kept * g("operators.backends"));
        double sockets = g("assumed.sockets") - g("constant.own_sockets");
        sockets -= Math.floor(sockets / g("constant.for_bodies"));
        figures.put("backend_sockets", Math.floor(sockets * g("constant.to_backends")));
        figures.put(
                "bounded_reuse", Math.min(kept, w("backend_sockets") / g("operators.backends")));
        figures.put("new_connections_s", calls * (1 - w("bounded_reuse")));
    }
}

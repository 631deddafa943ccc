package cottonlock.admin;

import cottonlock.decision.api.RejectionReason;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * What this process has counted since it started; each count is defined here, and kept where it
 * happens.
 */
public final class Metrics {
    /** How a request ended, as its client saw it. */
    private enum End {
        SUCCESS,
        BUSY,
        FAILURE
    }

    private final Map<End, Map<String, LongAdder>> ends =
            Map.of(
                    End.SUCCESS,
                    new ConcurrentSkipListMap<>(),
                    End.BUSY,
                    new ConcurrentSkipListMap<>(),
                    End.FAILURE,
                    new ConcurrentSkipListMap<>());

    /**
     * Why what was not a success ended so: by category and by tenant, which each add up to all of
     * it.
     */
    private final Map<String, Map<RejectionReason, LongAdder>> byCategory =
            new ConcurrentSkipListMap<>();

    private final Map<String, Map<RejectionReason, LongAdder>> byTenant =
            new ConcurrentSkipListMap<>();
    private final LongAdder attempts = new LongAdder();
    private final AtomicInteger inflight = new AtomicInteger();
    private final LongAdder filesTaken = new LongAdder();
    private final LongAdder filesRefused = new LongAdder();
    private volatile int listed;
    private volatile int avoided;

    /** More fields, each behind a comma; null: none. */
    private volatile Supplier<String> more;

    /** A category is in force: it stands among the figures from now on, with 0 at first. */
    public void category(String name) {
        ends.values().forEach(counts -> counts.computeIfAbsent(name, n -> new LongAdder()));
        byCategory.computeIfAbsent(name, n -> zeros());
    }

    /** A tenant may bring work: it stands among the figures, with 0 at first. */
    public void tenant(String name) {
        byTenant.computeIfAbsent(name, n -> zeros());
    }

    private static Map<RejectionReason, LongAdder> zeros() {
        Map<RejectionReason, LongAdder> zeros = new EnumMap<>(RejectionReason.class);
        for (RejectionReason why : RejectionReason.values()) {
            zeros.put(why, new LongAdder());
        }
        return zeros;
    }

    /** A request has been read whole. */
    public void taken() {
        inflight.incrementAndGet();
    }

    /**
     * A request that was taken needs nothing more, whether it was answered or its client has left.
     */
    public void over() {
        inflight.decrementAndGet();
    }

    /** A client has been answered, with this status; why it was no success, if it was none. */
    public void answered(String category, String tenant, int status, RejectionReason why) {
        End end =
                status == 200
                        ? End.SUCCESS
                        : status == 503 || status == 429 ? End.BUSY : End.FAILURE;
        ends.get(end).computeIfAbsent(category, n -> new LongAdder()).increment();
        if (end != End.SUCCESS) {
            byCategory.computeIfAbsent(category, n -> zeros()).get(why).increment();
            if (tenant != null && byTenant.containsKey(tenant)) {
                byTenant.get(tenant).get(why).increment();
            }
        }
    }

    /** An attempt has been written whole to a backend. */
    public void attempted() {
        attempts.increment();
    }

    /**
     * How many backends the list holds, and how many of these get nothing now, by hand or by
     * choice.
     */
    public void backends(int inList, int avoidedNow) {
        listed = inList;
        avoided = avoidedNow;
    }

    /** A configuration has been read again, and was taken or turned down. */
    public void file(boolean taken) {
        (taken ? filesTaken : filesRefused).increment();
    }

    /** Further figures of a part that is there: fields of a JSON object, each behind a comma. */
    public void also(Supplier<String> fields) {
        Supplier<String> before = more;
        more = before == null ? fields : () -> before.get() + fields.get();
    }

    /** All of it as one line of JSON. */
    public String json() {
        StringBuilder json = new StringBuilder(512).append('{');
        counts(json, "success", End.SUCCESS);
        counts(json, "busy", End.BUSY);
        counts(json, "failure", End.FAILURE);
        return json.append("\"backend_calls\":")
                .append(attempts.sum())
                .append(",\"inflight\":")
                .append(Math.max(0, inflight.get()))
                .append(",\"hosts_listed\":")
                .append(listed)
                .append(",\"hosts_down\":")
                .append(avoided)
                .append(",\"reconfig_ok\":")
                .append(filesTaken.sum())
                .append(",\"reconfig_failed\":")
                .append(filesRefused.sum())
                .append(reasons("why_by_category", byCategory))
                .append(reasons("why_by_tenant", byTenant))
                .append(more == null ? "" : more.get())
                .append('}')
                .toString();
    }

    private static String reasons(
            String field, Map<String, Map<RejectionReason, LongAdder>> counts) {
        return counts.entrySet().stream()
                .map(
                        named ->
                                '"'
                                        + quoted(named.getKey())
                                        + "\":{"
                                        + named.getValue().entrySet().stream()
                                                .map(
                                                        e ->
                                                                '"'
                                                                        + label(e.getKey())
                                                                        + "\":"
                                                                        + e.getValue().sum())
                                                .collect(Collectors.joining(","))
                                        + '}')
                .collect(Collectors.joining(",", ",\"" + field + "\":{", "}"));
    }

    /** The name of a reason in the management interface. */
    private static String label(RejectionReason rejectionReason) {
        return switch (rejectionReason) {
            case OVER_QUOTA -> "over_quota";
            case NO_CAPACITY -> "no_room";
            case QUEUE_FULL -> "line_full";
            case DEADLINE_EXCEEDED -> "expiry";
            case NO_BACKEND -> "no_backend";
            case CONNECT_FAILED -> "no_connection";
            case REJECTED_BY_BACKEND -> "turned_away";
            case RESPONSE_LOST -> "answer_lost";
        };
    }

    private void counts(StringBuilder json, String name, End end) {
        json.append('"').append(name).append("\":{");
        String comma = "";
        for (Map.Entry<String, LongAdder> count : ends.get(end).entrySet()) {
            json.append(comma)
                    .append('"')
                    .append(quoted(count.getKey()))
                    .append("\":")
                    .append(count.getValue().sum());
            comma = ",";
        }
        json.append("},");
    }

    private static String quoted(String name) {
        return name.replace("\\", "\\\\").replace("\"", "\\\"");
    }
}

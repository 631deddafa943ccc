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
 * Counters of this process since its start, and their JSON form. All methods may be called from any
 * thread; {@link #addSource} must be called at the start, before the counters are read.
 */
public final class Metrics {
    /** The result of a request as its client saw it. */
    private enum RequestResult {
        SUCCESS("success"),
        REJECTED("busy"),
        FAILED("failure");

        private final String jsonField;

        RequestResult(String jsonField) {
            this.jsonField = jsonField;
        }

        static RequestResult ofStatus(int status) {
            if (status == 200) {
                return SUCCESS;
            }
            return status == 503 || status == 429 ? REJECTED : FAILED;
        }
    }

    /** Requests by result and request class. */
    private final Map<RequestResult, Map<String, LongAdder>> requestsByResult =
            Map.of(
                    RequestResult.SUCCESS,
                    new ConcurrentSkipListMap<>(),
                    RequestResult.REJECTED,
                    new ConcurrentSkipListMap<>(),
                    RequestResult.FAILED,
                    new ConcurrentSkipListMap<>());

    /**
     * Unsuccessful requests by request class and reason. Adds up to the same total as {@link
     * #reasonsByTenant} if the tenant of each request is registered.
     */
    private final Map<String, Map<RejectionReason, LongAdder>> reasonsByClass =
            new ConcurrentSkipListMap<>();

    private final Map<String, Map<RejectionReason, LongAdder>> reasonsByTenant =
            new ConcurrentSkipListMap<>();
    private final LongAdder attempts = new LongAdder();
    private final AtomicInteger requestsInFlight = new AtomicInteger();
    private final LongAdder reloadsAccepted = new LongAdder();
    private final LongAdder reloadsRefused = new LongAdder();
    private volatile int backendsListed;
    private volatile int backendsAvoided;

    /** Supplies additional JSON fields, each preceded by a comma; null if there are none. */
    private volatile Supplier<String> additionalFields;

    /** Adds a request class to the metrics, with counts of zero. */
    public void registerRequestClass(String name) {
        requestsByResult
                .values()
                .forEach(counts -> counts.computeIfAbsent(name, n -> new LongAdder()));
        reasonsByClass.computeIfAbsent(name, n -> zeroForEachReason());
    }

    /** Adds a tenant to the metrics, with counts of zero. */
    public void registerTenant(String name) {
        reasonsByTenant.computeIfAbsent(name, n -> zeroForEachReason());
    }

    private static Map<RejectionReason, LongAdder> zeroForEachReason() {
        Map<RejectionReason, LongAdder> counts = new EnumMap<>(RejectionReason.class);
        for (RejectionReason reason : RejectionReason.values()) {
            counts.put(reason, new LongAdder());
        }
        return counts;
    }

    /** Counts a request that has been read completely. */
    public void requestStarted() {
        requestsInFlight.incrementAndGet();
    }

    /** Counts a started request that was answered or whose client disconnected. */
    public void requestEnded() {
        requestsInFlight.decrementAndGet();
    }

    /**
     * Counts a response to a client.
     *
     * @param tenant the request's tenant; null if it is unknown
     * @param status the HTTP status of the response
     * @param reason why the request did not succeed; ignored with status 200
     */
    public void responseSent(
            String requestClass, String tenant, int status, RejectionReason reason) {
        RequestResult result = RequestResult.ofStatus(status);
        requestsByResult
                .get(result)
                .computeIfAbsent(requestClass, n -> new LongAdder())
                .increment();
        if (result == RequestResult.SUCCESS) {
            return;
        }
        reasonsByClass
                .computeIfAbsent(requestClass, n -> zeroForEachReason())
                .get(reason)
                .increment();
        if (tenant != null && reasonsByTenant.containsKey(tenant)) {
            reasonsByTenant.get(tenant).get(reason).increment();
        }
    }

    /** Counts an attempt that has been written completely to a backend. */
    public void attemptSent() {
        attempts.increment();
    }

    /**
     * Sets the backend counts.
     *
     * @param listed backends in the endpoint list
     * @param avoided listed backends that currently get few or no requests: ejected manually,
     *     draining, or suspected outliers
     */
    public void setBackendCounts(int listed, int avoided) {
        backendsListed = listed;
        backendsAvoided = avoided;
    }

    /** Counts a reload of the configuration file. */
    public void configurationReloaded(boolean accepted) {
        (accepted ? reloadsAccepted : reloadsRefused).increment();
    }

    /**
     * Adds metrics that another component of the process maintains.
     *
     * @param fields supplies JSON fields, each preceded by a comma
     */
    public void addSource(Supplier<String> fields) {
        Supplier<String> previous = additionalFields;
        additionalFields = previous == null ? fields : () -> previous.get() + fields.get();
    }

    /** Returns all metrics as one line of JSON. */
    public String toJson() {
        StringBuilder json = new StringBuilder(512).append('{');
        for (RequestResult result : RequestResult.values()) {
            appendCounts(json, result);
        }
        return json.append("\"backend_calls\":")
                .append(attempts.sum())
                .append(",\"inflight\":")
                .append(Math.max(0, requestsInFlight.get()))
                .append(",\"hosts_listed\":")
                .append(backendsListed)
                .append(",\"hosts_down\":")
                .append(backendsAvoided)
                .append(",\"reconfig_ok\":")
                .append(reloadsAccepted.sum())
                .append(",\"reconfig_failed\":")
                .append(reloadsRefused.sum())
                .append(reasonsJson("why_by_category", reasonsByClass))
                .append(reasonsJson("why_by_tenant", reasonsByTenant))
                .append(additionalFields == null ? "" : additionalFields.get())
                .append('}')
                .toString();
    }

    private static String reasonsJson(
            String field, Map<String, Map<RejectionReason, LongAdder>> countsByName) {
        return countsByName.entrySet().stream()
                .map(entry -> '"' + escaped(entry.getKey()) + "\":" + reasonsJson(entry.getValue()))
                .collect(Collectors.joining(",", ",\"" + field + "\":{", "}"));
    }

    private static String reasonsJson(Map<RejectionReason, LongAdder> counts) {
        return counts.entrySet().stream()
                .map(count -> '"' + metricName(count.getKey()) + "\":" + count.getValue().sum())
                .collect(Collectors.joining(",", "{", "}"));
    }

    /** Returns a reason's name in the management interface. */
    private static String metricName(RejectionReason reason) {
        return switch (reason) {
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

    private void appendCounts(StringBuilder json, RequestResult result) {
        json.append('"').append(result.jsonField).append("\":{");
        String separator = "";
        for (Map.Entry<String, LongAdder> count : requestsByResult.get(result).entrySet()) {
            json.append(separator)
                    .append('"')
                    .append(escaped(count.getKey()))
                    .append("\":")
                    .append(count.getValue().sum());
            separator = ",";
        }
        json.append("},");
    }

    private static String escaped(String name) {
        return name.replace("\\", "\\\\").replace("\"", "\\\"");
    }
}

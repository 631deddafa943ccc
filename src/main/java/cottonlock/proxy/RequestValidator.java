package cottonlock.proxy;

import cottonlock.decision.api.RequestClass;
import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.http.MalformedMessageException;
import cottonlock.proxy.http.MessageBody;
import cottonlock.proxy.http.MessageHead;
import cottonlock.proxy.http.MessageHeadParser;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Takes in a client's request, or says what is wrong with it. */
final class RequestValidator {
    /**
     * What passing the answer on may take, in tenths of a millisecond: a busy core's few
     * milliseconds.
     */
    private static final long DEADLINE_RESERVE_TICKS = 100;

    private final TickClock clock;
    private volatile RequestRules rules;

    /** By the module's clock: all requests are over by then, as the program leaves. */
    private volatile long latestDeadlineTicks = Long.MAX_VALUE;

    private final Set<String> openIds = ConcurrentHashMap.newKeySet();

    RequestValidator(TickClock clock, RequestRules rules) {
        this.clock = clock;
        this.rules = rules;
    }

    /**
     * What comes from now on is taken in by these; what has been taken keeps the category it came
     * with.
     */
    void setRules(RequestRules newRules) {
        rules = newRules;
    }

    /**
     * The proxy leaves in so many milliseconds: what comes from now on is answered before that.
     * Returns by when, by the module's clock.
     */
    long limitDeadlines(long millis) {
        latestDeadlineTicks = clock.now() + millis * 10 - DEADLINE_RESERVE_TICKS;
        return latestDeadlineTicks;
    }

    /** The longest that any request is waited for, in milliseconds. */
    long maxTimeoutMillis() {
        return rules.maxTimeoutTicks() / 10;
    }

    /** A request that is taken in as soon as its body is there. */
    record ValidatedHead(
            MessageHead head,
            String id,
            String idempotencyKey,
            int requestClass,
            String requestClassName,
            int tenant,
            String tenantName,
            long timeoutTicks) {}

    /** Judges a head by itself: a long body behind a bad one need not be read. */
    ValidatedHead validate(MessageHead head) throws MalformedMessageException {
        RequestRules current = rules;
        String method = head.method();
        if (!method.equals("GET") && !method.equals("POST")) {
            throw new MalformedMessageException(405, "neither GET nor POST");
        }
        String requestId = head.only("X-Request-ID");
        if (requestId == null || requestId.isEmpty()) {
            throw new MalformedMessageException(400, "no X-Request-ID");
        }
        String classHeader = head.only("X-Priority-Class");
        String target = head.target();
        int segmentEnd = 1;
        while (segmentEnd < target.length() && "/?#".indexOf(target.charAt(segmentEnd)) < 0) {
            segmentEnd++;
        }
        String pathClass = target.substring(1, segmentEnd);
        int requestClass = current.numberOf(classHeader == null ? pathClass : classHeader);
        if (requestClass < 0) {
            throw new MalformedMessageException(
                    404, "unknown category; the first part of the path names one");
        }
        if (classHeader != null && !pathClass.equals(classHeader)) {
            throw new MalformedMessageException(400, "the path and X-Priority-Class differ");
        }
        String tenantName = head.only("X-Tenant-Id");
        int tenant = current.tenantNames.isEmpty() ? 0 : current.tenantNames.indexOf(tenantName);
        if (tenant < 0) {
            throw new MalformedMessageException(
                    400, tenantName == null ? "no X-Tenant-Id" : "unknown tenant in X-Tenant-Id");
        }
        String idempotencyKey = head.only("Idempotency-Key");
        if (idempotencyKey == null
                && current.requestClasses.get(requestClass).idempotency() == RequestClass.Idempotency.WITH_KEY) {
            // Sent on without it, a repeat could not be known, and would have its effect twice.
            throw new MalformedMessageException(
                    400, "no Idempotency-Key, which this category needs");
        }
        String timeoutHeader = head.only("X-Timeout-Ms");
        if (timeoutHeader == null || !MessageHeadParser.isDecimal(timeoutHeader)) {
            throw new MalformedMessageException(
                    400,
                    timeoutHeader == null
                            ? "no X-Timeout-Ms"
                            : "X-Timeout-Ms is not a number of whole milliseconds");
        }
        long timeoutTicks =
                Math.min(current.maxTimeoutTicks(requestClass) / 10, Long.parseLong(timeoutHeader)) * 10
                        - DEADLINE_RESERVE_TICKS;
        return new ValidatedHead(
                head, requestId, idempotencyKey, requestClass, pathClass, tenant, tenantName, timeoutTicks);
    }

    /**
     * The request, whose last byte came so many nanoseconds ago: from then on its time counts. It
     * may have waited behind another one, and would be given, and its backends told, time that its
     * client has not.
     */
    ClientRequest createRequest(ClientConnection client, ValidatedHead validated, MessageBody body, long ageNanos)
            throws MalformedMessageException {
        long spentTicks = (ageNanos + 99_999) / 100_000;
        // Taken but unanswered when the program is killed, it would be lost.
        long deadlineTicks = Math.min(clock.now() - spentTicks + validated.timeoutTicks, latestDeadlineTicks);
        ClientRequest request = new ClientRequest(client, validated, body, deadlineTicks, openIds);
        if (!openIds.add(validated.id)) {
            // Backends know a request by its id: the other one would get this one's answer, or
            // none.
            throw new MalformedMessageException(409, "the id of a request that is under way");
        }
        return request;
    }
}

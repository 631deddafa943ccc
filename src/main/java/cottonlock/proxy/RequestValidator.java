package cottonlock.proxy;

import cottonlock.core.Ticks;
import cottonlock.decision.api.RequestClass;
import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.http.MalformedMessageException;
import cottonlock.proxy.http.MessageBody;
import cottonlock.proxy.http.MessageHead;
import cottonlock.proxy.http.MessageHeadParser;

/** Validates clients' requests and assigns their deadlines. */
final class RequestValidator {
    /** Ticks of 0.1 ms reserved for passing the response on: a few milliseconds on a busy CPU. */
    private static final long DEADLINE_RESERVE_TICKS = 100;

    /** What the last requests need before a shutdown: time to be refused, too. */
    private static final long LAST_REQUEST_TICKS = Ticks.PER_SECOND;

    private final TickClock clock;
    private volatile RequestRules rules;

    /** The latest deadline of any request, in ticks; limited when the proxy shuts down. */
    private volatile long latestDeadlineTicks = Long.MAX_VALUE;

    private final OpenRequestIds openIds;

    RequestValidator(TickClock clock, RequestRules rules, OpenRequestIds openIds) {
        this.clock = clock;
        this.rules = rules;
        this.openIds = openIds;
    }

    /**
     * Sets the rules for requests from now on; requests that were accepted before keep their
     * request class.
     */
    void setRules(RequestRules newRules) {
        rules = newRules;
    }

    /**
     * Limits the deadlines of requests from now on, because the proxy shuts down in so many
     * milliseconds.
     *
     * @return the latest deadline, in ticks
     */
    long limitDeadlines(long millis) {
        latestDeadlineTicks = clock.now() + millis * 10 - DEADLINE_RESERVE_TICKS;
        return latestDeadlineTicks;
    }

    /** Whether a request that is received completely in a moment could still be answered. */
    boolean mayAccept() {
        return clock.now() < latestDeadlineTicks - LAST_REQUEST_TICKS;
    }

    /** The longest that any client may wait, in milliseconds. */
    long maxTimeoutMillis() {
        return rules.maxTimeoutTicks() / 10;
    }

    /**
     * The head of a valid request, which is accepted as soon as its body has been read. It carries
     * the rules that it was validated by, since the settings may change before then: under other
     * rules a request without an idempotency key could be executed twice.
     */
    record ValidatedHead(
            MessageHead head,
            String id,
            String idempotencyKey,
            RequestClass requestClass,
            int maxAttempts,
            String requestClassName,
            int tenant,
            String tenantName,
            long timeoutTicks) {}

    /**
     * Validates a head by itself: a long body after an invalid one need not be read.
     *
     * @param ageNanos the time since the head began to arrive
     */
    ValidatedHead validate(MessageHead head, long ageNanos) throws MalformedMessageException {
        RequestRules current = rules;
        String method = head.method();
        if (!method.equals("GET") && !method.equals("POST")) {
            throw new MalformedMessageException(405, "neither GET nor POST");
        }
        String requestId = head.singleValue("X-Request-ID");
        if (requestId == null || requestId.isEmpty()) {
            throw new MalformedMessageException(400, "no X-Request-ID");
        }
        String classHeader = head.singleValue("X-Priority-Class");
        String target = head.target();
        int segmentEnd = 1;
        while (segmentEnd < target.length() && "/?#".indexOf(target.charAt(segmentEnd)) < 0) {
            segmentEnd++;
        }
        String pathClass = target.substring(1, segmentEnd);
        int classNumber = current.numberOf(classHeader == null ? pathClass : classHeader);
        if (classNumber < 0) {
            throw new MalformedMessageException(
                    404, "unknown category; the first part of the path names one");
        }
        if (classHeader != null && !pathClass.equals(classHeader)) {
            throw new MalformedMessageException(400, "the path and X-Priority-Class differ");
        }
        String tenantName = head.singleValue("X-Tenant-Id");
        int tenant = current.tenantNames.isEmpty() ? 0 : current.tenantNames.indexOf(tenantName);
        if (tenant < 0) {
            throw new MalformedMessageException(
                    400, tenantName == null ? "no X-Tenant-Id" : "unknown tenant in X-Tenant-Id");
        }
        String idempotencyKey = head.singleValue("Idempotency-Key");
        long begunTicks = clock.now() - ticksRoundedUp(ageNanos);
        RequestClass requestClass =
                current.requestClass(classNumber, idempotencyKey != null, begunTicks);
        if (idempotencyKey == null
                && requestClass.idempotency() == RequestClass.Idempotency.WITH_KEY) {
            // Without a key, a retry could not be recognised and would be executed twice.
            throw new MalformedMessageException(
                    400, "no Idempotency-Key, which this category needs");
        }
        String timeoutHeader = head.singleValue("X-Timeout-Ms");
        if (timeoutHeader == null || !MessageHeadParser.isDecimal(timeoutHeader)) {
            throw new MalformedMessageException(
                    400,
                    timeoutHeader == null
                            ? "no X-Timeout-Ms"
                            : "X-Timeout-Ms is not a number of whole milliseconds");
        }
        long timeoutTicks =
                Math.min(current.maxTimeoutTicks(classNumber) / 10, Long.parseLong(timeoutHeader))
                                * 10
                        - DEADLINE_RESERVE_TICKS;
        return new ValidatedHead(
                head,
                requestId,
                idempotencyKey,
                requestClass,
                current.maxAttempts(begunTicks),
                pathClass,
                tenant,
                tenantName,
                timeoutTicks);
    }

    /**
     * Creates the request. Its timeout counts from its last byte: it may have waited behind another
     * request, and it and its backends would otherwise be given time that its client does not have.
     *
     * @param ageNanos the time since its last byte was read
     */
    ClientRequest createRequest(
            ClientConnection client, ValidatedHead validated, MessageBody body, long ageNanos)
            throws MalformedMessageException {
        long spentTicks = ticksRoundedUp(ageNanos);
        // A request that is accepted but not answered when the process is killed would be lost.
        long deadlineTicks =
                Math.min(clock.now() - spentTicks + validated.timeoutTicks, latestDeadlineTicks);
        ClientRequest request = new ClientRequest(client, validated, body, deadlineTicks, openIds);
        if (!openIds.add(validated.id)) {
            // Backends identify a request by its id: the second one would get the response of the
            // first, or none.
            throw new MalformedMessageException(409, "the id of a request that is under way");
        }
        return request;
    }

    private static long ticksRoundedUp(long nanos) {
        return (nanos + Ticks.NANOSECONDS_PER_TICK - 1) / Ticks.NANOSECONDS_PER_TICK;
    }
}

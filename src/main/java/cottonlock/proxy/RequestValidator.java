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
    private volatile long leaving = Long.MAX_VALUE;

    private final Set<String> openIds = ConcurrentHashMap.newKeySet();

    RequestValidator(TickClock clock, RequestRules rules) {
        this.clock = clock;
        this.rules = rules;
    }

    /**
     * What comes from now on is taken in by these; what has been taken keeps the category it came
     * with.
     */
    void follow(RequestRules other) {
        rules = other;
    }

    /**
     * The proxy leaves in so many milliseconds: what comes from now on is answered before that.
     * Returns by when, by the module's clock.
     */
    long endWithin(long millis) {
        leaving = clock.now() + millis * 10 - DEADLINE_RESERVE_TICKS;
        return leaving;
    }

    /** The longest that any request is waited for, in milliseconds. */
    long longest() {
        return rules.longest() / 10;
    }

    /** A request that is taken in as soon as its body is there. */
    record Asked(
            MessageHead head,
            String id,
            String idempotencyKey,
            int category,
            String name,
            int tenant,
            String tenantName,
            long patience) {}

    /** Judges a head by itself: a long body behind a bad one need not be read. */
    Asked asked(MessageHead head) throws MalformedMessageException {
        RequestRules in = rules;
        String method = head.method();
        if (!method.equals("GET") && !method.equals("POST")) {
            throw new MalformedMessageException(405, "neither GET nor POST");
        }
        String requestId = head.singleValue("X-Request-ID");
        if (requestId == null || requestId.isEmpty()) {
            throw new MalformedMessageException(400, "no X-Request-ID");
        }
        String name = head.singleValue("X-Priority-Class");
        String target = head.target();
        int end = 1;
        while (end < target.length() && "/?#".indexOf(target.charAt(end)) < 0) {
            end++;
        }
        String first = target.substring(1, end);
        int category = in.number(name == null ? first : name);
        if (category < 0) {
            throw new MalformedMessageException(
                    404, "unknown category; the first part of the path names one");
        }
        if (name != null && !first.equals(name)) {
            throw new MalformedMessageException(400, "the path and X-Priority-Class differ");
        }
        String tenantName = head.singleValue("X-Tenant-Id");
        int tenant = in.tenantNames.isEmpty() ? 0 : in.tenantNames.indexOf(tenantName);
        if (tenant < 0) {
            throw new MalformedMessageException(
                    400, tenantName == null ? "no X-Tenant-Id" : "unknown tenant in X-Tenant-Id");
        }
        String idempotencyKey = head.singleValue("Idempotency-Key");
        if (idempotencyKey == null
                && in.categories.get(category).idempotency() == RequestClass.Idempotency.WITH_KEY) {
            // Sent on without it, a repeat could not be known, and would have its effect twice.
            throw new MalformedMessageException(
                    400, "no Idempotency-Key, which this category needs");
        }
        String patience = head.singleValue("X-Timeout-Ms");
        if (patience == null || !MessageHeadParser.isDecimal(patience)) {
            throw new MalformedMessageException(
                    400,
                    patience == null
                            ? "no X-Timeout-Ms"
                            : "X-Timeout-Ms is not a number of whole milliseconds");
        }
        long wait =
                Math.min(in.longest(category) / 10, Long.parseLong(patience)) * 10
                        - DEADLINE_RESERVE_TICKS;
        return new Asked(
                head, requestId, idempotencyKey, category, first, tenant, tenantName, wait);
    }

    /**
     * The request, whose last byte came so many nanoseconds ago: from then on its time counts. It
     * may have waited behind another one, and would be given, and its backends told, time that its
     * client has not.
     */
    ClientRequest request(ClientConnection client, Asked asked, MessageBody body, long age)
            throws MalformedMessageException {
        long spent = (age + 99_999) / 100_000;
        // Taken but unanswered when the program is killed, it would be lost.
        long expiry = Math.min(clock.now() - spent + asked.patience, leaving);
        ClientRequest request = new ClientRequest(client, asked, body, expiry, openIds);
        if (!openIds.add(asked.id)) {
            // Backends know a request by its id: the other one would get this one's answer, or
            // none.
            throw new MalformedMessageException(409, "the id of a request that is under way");
        }
        return request;
    }
}

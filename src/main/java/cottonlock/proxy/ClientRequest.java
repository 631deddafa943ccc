package cottonlock.proxy;

import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.RejectionReason;
import cottonlock.proxy.http.MalformedMessageException;
import cottonlock.proxy.http.MessageBody;
import cottonlock.proxy.http.MessageHead;
import cottonlock.proxy.http.OutboundRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** A request on its way through the sockets: what came of it, and who still needs its body. */
final class ClientRequest {
    /** Nanoseconds that a look at a client takes: a read that finds its end returns at once. */
    private static final long CLIENT_CHECK_NANOS = 100_000;

    /** How often that is waited for the look: whoever reads has had a core by then. */
    private static final int MAX_CLIENT_CHECKS = 20;

    final ClientConnection client;
    final String method;
    final String target;
    final String requestId;
    final String categoryName;
    final String tenantName;
    final String idempotencyKey;
    final String contentType;
    final MessageBody body;
    final int category;
    final int tenant;
    final boolean repeated;

    /** Whether its client reads chunked answers. */
    final boolean knowsChunks;

    /** By the module's clock: its client waits no longer. Shorter where the proxy leaves before. */
    volatile long expiry;

    /**
     * By the module's clock: nothing of it begins to be sent on after that, for from then on nobody
     * sees whether its client leaves.
     */
    volatile long seenUntil = Long.MAX_VALUE;

    /** The ids of all requests that wait for their answer, its own among them. */
    private final Set<String> openIds;

    private final AtomicBoolean claimed = new AtomicBoolean();

    /** One for the answer that is owed, and one for each write of the body that is under way. */
    private final AtomicInteger holds = new AtomicInteger(1);

    /** What it ended by, where no backend's answer ended it; told before its client is answered. */
    volatile RejectionReason why = RejectionReason.RESPONSE_LOST;

    /**
     * The module's number for it, its attempts, and how many are out: the module's thread alone.
     */
    long number;

    final List<Attempt> attempts = new ArrayList<>(1);
    int out;

    /** When its client was first looked at behind it, by the monotonic clock; 0: not yet. */
    private long lookedAt;

    /** Whether its client may leave unseen; the module's thread alone. */
    boolean unseen;

    ClientRequest(
            ClientConnection client,
            RequestValidator.Asked asked,
            MessageBody body,
            long expiry,
            Set<String> openIds)
            throws MalformedMessageException {
        MessageHead head = asked.head();
        this.openIds = openIds;
        this.client = client;
        this.method = head.method();
        this.target = head.target();
        this.contentType = head.singleValue("Content-Type");
        this.requestId = asked.id();
        this.idempotencyKey = asked.idempotencyKey();
        this.body = body;
        this.category = asked.category();
        this.categoryName = asked.name();
        this.tenant = asked.tenant();
        this.tenantName = asked.tenantName();
        this.repeated = "1".equals(head.singleValue("X-Retried"));
        this.knowsChunks = head.requestVersion().equals("HTTP/1.1");
        this.expiry = expiry;
    }

    /** The request as it is written to a backend. */
    OutboundRequest outbound() {
        return new OutboundRequest(
                method,
                target,
                requestId,
                categoryName,
                tenantName,
                idempotencyKey,
                contentType,
                body);
    }

    /**
     * From the thread that has read it: it reads on, and sees it if its client has gone meanwhile.
     */
    synchronized void looks() {
        lookedAt = lookedAt == 0 ? System.nanoTime() : lookedAt;
    }

    private synchronized boolean looked() {
        return lookedAt != 0 && System.nanoTime() - lookedAt >= CLIENT_CHECK_NANOS;
    }

    /**
     * Waits, 2 ms at most, until that thread has looked. Where a request was read late its client
     * may have left before; without the wait three to five of a hundred such were sent on.
     */
    void awaitLook() {
        for (int i = 0; i < MAX_CLIENT_CHECKS && !looked() && !claimed(); i++) {
            LockSupport.parkNanos(CLIENT_CHECK_NANOS);
        }
    }

    /** True for the one caller that may give the final answer, or note that nobody waits for it. */
    boolean claim() {
        if (!claimed.compareAndSet(false, true)) {
            return false;
        }
        openIds.remove(requestId);
        release();
        return true;
    }

    boolean claimed() {
        return claimed.get();
    }

    /** Keeps the body for a write; false when the request has been answered. */
    boolean hold() {
        return holds.getAndUpdate(n -> n == 0 ? 0 : n + 1) > 0;
    }

    /** The last one to let go gives the body's buffers back. */
    void release() {
        if (holds.decrementAndGet() == 0) {
            body.release();
        }
    }

    /** One attempt: it is settled once, whatever reaches it first. */
    static final class Attempt {
        final ClientRequest req;
        final int number;

        /** By the module's clock: its last byte may be written until then. */
        final long sendBy;

        private final LoadBalancerActor module;
        private BackendConnection connection;
        private boolean settled;

        Attempt(ClientRequest req, int number, long sendBy, LoadBalancerActor module) {
            this.req = req;
            this.number = number;
            this.sendBy = sendBy;
            this.module = module;
        }

        /**
         * Whether its first byte may still be written: not after its client has left, or may have
         * unseen.
         */
        boolean mayBegin(long now) {
            return !req.claimed() && now < req.seenUntil;
        }

        /**
         * Binds it to the connection it will go out on; false if it has been settled before that.
         */
        synchronized boolean attach(BackendConnection to) {
            connection = settled ? null : to;
            return !settled;
        }

        /** The first outcome counts, and reaches the module; true for that one. */
        boolean settle(AttemptOutcome outcome) {
            synchronized (this) {
                if (settled) {
                    return false;
                }
                settled = true;
                connection = null;
            }
            module.settled(this, outcome);
            return true;
        }

        synchronized boolean settled() {
            return settled;
        }

        /**
         * Gives it up, from the module's thread: its connection is closed before anything else
         * happens.
         */
        boolean abandon() {
            BackendConnection closing;
            synchronized (this) {
                if (settled) {
                    return false;
                }
                settled = true;
                closing = connection;
                connection = null;
            }
            // A repeat may be sent next: with this copy still out it would be a second one.
            if (closing != null) {
                closing.kill();
            }
            return true;
        }
    }
}

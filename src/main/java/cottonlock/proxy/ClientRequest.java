package cottonlock.proxy;

import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.RejectionReason;
import cottonlock.decision.api.RequestClass;
import cottonlock.proxy.http.MalformedMessageException;
import cottonlock.proxy.http.MessageBody;
import cottonlock.proxy.http.MessageHead;
import cottonlock.proxy.http.OutboundRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** A client's request on its way through the proxy: its outcome, and who still needs its body. */
final class ClientRequest {
    /**
     * Nanoseconds that a check of the client takes: a read at the end of the stream returns at
     * once.
     */
    private static final long CLIENT_CHECK_NANOS = 100_000;

    /** How many such times to wait for the check: the reading thread has been scheduled by then. */
    private static final int MAX_CLIENT_CHECKS = 20;

    final ClientConnection client;
    final String method;
    final String target;
    final String requestId;
    final String requestClassName;
    final String tenantName;
    final String idempotencyKey;
    final String contentType;
    final MessageBody body;
    final RequestClass requestClass;
    final int maxAttempts;
    final int tenant;
    final boolean retried;

    /** Whether the client accepts chunked responses. */
    final boolean acceptsChunked;

    /**
     * In ticks: the client waits no longer than this. Earlier if the proxy shuts down before that.
     */
    volatile long deadlineTicks;

    /**
     * In ticks: no attempt starts after this, because a disconnect of the client would go
     * unnoticed.
     */
    volatile long observedUntilTicks = Long.MAX_VALUE;

    /** The ids of all requests that are open, including this one. */
    private final OpenRequestIds openIds;

    private final AtomicBoolean claimed = new AtomicBoolean();

    /**
     * One for the response that is owed, and one for each attempt that is not settled: a client may
     * leave before its request has been executed.
     */
    private final AtomicInteger idReferences = new AtomicInteger(1);

    /** One for the response that is owed, and one for each write of the body that is under way. */
    private final AtomicInteger bodyReferences = new AtomicInteger(1);

    /**
     * Why the request ended, unless a backend's response ended it; set before the client is
     * answered.
     */
    volatile RejectionReason rejectionReason = RejectionReason.RESPONSE_LOST;

    /**
     * The load balancer's number for the request, its attempts, and how many are in flight: used by
     * the load balancer's thread only.
     */
    long number;

    final List<Attempt> attempts = new ArrayList<>(1);
    int attemptsInFlight;

    /**
     * When the reading thread first checked the client after this request, by the monotonic clock;
     * 0 if not yet.
     */
    private long clientCheckedAtNanos;

    /**
     * Whether a disconnect of the client would go unnoticed; used by the load balancer's thread
     * only.
     */
    boolean clientUnobserved;

    ClientRequest(
            ClientConnection client,
            RequestValidator.ValidatedHead validated,
            MessageBody body,
            long deadlineTicks,
            OpenRequestIds openIds)
            throws MalformedMessageException {
        MessageHead head = validated.head();
        this.openIds = openIds;
        this.client = client;
        this.method = head.method();
        this.target = head.target();
        this.contentType = head.singleValue("Content-Type");
        this.requestId = validated.id();
        this.idempotencyKey = validated.idempotencyKey();
        this.body = body;
        this.requestClass = validated.requestClass();
        this.maxAttempts = validated.maxAttempts();
        this.requestClassName = validated.requestClassName();
        this.tenant = validated.tenant();
        this.tenantName = validated.tenantName();
        this.retried = "1".equals(head.singleValue("X-Retried"));
        this.acceptsChunked = head.requestVersion().equals("HTTP/1.1");
        this.deadlineTicks = deadlineTicks;
    }

    /** The request as it is written to a backend. */
    OutboundRequest outbound() {
        return new OutboundRequest(
                method,
                target,
                requestId,
                requestClassName,
                tenantName,
                idempotencyKey,
                contentType,
                body);
    }

    /**
     * Called by the thread that has read the request: it reads on, and notices if the client has
     * disconnected meanwhile.
     */
    synchronized void markClientChecked() {
        clientCheckedAtNanos = clientCheckedAtNanos == 0 ? System.nanoTime() : clientCheckedAtNanos;
    }

    private synchronized boolean isClientChecked() {
        return clientCheckedAtNanos != 0
                && System.nanoTime() - clientCheckedAtNanos >= CLIENT_CHECK_NANOS;
    }

    /**
     * Waits up to 2 ms until that thread has checked the client. The client of a request that was
     * read late may have left before; without the wait, three to five in a hundred such requests
     * were sent to a backend.
     */
    void awaitClientCheck() {
        for (int i = 0; i < MAX_CLIENT_CHECKS && !isClientChecked() && !claimed(); i++) {
            LockSupport.parkNanos(CLIENT_CHECK_NANOS);
        }
    }

    /**
     * True for the one caller that may give the final response, or record that the client has left.
     */
    boolean claim() {
        if (!claimed.compareAndSet(false, true)) {
            return false;
        }
        releaseId();
        releaseBody();
        return true;
    }

    /** Keeps the id open for an attempt; false when the request is over. */
    private boolean retainId() {
        return idReferences.getAndUpdate(n -> n == 0 ? 0 : n + 1) > 0;
    }

    private void releaseId() {
        if (idReferences.decrementAndGet() == 0) {
            openIds.remove(requestId);
        }
    }

    boolean claimed() {
        return claimed.get();
    }

    /** Retains the body for a write; false when the request has been answered. */
    boolean retainBody() {
        return bodyReferences.getAndUpdate(n -> n == 0 ? 0 : n + 1) > 0;
    }

    /** The last release gives the body's buffers back. */
    void releaseBody() {
        if (bodyReferences.decrementAndGet() == 0) {
            body.release();
        }
    }

    /** An attempt: settled once, by whatever happens first. */
    static final class Attempt {
        final ClientRequest req;
        final int number;

        /** In ticks: its last byte may be written until then. */
        final long sendByTicks;

        private final LoadBalancerActor loadBalancer;

        /** Whether the request's id stays open until the attempt is settled. */
        private final boolean retainsId;

        private BackendConnection connection;
        private boolean settled;

        Attempt(ClientRequest req, int number, long sendByTicks, LoadBalancerActor loadBalancer) {
            this.req = req;
            this.number = number;
            this.sendByTicks = sendByTicks;
            this.loadBalancer = loadBalancer;
            this.retainsId = req.retainId();
        }

        private void releaseId() {
            if (retainsId) {
                req.releaseId();
            }
        }

        /**
         * Whether the first byte may still be written: not after the client has left, or may have
         * left unnoticed.
         */
        boolean mayStart(long now) {
            return !req.claimed() && now < req.observedUntilTicks;
        }

        /**
         * Whether the last byte must reach the backend before the client's deadline: the request
         * may have been executed, and backends recognise a repeat for a limited time.
         */
        boolean isBoundByWindow() {
            return sendByTicks < req.deadlineTicks;
        }

        /**
         * Binds the attempt to the connection it is sent on; false if it has been settled before.
         */
        synchronized boolean attach(BackendConnection target) {
            connection = settled ? null : target;
            return !settled;
        }

        /** Records that the backend has begun to respond; the attempt is settled later. */
        void responseBegun() {
            loadBalancer.responseBegun(this);
        }

        /**
         * Settles the attempt. The first outcome counts and is reported to the load balancer; true
         * for that one.
         */
        boolean settle(AttemptOutcome outcome) {
            synchronized (this) {
                if (settled) {
                    return false;
                }
                settled = true;
                connection = null;
            }
            releaseId();
            loadBalancer.attemptSettled(this, outcome);
            return true;
        }

        synchronized boolean isSettled() {
            return settled;
        }

        /**
         * Abandons the attempt: its connection is closed before anything else happens. Called by
         * the load balancer's thread.
         */
        boolean abandon() {
            BackendConnection toClose;
            synchronized (this) {
                if (settled) {
                    return false;
                }
                settled = true;
                toClose = connection;
                connection = null;
            }
            // A retry may be sent next; if this copy were still in flight, the request could be
            // executed twice.
            if (toClose != null) {
                toClose.closeNow();
            }
            releaseId();
            return true;
        }
    }
}

package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.admin.Metrics;
import cottonlock.proxy.concurrent.ActorTimers;
import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.http.BufferPool;
import cottonlock.proxy.http.HttpWriter;
import cottonlock.proxy.http.MessageBody;
import cottonlock.proxy.io.RateLimitedLog;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** Actors of backends without a proxy, whose messages are held until a test releases them. */
final class BackendActors {
    private static final long IDLE_MILLIS = 60_000;
    private static final int PERMITS = 4;

    final RateLimitedLog log = new RateLimitedLog(System.getLogger("test"));
    final TickClock clock = new TickClock();
    final Metrics metrics = new Metrics();
    final BufferPool buffers = new BufferPool(16, 4);
    final WorkerThreads workers = new WorkerThreads(log);
    final OpenBackendConnections open = new OpenBackendConnections();
    final HeldExecutor executor = new HeldExecutor(workers::serve);

    /** Its thread is never started: messages stay in its mailbox. */
    final LoadBalancerActor loadBalancer =
            new LoadBalancerActor(clock, entry -> null, metrics, log);

    private final ActorTimers timers = new ActorTimers();
    private final long connectTimeoutMillis;

    BackendActors(long connectTimeoutMillis) {
        this.connectTimeoutMillis = connectTimeoutMillis;
    }

    static InetSocketAddress address(ProxyFixture.StandIn at) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), at.server.getLocalPort());
    }

    BackendResources resources(long settleNanos, int permits) {
        return new BackendResources(
                new BackendResources.ConnectionTimeouts(
                        connectTimeoutMillis, IDLE_MILLIS, settleNanos),
                new ConnectionPermits(permits, open),
                open,
                new KeepAlivePolicy(),
                workers,
                executor,
                timers,
                buffers,
                new HttpWriter(buffers),
                new WriteTimeoutWatchdog(),
                clock,
                metrics,
                log);
    }

    BackendActor actor(ProxyFixture.StandIn backend, long settleNanos) {
        return actor(backend, settleNanos, PERMITS);
    }

    BackendActor actor(ProxyFixture.StandIn backend, long settleNanos, int permits) {
        return new BackendActor(address(backend), resources(settleNanos, permits));
    }

    record Sent(ClientRequest request, ClientRequest.Attempt attempt) {}

    /**
     * The first attempt of a request with a short body, offered to an actor unless that is null.
     */
    Sent attempt(BackendActor actor, long sendByTicks) throws Exception {
        MessageBody body = new MessageBody(buffers);
        body.add("body".getBytes(StandardCharsets.ISO_8859_1), 0, 4);
        ClientRequest request =
                new ClientRequest(
                        null,
                        ProxyFixture.validatedHead("acme"),
                        body,
                        clock.now() + 100_000,
                        new OpenRequestIds());
        ClientRequest.Attempt attempt =
                new ClientRequest.Attempt(request, 0, sendByTicks, loadBalancer);
        assertTrue(actor == null || actor.offer(attempt));
        return new Sent(request, attempt);
    }
}

package cottonlock.proxy.discovery;

import cottonlock.decision.api.Endpoint;
import cottonlock.proxy.http.BufferPool;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Follows the list of backends with the same classes as a proxy, but without a data path.
 * Experiments run hundreds of these clients in one process; {@code serve} uses none.
 */
public final class DiscoveryClient implements EndpointListListener, AutoCloseable {
    /** Sufficient, as a watch holds one buffer at a time. */
    private static final int BUFFER_COUNT = 2;

    /** Receives the client's events, on the watch's thread. */
    public interface Listener {
        /**
         * A list or a change to it has been applied.
         *
         * @param complete whether a complete list was received, not only a change
         * @param size the number of backends that the list holds now
         */
        void listApplied(long version, boolean complete, int size);

        /** The watch has ended, and no other one is open. */
        void watchLost();
    }

    private final Listener listener;

    /** The list by id, as a proxy holds it. Owned by the watch's thread. */
    private final Map<String, EndpointList.Entry> endpoints = new TreeMap<>();

    private final EndpointListWatch watch;
    private Thread thread;

    /** A client of the discovery at that address; {@code zones} are the names in the settings. */
    public DiscoveryClient(
            InetSocketAddress discovery,
            List<String> zones,
            SplittableRandom random,
            Listener listener) {
        this.listener = listener;
        RateLimitedLog log = new RateLimitedLog(System.getLogger("cottonlock"));
        this.watch =
                new EndpointListWatch(
                        discovery,
                        new EndpointListParser(log, zones, List.of()),
                        new EndpointListWatch.Options(
                                0, false, EndpointListWatch.SILENCE_TIMEOUT_MILLIS),
                        this,
                        new BufferPool(BUFFER_COUNT, 0),
                        log,
                        random);
    }

    /** Opens the watch. */
    public void start() {
        thread = Sockets.start("list", watch);
    }

    /**
     * Ends like a killed process: the socket is closed, and nothing more is sent. When this
     * returns, the thread has ended, and the listener is not called any more.
     */
    @Override
    public void close() {
        thread.interrupt();
        watch.close();
        Sockets.join(List.of(thread));
    }

    @Override
    public void endpointListReceived(EndpointList list, boolean cached) {
        if (list.complete()) {
            endpoints.clear();
        }
        for (EndpointList.Entry entry : list.entries()) {
            if (entry.endpoint().state() == Endpoint.State.GONE) {
                endpoints.remove(entry.endpoint().id());
            } else {
                endpoints.put(entry.endpoint().id(), entry);
            }
        }
        listener.listApplied(list.version(), list.complete(), endpoints.size());
    }

    @Override
    public void endpointListWatchEnded() {
        listener.watchLost();
    }
}

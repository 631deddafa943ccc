package cottonlock.proxy.discovery;

import cottonlock.proxy.BufferPool;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * What a proxy keeps of the list of backends, without a data path: the list's watch, its reader and
 * the list itself, by the classes that serve. Hundreds of them fit into one process, for
 * experiments on how much control costs and how fast a change is in force; {@code serve} loads
 * none.
 */
public final class DiscoveryClient implements EndpointListWatch.Sink {
    /** Buffers of one watch: it holds one at a time. */
    private static final int BUFFERS = 2;

    /** Who is told, on the watch's thread. */
    public interface Held {
        /** The list of that version is in force: it holds so many entries now. */
        void inForce(long version, boolean whole, int entries);

        /** The watch has ended, and none runs. */
        void lost();
    }

    private final Held held;

    /** As the module's actor holds it; on the watch's thread alone. */
    private final Map<String, EndpointListParser.Entry> listed = new TreeMap<>();

    private final EndpointListWatch watch;
    private Thread thread;

    /** A part that is to watch at an address; rooms: the settings' names of zones. */
    public DiscoveryClient(
            InetSocketAddress discovery, List<String> rooms, SplittableRandom random, Held held) {
        this.held = held;
        RateLimitedLog log = new RateLimitedLog(System.getLogger("cottonlock"));
        this.watch =
                new EndpointListWatch(
                        discovery,
                        new EndpointListParser(log, rooms, List.of()),
                        0,
                        false,
                        EndpointListWatch.SILENCE,
                        this,
                        new BufferPool(BUFFERS, 0),
                        log,
                        random);
    }

    /** Begins to watch. */
    public void start() {
        thread = Sockets.start("list", watch);
    }

    /** Ends as a killed process does: its socket is closed, nobody is told. */
    public void close() {
        thread.interrupt();
        watch.close();
    }

    @Override
    public void list(EndpointListParser.News news, boolean cached) {
        if (news.whole()) {
            listed.clear();
        }
        for (EndpointListParser.Entry entry : news.entries()) {
            if (entry.member().state() == cottonlock.decision.api.Endpoint.State.GONE) {
                listed.remove(entry.member().id());
            } else {
                listed.put(entry.member().id(), entry);
            }
        }
        held.inForce(news.version(), news.whole(), listed.size());
    }

    @Override
    public void listFailed() {
        held.lost();
    }
}

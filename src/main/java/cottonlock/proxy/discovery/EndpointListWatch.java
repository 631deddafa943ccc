package cottonlock.proxy.discovery;

import cottonlock.proxy.http.BufferPool;
import cottonlock.proxy.http.MalformedMessageException;
import cottonlock.proxy.io.HttpLineStream;
import cottonlock.proxy.io.JsonLineAssembler;
import cottonlock.proxy.io.JsonReader;
import cottonlock.proxy.io.RateLimitedLog;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.Semaphore;

/**
 * Watches discovery's list of backends: one thread with one streaming request at a time, which is
 * opened again after any failure, without a limit on the number of retries.
 *
 * <p>A change must be in force within 6 s after discovery has it and is reachable. The sum of the
 * silence timeout, the delay before the next watch and the connect timeout is less than that; see
 * docs/races.md for the calculation.
 */
public final class EndpointListWatch implements Runnable {
    /** Short, as discovery is in the same network. */
    public static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /**
     * A watch is closed after this time without a line. Discovery sends an empty line every 2 s.
     */
    public static final long SILENCE_TIMEOUT_MILLIS = 4_000;

    /** The shortest delay before the next watch; doubled with each consecutive failure. */
    public static final long MIN_RETRY_DELAY_MILLIS = 50;

    /** The longest delay before the next watch. */
    public static final long MAX_RETRY_DELAY_MILLIS = 200;

    /** Enough for several thousand backends. */
    private static final int MAX_MESSAGE_CHARS = 1 << 20;

    /**
     * Options of a watch.
     *
     * @param cachedVersion the version that the proxy already has from that address; 0: none
     * @param onlyWhenRequested whether each watch waits for {@link #request}, so that the caller
     *     determines the delays
     * @param silenceTimeoutMillis see {@link #SILENCE_TIMEOUT_MILLIS}
     */
    public record Options(
            long cachedVersion, boolean onlyWhenRequested, long silenceTimeoutMillis) {}

    /** The address of discovery; set by any thread. */
    private volatile InetSocketAddress address;

    private final EndpointListParser parser;
    private final Options options;
    private final EndpointListListener listener;
    private final BufferPool buffers;
    private final RateLimitedLog log;
    private final SplittableRandom random;
    private final Semaphore requests = new Semaphore(0);

    /** The last version received, from {@code versionSource}. Owned by the watch's thread. */
    private long version;

    private InetSocketAddress versionSource;

    /** Messages received so far. Owned by the watch's thread. */
    private long receivedCount;

    /** The open watch, if any: set by the watch's thread, closed by any thread. */
    private volatile HttpLineStream stream;

    /** Set by any thread. */
    private volatile boolean closed;

    /** A watch that starts when its thread is started. */
    public EndpointListWatch(
            InetSocketAddress address,
            EndpointListParser parser,
            Options options,
            EndpointListListener listener,
            BufferPool buffers,
            RateLimitedLog log,
            SplittableRandom random) {
        this.address = address;
        this.parser = parser;
        this.options = options;
        this.version = options.cachedVersion();
        this.versionSource = address;
        this.listener = listener;
        this.buffers = buffers;
        this.log = log;
        this.random = random;
    }

    /** Requests a watch; no effect while one is open. Callable from any thread. */
    public void request() {
        requests.release();
    }

    /** For tests: whether the thread waits for {@link #request}. */
    public boolean awaitsRequest() {
        return requests.hasQueuedThreads();
    }

    @Override
    public void run() {
        long retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
        try {
            while (!closed) {
                if (options.onlyWhenRequested()) {
                    requests.acquire();
                }
                InetSocketAddress watched = address;
                long receivedBefore = receivedCount;
                watchUntilFailure(watched);
                if (closed || Thread.interrupted()) {
                    return;
                }
                requests.drainPermits();
                if (hasMovedFrom(watched)) {
                    // Closed by move(): not a failure, and no delay before the new address is used.
                    requests.release();
                    continue;
                }
                listener.endpointListWatchEnded();
                if (!options.onlyWhenRequested()) {
                    retryDelayMillis =
                            receivedCount > receivedBefore
                                    ? MIN_RETRY_DELAY_MILLIS
                                    : Math.min(MAX_RETRY_DELAY_MILLIS, 2 * retryDelayMillis);
                    // Jitter, as all proxies lose their watches at once when discovery restarts.
                    Thread.sleep(retryDelayMillis / 2 + random.nextLong(retryDelayMillis / 2));
                }
            }
        } catch (InterruptedException e) {
            // The proxy is closing.
        }
    }

    /** Also catches errors such as a temporary lack of memory: nothing else restarts the watch. */
    private void watchUntilFailure(InetSocketAddress server) {
        try {
            watch(server);
        } catch (IOException | MalformedMessageException | RuntimeException | Error e) {
            log.info("list", "the watch ended: " + e);
        }
    }

    /** Compares by identity: a move to another address and back must open a new watch too. */
    @SuppressWarnings(
            "ReferenceEquality") // Each move sets a new object, which may equal an earlier one.
    private boolean hasMovedFrom(InetSocketAddress watched) {
        return watched != address;
    }

    private void watch(InetSocketAddress server) throws IOException, MalformedMessageException {
        byte[] buffer = buffers.take();
        try (HttpLineStream lines = new HttpLineStream(buffer)) {
            stream = lines;
            if (closed || hasMovedFrom(server)) {
                // The close or the move happened before this stream was set, and did not close it.
                return;
            }
            lines.connect(server, CONNECT_TIMEOUT_MILLIS);
            // A version of another source is meaningless here: by it, this source would leave out
            // entries that the proxy does not have.
            long knownVersion = server.equals(versionSource) ? version : 0;
            lines.get(
                    "/catalog/members?stream=1&index=" + knownVersion,
                    options.silenceTimeoutMillis());
            receiveAll(server, lines);
        } finally {
            buffers.give(buffer);
        }
    }

    private void receiveAll(InetSocketAddress server, HttpLineStream lines)
            throws IOException, MalformedMessageException {
        JsonLineAssembler assembler =
                new JsonLineAssembler(MAX_MESSAGE_CHARS, "a list is too long");
        for (String line = lines.readLine(MAX_MESSAGE_CHARS);
                line != null;
                line = lines.readLine(MAX_MESSAGE_CHARS)) {
            String message = assembler.add(line);
            if (message == null) {
                continue;
            }
            if (!message.isBlank()) {
                EndpointList list = parser.parse(JsonReader.read(message));
                version = list.version();
                versionSource = server;
                receivedCount++;
                listener.endpointListReceived(list, false);
            }
            // Only complete messages and keep-alive lines extend the deadline.
            lines.readWithin(options.silenceTimeoutMillis());
        }
        throw new IOException("discovery ended the stream");
    }

    /**
     * Moves to another address at once, and requests the complete list there. Callable from any
     * thread.
     */
    public void move(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            closeStream();
            requests.release();
        }
    }

    /**
     * Ends the watch permanently, including a blocking read of its thread, which the caller must
     * have interrupted before. {@link #run} returns shortly afterwards.
     */
    public void close() {
        closed = true;
        closeStream();
    }

    private void closeStream() {
        HttpLineStream open = stream;
        if (open != null) {
            open.close();
        }
    }
}

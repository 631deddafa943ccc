package cottonlock.proxy.discovery;

import cottonlock.proxy.BufferPool;
import cottonlock.proxy.HttpReader;
import cottonlock.proxy.MalformedMessageException;
import cottonlock.proxy.MessageHead;
import cottonlock.proxy.io.JsonReader;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.Semaphore;

/**
 * The list's actor: it watches the list of backends while asked to, one watch at a time.
 *
 * <p>Whatever goes wrong, a change counts as told 6 s after discovery had it and could be reached.
 * So these add up to less: SILENCE, the pause until the next call (here LONGEST_AGAIN, or what the
 * module waits), CONNECT. The sum stands in docs/races.md; what it leaves is for the answer.
 */
public final class EndpointListWatch implements Runnable {
    /** Milliseconds: discovery answers from within the network or not at all. */
    public static final int CONNECT = 1_000;

    /** Milliseconds without a line: two of the empty ones that come every two seconds. */
    public static final long SILENCE = 4_000;

    /**
     * Milliseconds before the next watch where nobody decides when to ask again: doubled with each
     * failure in a row. What is pushed counts at once, whether or not a watch is open.
     */
    public static final long AGAIN = 50;

    public static final long LONGEST_AGAIN = 200;

    /** Characters of a list of some thousand backends. */
    private static final int LONGEST_LINE = 1 << 20;

    /** Who is told what the watch brings, on its thread. */
    public interface Sink {
        /** News of the list; cached: as this balancer last held it. */
        void list(EndpointListParser.News news, boolean cached);

        /** A watch has ended, and none runs. */
        void listFailed();
    }

    /** Where discovery is: it moves with the configuration. */
    private volatile InetSocketAddress address;

    private final EndpointListParser directory;
    private final boolean onlyWhenAsked;

    /** Milliseconds without a line after which a watch is broken. */
    private final long silence;

    private final Sink module;
    private final BufferPool buffers;
    private final RateLimitedLog log;
    private final SplittableRandom random;
    private final Semaphore asks = new Semaphore(0);

    /** What it holds was told by this place: another's versions mean nothing there. */
    private InetSocketAddress toldBy;

    private long version;

    /** Lists that have come. */
    private long lists;

    private volatile Socket socket;

    public EndpointListWatch(
            InetSocketAddress address,
            EndpointListParser directory,
            long version,
            boolean onlyWhenAsked,
            long silence,
            Sink module,
            BufferPool buffers,
            RateLimitedLog log,
            SplittableRandom random) {
        this.address = address;
        this.directory = directory;
        this.version = version;
        this.toldBy = address;
        this.onlyWhenAsked = onlyWhenAsked;
        this.silence = silence;
        this.module = module;
        this.buffers = buffers;
        this.log = log;
        this.random = random;
    }

    /** From the module's thread: a watch is wanted; one that runs will do. */
    public void ask() {
        asks.release();
    }

    /** For tests alone: whether it waits to be asked. */
    public boolean waits() {
        return asks.hasQueuedThreads();
    }

    @Override
    public void run() {
        long again = AGAIN;
        try {
            while (true) {
                if (onlyWhenAsked) {
                    asks.acquire();
                }
                InetSocketAddress at = address;
                long before = lists;
                try {
                    watch(at);
                } catch (IOException | MalformedMessageException | RuntimeException | Error e) {
                    // An error too, such as memory short for a moment: without its thread no list
                    // would ever
                    // come again.
                    log.info("list", "the watch ended: " + e);
                }
                if (Thread.interrupted()) {
                    return;
                }
                asks.drainPermits();
                if (at != address) {
                    // The old place is left on purpose: waiting as after a failure would only age
                    // the list.
                    asks.release();
                    continue;
                }
                module.listFailed();
                if (!onlyWhenAsked) {
                    // All balancers lose their watch together; they must not come back together.
                    again = lists > before ? AGAIN : Math.min(LONGEST_AGAIN, 2 * again);
                    Thread.sleep(again / 2 + random.nextLong(again / 2));
                }
            }
        } catch (InterruptedException e) {
            // The proxy closes.
        }
    }

    private void watch(InetSocketAddress at) throws IOException, MalformedMessageException {
        byte[] buffer = buffers.take();
        try {
            socket = new Socket();
            if (at != address) {
                // It has moved just before this socket could be closed for it.
                return;
            }
            socket.connect(at, CONNECT);
            // A move may also have come between two watches: with the old place's version, the new
            // one would
            // leave out what it takes for known, for good.
            long known = at.equals(toldBy) ? version : 0;
            OutputStream out = socket.getOutputStream();
            out.write(
                    ("GET /catalog/members?stream=1&index="
                                    + known
                                    + " HTTP/1.1\r\nHost: "
                                    + at.getHostString()
                                    + ":"
                                    + at.getPort()
                                    + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            HttpReader reader = new HttpReader(socket, buffer);
            // A head or a line that trickles renews nothing: only a whole one does.
            reader.within(silence);
            MessageHead head = reader.answer(0);
            if (!head.start[1].equals("200")) {
                throw new IOException("status " + head.start[1]);
            }
            StringBuilder text = new StringBuilder();
            JsonReader.Nesting nesting = new JsonReader.Nesting();
            for (String line = reader.line(LONGEST_LINE);
                    line != null;
                    line = reader.line(LONGEST_LINE)) {
                text.append(line).append('\n');
                nesting.add(line);
                if (text.length() > LONGEST_LINE) {
                    throw new IOException("a list is too long");
                }
                if (nesting.goesOn()) {
                    // Some lists come indented, over many lines.
                    continue;
                }
                if (!line.isBlank()) {
                    EndpointListParser.News news = directory.read(JsonReader.read(text.toString()));
                    version = news.version();
                    toldBy = at;
                    lists++;
                    module.list(news, false);
                }
                text.setLength(0);
                reader.within(silence);
            }
            throw new IOException("discovery ended it");
        } finally {
            Sockets.close(socket);
            buffers.give(buffer);
        }
    }

    /** From any thread: discovery is elsewhere now, and the whole list is asked for there. */
    public void move(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            close();
            asks.release();
        }
    }

    /** The proxy closes: its thread has been interrupted, and a read that it may be in ends. */
    public void close() {
        Socket watching = socket;
        if (watching != null) {
            Sockets.close(watching);
        }
    }
}

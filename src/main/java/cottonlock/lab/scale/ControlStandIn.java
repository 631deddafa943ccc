package cottonlock.lab.scale;

import cottonlock.lab.EventLoop;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Simulates one control machine in a process of its own. It serves the endpoint list, first
 * complete and then as a watch, limits the rate of answered calls and queues the others, and counts
 * bytes and messages in each direction for each role. It has no history from before its start: a
 * caller that holds an older list gets the complete one.
 *
 * <p>The run sends it orders as lines on its standard input: {@code entry SEQ ID JSON} queues a
 * changed entry, {@code push} sends the queued entries to all watchers, {@code from SEQ} sets the
 * current version and forgets all older changes, {@code open ROLE ADDRESS} listens at an address.
 * The process exits at the end of its input.
 */
final class ControlStandIn {
    /**
     * Nanoseconds between the empty lines that keep a watch alive, the interval of real control
     * machines.
     */
    private static final long HEARTBEAT_NANOS = 2_000_000_000L;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int ACCEPT_BACKLOG = 4_096;
    private static final byte[] RESPONSE_HEAD =
            ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    private static final byte[] EMPTY_LINE = chunk("\n");

    /** A batch of changed entries, by id, and the version at which it was sent. */
    private record ListChange(long seq, List<String> ids) {}

    /** Traffic with the proxies of one role since the last report. */
    private static final class Traffic {
        long bytesIn;
        long bytesOut;
        long calls;
        long linesOut;
        long completeLists;
        long maxConnectionBytes;
    }

    private final class Connection implements EventLoop.ReadyHandler {
        final SocketChannel channel;
        final Traffic traffic;
        final StringBuilder request = new StringBuilder();
        final Deque<ByteBuffer> unsent = new ArrayDeque<>();
        SelectionKey key;

        /** The second, of {@link System#nanoTime}, that bytesInSecond belongs to. */
        long countedSecond;

        long bytesInSecond;

        Connection(SocketChannel channel, Traffic traffic) throws IOException {
            this.channel = channel;
            this.traffic = traffic;
            this.key = loop.register(channel, SelectionKey.OP_READ, this);
        }

        @Override
        public void onReady(SelectionKey ready) {
            try {
                if (ready.isReadable()) {
                    read();
                }
                if (ready.isValid() && ready.isWritable()) {
                    write();
                }
            } catch (IOException e) {
                close();
            }
        }

        private void read() throws IOException {
            buffer.clear();
            int n = channel.read(buffer);
            if (n < 0) {
                close();
                return;
            }
            traffic.bytesIn += n;
            for (int i = 0; i < n; i++) {
                request.append((char) buffer.get(i));
            }
            if (request.indexOf("\r\n\r\n") >= 0) {
                traffic.calls++;
                waitingCalls.add(this);
                answerNext();
            } else if (request.length() > buffer.capacity()) {
                close();
            }
        }

        /**
         * Answers the queued call: sends the changes since the version that it names, or the
         * complete list, and adds the connection to the watchers.
         */
        void answerCall() {
            int at = request.indexOf("index=");
            int stop = request.indexOf(" ", Math.max(0, at));
            if (!request.toString().startsWith("GET /catalog/members?stream=1")
                    || at < 0
                    || stop < 0) {
                close();
                return;
            }
            long since = Long.parseLong(request.substring(at + 6, stop));
            request.setLength(0);
            send(RESPONSE_HEAD);
            if (since < baseSeq || since > seq) {
                traffic.completeLists++;
                sendListLine(completeList());
            } else {
                sendListLine(chunk(listJson(false, since)));
            }
            watchers.add(this);
        }

        /** Sends a line with list entries. */
        void sendListLine(byte[] line) {
            traffic.linesOut++;
            send(line);
        }

        void send(byte[] bytes) {
            unsent.add(ByteBuffer.wrap(bytes));
            try {
                write();
            } catch (IOException e) {
                close();
            }
        }

        private void write() throws IOException {
            while (!unsent.isEmpty()) {
                long n = channel.write(unsent.peek());
                countSent(n);
                if (unsent.peek().hasRemaining()) {
                    key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                    return;
                }
                unsent.poll();
            }
            key.interestOps(SelectionKey.OP_READ);
        }

        private void countSent(long n) {
            traffic.bytesOut += n;
            long now = System.nanoTime() / NANOS_PER_SECOND;
            bytesInSecond = now == countedSecond ? bytesInSecond + n : n;
            countedSecond = now;
            traffic.maxConnectionBytes = Math.max(traffic.maxConnectionBytes, bytesInSecond);
        }

        void close() {
            key.cancel();
            watchers.remove(this);
            waitingCalls.remove(this);
            try {
                channel.close();
            } catch (IOException e) {
                // Nothing to do: the connection is already out of use.
            }
        }
    }

    private final EventLoop loop = new EventLoop();
    private final ByteBuffer buffer = ByteBuffer.allocate(16 << 10);

    /** Minimum time between two answered calls, in nanoseconds. */
    private final long answerIntervalNanos;

    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Deque<ListChange> changes = new ArrayDeque<>();
    private final Set<Connection> watchers = new LinkedHashSet<>();
    private final Deque<Connection> waitingCalls = new ArrayDeque<>();
    private final Map<String, Traffic> trafficByRole = new LinkedHashMap<>();
    private final Map<String, String> pendingEntries = new LinkedHashMap<>();
    private long seq;
    private long baseSeq;
    private byte[] completeListLine;
    private long nextAnswerAt;
    private boolean answerScheduled;

    private ControlStandIn(double callsASecond) {
        answerIntervalNanos = (long) (NANOS_PER_SECOND / callsASecond);
    }

    /**
     * Runs one simulated control machine; the argument is the number of calls that it answers per
     * second.
     */
    public static void main(String[] args) throws IOException {
        ControlStandIn machine = new ControlStandIn(Double.parseDouble(args[0]));
        Thread reader = new Thread(machine::readOrders, "orders");
        reader.setDaemon(true);
        reader.start();
        machine.loop.after(HEARTBEAT_NANOS, machine::sendHeartbeats);
        machine.loop.after(
                NANOS_PER_SECOND - System.nanoTime() % NANOS_PER_SECOND, machine::reportSecond);
        machine.loop.run();
    }

    private void readOrders() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.ISO_8859_1))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String order = line;
                loop.post(() -> execute(order));
            }
        } catch (IOException e) {
            // The process of the run has ended; this one exits too.
        }
        Runtime.getRuntime().halt(0);
    }

    private void execute(String order) {
        String[] words = order.split(" ", 4);
        switch (words[0]) {
            case "entry" -> {
                seq = Long.parseLong(words[1]);
                pendingEntries.put(words[2], words[3]);
            }
            case "push" -> pushPending();
            case "from" -> {
                pushPending();
                seq = Long.parseLong(words[1]);
                baseSeq = seq;
                changes.clear();
                completeListLine = null;
            }
            case "open" -> listen(words[1], words[2]);
            default -> throw new IllegalArgumentException(order);
        }
    }

    private void pushPending() {
        if (pendingEntries.isEmpty()) {
            return;
        }
        entries.putAll(pendingEntries);
        changes.add(new ListChange(seq, List.copyOf(pendingEntries.keySet())));
        byte[] line = chunk(formatList(false, pendingEntries.values()));
        List.copyOf(watchers).forEach(connection -> connection.sendListLine(line));
        // An entry that left the list is sent once and is not part of complete lists.
        entries.values().removeIf(json -> json.contains("\"health\":\"left\""));
        pendingEntries.clear();
        completeListLine = null;
    }

    /** Returns the complete list, or the entries changed since a version, as JSON. */
    private String listJson(boolean all, long since) {
        if (all) {
            return formatList(true, entries.values());
        }
        Set<String> ids = new LinkedHashSet<>();
        changes.stream().filter(c -> c.seq > since).forEach(c -> ids.addAll(c.ids));
        List<String> changedEntries = new ArrayList<>();
        for (String id : ids) {
            changedEntries.add(
                    entries.getOrDefault(
                            id, "{\"host\":\"" + id + "\",\"dial\":\"\",\"health\":\"left\"}"));
        }
        return formatList(false, changedEntries);
    }

    private String formatList(boolean all, Iterable<String> hosts) {
        return "{\"seq\":"
                + seq
                + ",\"whole\":"
                + all
                + ",\"hosts\":["
                + String.join(",", hosts)
                + "]}\n";
    }

    private byte[] completeList() {
        if (completeListLine == null) {
            completeListLine = chunk(listJson(true, 0));
        }
        return completeListLine;
    }

    private void answerNext() {
        if (answerScheduled || waitingCalls.isEmpty()) {
            return;
        }
        answerScheduled = true;
        loop.at(
                Math.max(loop.now(), nextAnswerAt),
                () -> {
                    answerScheduled = false;
                    nextAnswerAt = loop.now() + answerIntervalNanos;
                    Connection next = waitingCalls.poll();
                    if (next != null) {
                        next.answerCall();
                    }
                    answerNext();
                });
    }

    private void listen(String role, String address) {
        int colon = address.lastIndexOf(':');
        Traffic traffic = trafficByRole.computeIfAbsent(role, r -> new Traffic());
        try {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.setOption(java.net.StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))),
                    ACCEPT_BACKLOG);
            loop.register(
                    server,
                    SelectionKey.OP_ACCEPT,
                    key -> {
                        for (SocketChannel c = server.accept(); c != null; c = server.accept()) {
                            c.setOption(java.net.StandardSocketOptions.TCP_NODELAY, true);
                            new Connection(c, traffic);
                        }
                    });
            System.out.println("opened " + address);
        } catch (IOException e) {
            System.out.println("fault " + address + ": " + e.getMessage());
        }
    }

    private void sendHeartbeats() {
        List.copyOf(watchers).forEach(connection -> connection.send(EMPTY_LINE));
        loop.after(HEARTBEAT_NANOS, this::sendHeartbeats);
    }

    /** Prints the traffic of each role in the second that just ended, and how late tasks ran. */
    private void reportSecond() {
        long second = System.nanoTime() / NANOS_PER_SECOND - 1;
        trafficByRole.forEach(
                (role, t) -> {
                    System.out.println(
                            "second "
                                    + second
                                    + " "
                                    + role
                                    + " "
                                    + t.bytesIn
                                    + " "
                                    + t.bytesOut
                                    + " "
                                    + t.calls
                                    + " "
                                    + t.linesOut
                                    + " "
                                    + t.completeLists
                                    + " "
                                    + t.maxConnectionBytes);
                    t.bytesIn = 0;
                    t.bytesOut = 0;
                    t.calls = 0;
                    t.linesOut = 0;
                    t.completeLists = 0;
                    t.maxConnectionBytes = 0;
                });
        System.out.println("late " + second + " " + loop.lateness().getValueAtPercentile(99.9));
        loop.lateness().reset();
        loop.after(NANOS_PER_SECOND - System.nanoTime() % NANOS_PER_SECOND, this::reportSecond);
    }

    private static byte[] chunk(String line) {
        return ascii(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}

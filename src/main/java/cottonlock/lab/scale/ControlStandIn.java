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
 * The stand-in of one machine of control, a process of its own: it tells the list whole and as a
 * watch, takes so many calls a second and lets the others wait their turn, and counts bytes and
 * messages each way for each role. What changed before it started it does not know: whoever held an
 * older list is told the whole.
 *
 * <p>The run tells it by lines on its standard input: {@code entry SEQ ID JSON}, {@code push} (what
 * came since goes to all watches), {@code from SEQ} (what was told is as of then, nothing older is
 * known), {@code open ROLE ADDRESS}. It ends with its input.
 */
final class ControlStandIn {
    /**
     * Nanoseconds between empty lines of a watch at rest, as the machines that it stands for send
     * them.
     */
    private static final long BEAT = 2_000_000_000L;

    private static final long SECOND = 1_000_000_000L;
    private static final int BACKLOG = 4_096;
    private static final byte[] HEAD =
            ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    private static final byte[] EMPTY_LINE = chunk("\n");

    /** Changes of the list: what one batch told, as the watches got it. */
    private record Told(long seq, List<String> ids) {}

    /** What passed of one role within the second. */
    private static final class Traffic {
        long in;
        long out;
        long calls;
        long lines;
        long whole;
        long worst;
    }

    private final class Connection implements EventLoop.ReadyHandler {
        final SocketChannel channel;
        final Traffic traffic;
        final StringBuilder request = new StringBuilder();
        final Deque<ByteBuffer> unsent = new ArrayDeque<>();
        SelectionKey key;

        /** Bytes out within the second that has this number. */
        long second;

        long bytes;

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
                end();
            }
        }

        private void read() throws IOException {
            buffer.clear();
            int n = channel.read(buffer);
            if (n < 0) {
                end();
                return;
            }
            traffic.in += n;
            for (int i = 0; i < n; i++) {
                request.append((char) buffer.get(i));
            }
            if (request.indexOf("\r\n\r\n") >= 0) {
                traffic.calls++;
                waiting.add(this);
                answerNext();
            } else if (request.length() > buffer.capacity()) {
                end();
            }
        }

        /** The call's turn has come. */
        void answer() {
            int at = request.indexOf("index=");
            int stop = request.indexOf(" ", Math.max(0, at));
            if (!request.toString().startsWith("GET /catalog/members?stream=1")
                    || at < 0
                    || stop < 0) {
                end();
                return;
            }
            long since = Long.parseLong(request.substring(at + 6, stop));
            request.setLength(0);
            send(HEAD);
            if (since < from || since > seq) {
                traffic.whole++;
                say(whole());
            } else {
                say(chunk(list(false, since)));
            }
            watching.add(this);
        }

        /** Sends a line of the list. */
        void say(byte[] line) {
            traffic.lines++;
            send(line);
        }

        void send(byte[] bytes) {
            unsent.add(ByteBuffer.wrap(bytes));
            try {
                write();
            } catch (IOException e) {
                end();
            }
        }

        private void write() throws IOException {
            while (!unsent.isEmpty()) {
                long n = channel.write(unsent.peek());
                count(n);
                if (unsent.peek().hasRemaining()) {
                    key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                    return;
                }
                unsent.poll();
            }
            key.interestOps(SelectionKey.OP_READ);
        }

        private void count(long n) {
            traffic.out += n;
            long now = System.nanoTime() / SECOND;
            bytes = now == second ? bytes + n : n;
            second = now;
            traffic.worst = Math.max(traffic.worst, bytes);
        }

        void end() {
            key.cancel();
            watching.remove(this);
            waiting.remove(this);
            try {
                channel.close();
            } catch (IOException e) {
                // It is closed all the same.
            }
        }
    }

    private final EventLoop loop = new EventLoop();
    private final ByteBuffer buffer = ByteBuffer.allocate(16 << 10);

    /** Nanoseconds between two calls that are answered. */
    private final long apart;

    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Deque<Told> changes = new ArrayDeque<>();
    private final Set<Connection> watching = new LinkedHashSet<>();
    private final Deque<Connection> waiting = new ArrayDeque<>();
    private final Map<String, Traffic> roles = new LinkedHashMap<>();
    private final Map<String, String> gathered = new LinkedHashMap<>();
    private long seq;
    private long from;
    private byte[] whole;
    private long nextAnswer;
    private boolean answering;

    private ControlStandIn(double callsASecond) {
        apart = (long) (SECOND / callsASecond);
    }

    /** The process; its argument: calls a second. */
    public static void main(String[] args) throws IOException {
        ControlStandIn machine = new ControlStandIn(Double.parseDouble(args[0]));
        Thread reader = new Thread(machine::follow, "orders");
        reader.setDaemon(true);
        reader.start();
        machine.loop.after(BEAT, machine::beat);
        machine.loop.after(SECOND - System.nanoTime() % SECOND, machine::tell);
        machine.loop.run();
    }

    private void follow() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.ISO_8859_1))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String order = line;
                loop.post(() -> carryOut(order));
            }
        } catch (IOException e) {
            // The run is gone, and this process ends with it.
        }
        Runtime.getRuntime().halt(0);
    }

    private void carryOut(String order) {
        String[] words = order.split(" ", 4);
        switch (words[0]) {
            case "entry" -> {
                seq = Long.parseLong(words[1]);
                gathered.put(words[2], words[3]);
            }
            case "push" -> push();
            case "from" -> {
                push();
                seq = Long.parseLong(words[1]);
                from = seq;
                changes.clear();
                whole = null;
            }
            case "open" -> open(words[1], words[2]);
            default -> throw new IllegalArgumentException(order);
        }
    }

    private void push() {
        if (gathered.isEmpty()) {
            return;
        }
        entries.putAll(gathered);
        changes.add(new Told(seq, List.copyOf(gathered.keySet())));
        byte[] line = chunk(text(false, gathered.values()));
        List.copyOf(watching).forEach(connection -> connection.say(line));
        // What left is told once, and is no part of whole lists.
        entries.values().removeIf(json -> json.contains("\"health\":\"left\""));
        gathered.clear();
        whole = null;
    }

    /** The list, or what changed since. */
    private String list(boolean all, long since) {
        if (all) {
            return text(true, entries.values());
        }
        Set<String> ids = new LinkedHashSet<>();
        changes.stream().filter(c -> c.seq > since).forEach(c -> ids.addAll(c.ids));
        List<String> told = new ArrayList<>();
        for (String id : ids) {
            told.add(
                    entries.getOrDefault(
                            id, "{\"host\":\"" + id + "\",\"dial\":\"\",\"health\":\"left\"}"));
        }
        return text(false, told);
    }

    private String text(boolean all, Iterable<String> hosts) {
        return "{\"seq\":"
                + seq
                + ",\"whole\":"
                + all
                + ",\"hosts\":["
                + String.join(",", hosts)
                + "]}\n";
    }

    private byte[] whole() {
        if (whole == null) {
            whole = chunk(list(true, 0));
        }
        return whole;
    }

    private void answerNext() {
        if (answering || waiting.isEmpty()) {
            return;
        }
        answering = true;
        loop.at(
                Math.max(loop.now(), nextAnswer),
                () -> {
                    answering = false;
                    nextAnswer = loop.now() + apart;
                    Connection next = waiting.poll();
                    if (next != null) {
                        next.answer();
                    }
                    answerNext();
                });
    }

    private void open(String role, String address) {
        int colon = address.lastIndexOf(':');
        Traffic traffic = roles.computeIfAbsent(role, r -> new Traffic());
        try {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.setOption(java.net.StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))),
                    BACKLOG);
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

    private void beat() {
        List.copyOf(watching).forEach(connection -> connection.send(EMPTY_LINE));
        loop.after(BEAT, this::beat);
    }

    /** What passed within the second that has just ended. */
    private void tell() {
        long second = System.nanoTime() / SECOND - 1;
        roles.forEach(
                (role, t) -> {
                    System.out.println(
                            "second " + second + " " + role + " " + t.in + " " + t.out + " "
                                    + t.calls + " " + t.lines + " " + t.whole + " " + t.worst);
                    t.in = 0;
                    t.out = 0;
                    t.calls = 0;
                    t.lines = 0;
                    t.whole = 0;
                    t.worst = 0;
                });
        System.out.println("late " + second + " " + loop.lateness().getValueAtPercentile(99.9));
        loop.lateness().reset();
        loop.after(SECOND - System.nanoTime() % SECOND, this::tell);
    }

    private static byte[] chunk(String line) {
        return ascii(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}

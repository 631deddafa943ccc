package cottonlock.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A baseline: a proxy that picks a backend from those that the list calls active by a plain policy,
 * sends again only what provably never ran, and knows nothing of lanes, quotas, doubt or cold
 * starts. It shows what the decisions of the real one are worth; no command serves with it.
 */
final class BaselineProxy implements Connection.Owner {
    /** Nanoseconds before the expiry at which it gives up: the way back. */
    private static final long RESERVE = 10_000_000L;

    /** One request. */
    private static final class Item {
        final Connection client;
        final HttpMessageParser.Message message;
        final long until;
        final List<Backend> tried = new ArrayList<>();
        EventLoop.Timer timer;
        Link link;
        boolean over;

        Item(Connection client, HttpMessageParser.Message message, long until) {
            this.client = client;
            this.message = message;
            this.until = until;
        }
    }

    /** A connection to a backend and the request on it. */
    private final class Link implements Connection.Owner {
        final Backend to;
        final HttpMessageParser in = new HttpMessageParser();
        Connection conn;
        Item item;
        boolean written;
        EventLoop.Timer connecting;

        Link(Backend to, Item item) {
            this.to = to;
            this.item = item;
        }

        void write() {
            HttpMessageParser.Message m = item.message;
            StringBuilder head = new StringBuilder(String.join(" ", m.startLine())).append("\r\n");
            m.fields()
                    .forEach(
                            (name, value) -> {
                                if (!name.equals("x-timeout-ms") && !name.equals("connection")) {
                                    head.append(name).append(": ").append(value).append("\r\n");
                                }
                            });
            long left = Math.max(1, (item.until - loop.now()) / 1_000_000);
            head.append("X-Timeout-Ms: ").append(left).append("\r\n\r\n");
            byte[] bytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
            byte[] whole = java.util.Arrays.copyOf(bytes, bytes.length + m.body().length);
            System.arraycopy(m.body(), 0, whole, bytes.length, m.body().length);
            written = true;
            conn.write(whole);
        }

        @Override
        public void onConnected(Connection c) {
            connecting.cancel();
            if (item != null) {
                write();
            }
        }

        @Override
        public void onBytes(Connection c, byte[] bytes, int length) {
            in.add(bytes, length);
            try {
                HttpMessageParser.Message answer = in.next();
                if (answer == null) {
                    return;
                }
                Item done = item;
                item = null;
                out.merge(to, -1, Integer::sum);
                if (done == null) {
                    c.reset();
                    return;
                }
                resting.computeIfAbsent(to, b -> new ArrayDeque<>()).addLast(this);
                back(done, answer);
            } catch (HttpMessageParser.MalformedMessageException e) {
                c.reset();
            }
        }

        @Override
        public void onClosed(Connection c, boolean byReset) {
            resting.getOrDefault(to, new ArrayDeque<>()).remove(this);
            Item broken = item;
            item = null;
            connecting.cancel();
            if (broken != null) {
                out.merge(to, -1, Integer::sum);
                if (!broken.over) {
                    if (written) {
                        give(broken, safe(broken) ? 503 : 502);
                    } else {
                        attempt(broken);
                    }
                }
            }
        }
    }

    private final EventLoop loop;
    private final ByteBuffer buffer;
    private final int number;
    private final String policy;
    private final int most;
    private final long connectTimeout;
    private final SplittableRandom random;
    private final Map<Backend, InetSocketAddress> dials;
    private final Listener listener;
    private final Map<Connection, HttpMessageParser> reading = new HashMap<>();
    private final Map<Connection, Item> items = new HashMap<>();
    private final Map<Backend, Deque<Link>> resting = new HashMap<>();
    private final Map<Backend, Integer> out = new HashMap<>();
    private List<Backend> active = List.of();
    private int turn;

    BaselineProxy(
            EventLoop loop,
            ByteBuffer buffer,
            int number,
            String policy,
            int most,
            long connectTimeout,
            SplittableRandom random,
            Map<Backend, InetSocketAddress> dials)
            throws IOException {
        this.loop = loop;
        this.buffer = buffer;
        this.number = number;
        this.policy = policy;
        this.most = most;
        this.connectTimeout = connectTimeout;
        this.random = random;
        this.dials = dials;
        this.listener = new Listener(loop, buffer, this, new NetworkPath(null), number, this);
    }

    InetSocketAddress address() {
        return listener.address();
    }

    void list(List<Backend> now) {
        active = now;
    }

    @Override
    public void onConnected(Connection conn) {
        reading.put(conn, new HttpMessageParser());
    }

    @Override
    public void onBytes(Connection conn, byte[] bytes, int length) {
        HttpMessageParser in = reading.get(conn);
        in.add(bytes, length);
        try {
            HttpMessageParser.Message m = in.next();
            if (m == null) {
                return;
            }
            long until =
                    loop.now() + 1_000_000L * Long.parseLong(m.field("x-timeout-ms")) - RESERVE;
            Item item = new Item(conn, m, until);
            items.put(conn, item);
            item.timer = loop.at(until, () -> give(item, 502));
            attempt(item);
        } catch (HttpMessageParser.MalformedMessageException e) {
            conn.reset();
        }
    }

    private static boolean safe(Item item) {
        return item.message.startLine().get(0).equals("GET");
    }

    private void attempt(Item item) {
        List<Backend> left = new ArrayList<>(active);
        left.removeAll(item.tried);
        if (left.isEmpty() || item.tried.size() >= most) {
            give(item, 503);
            return;
        }
        Backend to = pick(left);
        item.tried.add(to);
        out.merge(to, 1, Integer::sum);
        Deque<Link> kept = resting.getOrDefault(to, new ArrayDeque<>());
        for (Link link = kept.pollLast(); link != null; link = kept.pollLast()) {
            if (!link.conn.isClosed()) {
                link.item = item;
                item.link = link;
                link.write();
                return;
            }
        }
        Link link = new Link(to, item);
        item.link = link;
        link.conn = Connection.open(loop, dials.get(to), link, buffer);
        link.connecting = loop.after(connectTimeout, link.conn::reset);
    }

    private Backend pick(List<Backend> left) {
        switch (policy) {
            case "least" -> {
                int least = left.stream().mapToInt(b -> out.getOrDefault(b, 0)).min().orElse(0);
                List<Backend> idle =
                        left.stream().filter(b -> out.getOrDefault(b, 0) == least).toList();
                return idle.get(random.nextInt(idle.size()));
            }
            case "round" -> {
                return left.get(Math.floorMod(turn++ + number, left.size()));
            }
            default -> {
                return left.get(random.nextInt(left.size()));
            }
        }
    }

    private void back(Item item, HttpMessageParser.Message answer) {
        if (item.over) {
            return;
        }
        item.link = null;
        switch (answer.startLine().get(1)) {
            case "200" -> {
                over(item);
                item.client.write(HttpMessageParser.encodeResponse(200, null, null, answer.body()));
            }
            case "503", "504" -> {
                if (answer.field("x-not-processed") != null) {
                    attempt(item);
                } else {
                    give(item, safe(item) ? 503 : 502);
                }
            }
            default -> give(item, safe(item) ? 503 : 502);
        }
    }

    private void give(Item item, int status) {
        if (item.over) {
            return;
        }
        over(item);
        if (item.link != null && item.link.item == item) {
            item.link.conn.reset();
        }
        item.client.write(HttpMessageParser.encodeResponse(status, null, null, new byte[0]));
    }

    private void over(Item item) {
        item.over = true;
        item.timer.cancel();
        items.remove(item.client);
    }

    @Override
    public void onClosed(Connection conn, boolean byReset) {
        reading.remove(conn);
        listener.connections.remove(conn);
        Item item = items.get(conn);
        if (item != null) {
            over(item);
            if (item.link != null && item.link.item == item) {
                item.link.conn.reset();
            }
        }
    }
}

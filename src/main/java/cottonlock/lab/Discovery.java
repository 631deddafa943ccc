package cottonlock.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A simulated discovery service for one tier: a versioned list of its backends, served as a
 * complete list and as a watch, at a separate address for each proxy. It can be down, slow, stale,
 * silent or moved to new addresses. It reports to the ledger when a proxy was notified that a
 * backend drains or is gone.
 */
final class Discovery implements Connection.Owner {
    /** The interval of empty lines on an idle watch, in nanoseconds (PROTOCOL, Discovery). */
    private static final long HEARTBEAT_NANOS = 2_000_000_000L;

    /** The state of a backend in the list. */
    enum Health {
        ACTIVE,
        LEAVING,
        LEFT
    }

    /** One backend of the list. */
    private static final class Entry {
        final Backend backend;

        /** The actual state and the published one: they differ while the list is stale. */
        Health health = Health.ACTIVE;

        Health published = Health.ACTIVE;
        long version;

        /**
         * The process has restarted since the last publication, so its start time must be published
         * again.
         */
        boolean restarted;

        Entry(Backend backend) {
            this.backend = backend;
        }
    }

    /** The open watches of one proxy, if it has any. */
    private static final class Watch {
        final int proxy;
        final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        Listener listener;
        final Set<Connection> streams = new LinkedHashSet<>();

        /**
         * For a baseline proxy, which has no connection to discovery: it gets its updates by this
         * callback at the same times.
         */
        Consumer<List<Backend>> baselineUpdates;

        long lastContactAt;

        Watch(int proxy) {
            this.proxy = proxy;
        }
    }

    private final EventLoop loop;
    private final Ledger ledger;
    private final ByteBuffer buffer;
    private final long maxContactGapNanos;
    private final String sabotage;
    private final long wallStart;
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /**
     * The entries that have changed since the start, by the version of their last change, so that
     * an update looks only at these.
     */
    private final TreeMap<Long, Entry> changedEntries = new TreeMap<>();

    private final Map<Integer, Watch> watches = new LinkedHashMap<>();
    private final Map<Connection, HttpMessageParser> parsers = new LinkedHashMap<>();
    private final NetworkPath path = new NetworkPath(null);
    private long version = 1;
    private boolean down;
    private boolean stale;
    private boolean silent;
    private long delayNanos;

    Discovery(
            EventLoop loop,
            Ledger ledger,
            ByteBuffer buffer,
            long maxContactGapNanos,
            String sabotage,
            long wallStart) {
        this.loop = loop;
        this.ledger = ledger;
        this.buffer = buffer;
        this.maxContactGapNanos = maxContactGapNanos;
        this.sabotage = sabotage;
        this.wallStart = wallStart;
        loop.after(HEARTBEAT_NANOS, this::sendHeartbeats);
    }

    void add(Backend backend) {
        entries.put(backend.id, new Entry(backend));
    }

    /** Adds a proxy that will call, with the addresses of the backends that its list shows. */
    void addProxy(int proxy, Map<String, InetSocketAddress> addresses) throws IOException {
        Watch watch = new Watch(proxy);
        watch.addresses.putAll(addresses);
        watch.listener = new Listener(loop, buffer, this, path, proxy, watch);
        watches.put(proxy, watch);
    }

    void addBaselineProxy(int proxy, Consumer<List<Backend>> recipient) {
        Watch watch = new Watch(proxy);
        watch.baselineUpdates = recipient;
        watches.put(proxy, watch);
        recipient.accept(activeBackends());
    }

    InetSocketAddress address(int proxy) {
        return watches.get(proxy).listener.address();
    }

    private List<Backend> activeBackends() {
        List<Backend> active = new ArrayList<>();
        entries.values().stream()
                .filter(entry -> entry.published == Health.ACTIVE)
                .forEach(entry -> active.add(entry.backend));
        return active;
    }

    /** The complete list that a proxy gets. */
    String fullListJson(int proxy) {
        return json(proxy, true, 0);
    }

    private String json(int proxy, boolean full, long since) {
        StringBuilder hosts = new StringBuilder();
        Watch watch = watches.get(proxy);
        for (Entry entry : full ? entries.values() : changedSince(since)) {
            if (!full || entry.published != Health.LEFT) {
                Backend backend = entry.backend;
                InetSocketAddress address = watch.addresses.get(backend.id);
                boolean hideDrain = sabotage.equals("ignore-drain");
                boolean hideStart = sabotage.equals("hide-cold");
                long startedAtMillis =
                        backend.startedAt == 0 || hideStart
                                ? 0
                                : wallStart + backend.startedAt / 1_000_000;
                hosts.append(hosts.length() == 0 ? "" : ",")
                        .append("{\"host\":\"")
                        .append(backend.id)
                        .append("\",\"dial\":\"")
                        .append(address.getAddress().getHostAddress())
                        .append(':')
                        .append(address.getPort())
                        .append("\",\"site\":\"")
                        .append(backend.zone)
                        .append("\",\"class\":\"std\",\"block\":0,\"health\":\"")
                        .append(
                                (hideDrain ? Health.ACTIVE : entry.published)
                                        .name()
                                        .toLowerCase(java.util.Locale.ROOT))
                        .append("\",\"share\":1.0,\"born_ms\":")
                        .append(startedAtMillis)
                        .append('}');
            }
        }
        return "{\"seq\":" + version + ",\"whole\":" + full + ",\"hosts\":[" + hosts + "]}";
    }

    private Collection<Entry> changedSince(long version) {
        return changedEntries.tailMap(version, false).values();
    }

    /** Changes the state of a backend. */
    void setHealth(Backend backend, Health health) {
        Entry entry = entries.get(backend.id);
        entry.health = health;
        if (stale) {
            return;
        }
        publish(entry);
        for (Watch watch : watches.values()) {
            if (watch.baselineUpdates != null || !watch.streams.isEmpty()) {
                sendUpdate(watch);
            } else {
                scheduleAssumedUpdate(watch);
            }
        }
    }

    /** Records a restart of a backend's process, so that the list shows its new start time. */
    void onBackendRestarted(Backend backend) {
        entries.get(backend.id).restarted = true;
        setHealth(backend, Health.ACTIVE);
    }

    private void publish(Entry entry) {
        if (entry.published != entry.health || entry.restarted) {
            entry.published = entry.health;
            entry.restarted = false;
            changedEntries.remove(entry.version);
            entry.version = ++version;
            changedEntries.put(version, entry);
        }
    }

    /**
     * Records a proxy as notified that has had no watch and made no call for {@code
     * maxContactGapNanos}. A call that fails because discovery is down counts as a call.
     */
    private void scheduleAssumedUpdate(Watch watch) {
        loop.at(
                Math.max(loop.now(), watch.lastContactAt + maxContactGapNanos),
                () -> {
                    if (!watch.streams.isEmpty()) {
                        return;
                    }
                    if (down || loop.now() - watch.lastContactAt < maxContactGapNanos) {
                        watch.lastContactAt = down ? loop.now() : watch.lastContactAt;
                        scheduleAssumedUpdate(watch);
                    } else {
                        recordNotified(watch);
                    }
                });
    }

    private void sendUpdate(Watch watch) {
        long since = version - 1;
        Runnable update =
                () -> {
                    if (watch.baselineUpdates != null) {
                        if (!sabotage.equals("ignore-drain")) {
                            watch.baselineUpdates.accept(activeBackends());
                        }
                    } else {
                        String line = json(watch.proxy, false, since);
                        watch.streams.forEach(conn -> conn.write(encodeChunk(line + "\n")));
                    }
                    // Records only the entries of this update, as the others were recorded earlier:
                    // recording all of them made the loop late when a thousand backends changed in
                    // turn.
                    recordNotified(watch, changedSince(since));
                };
        if (delayNanos > 0) {
            loop.after(delayNanos, update);
        } else {
            update.run();
        }
    }

    private void recordNotified(Watch watch) {
        recordNotified(watch, entries.values());
    }

    private void recordNotified(Watch watch, Collection<Entry> announced) {
        for (Entry entry : announced) {
            if (entry.published == Health.ACTIVE) {
                ledger.drainRevoked(watch.proxy, entry.backend.id);
            } else {
                ledger.drainAnnounced(loop.now(), watch.proxy, entry.backend.id);
            }
        }
    }

    private static byte[] encodeChunk(String text) {
        return (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private void sendHeartbeats() {
        for (Watch watch : watches.values()) {
            if (!silent) {
                watch.streams.forEach(conn -> conn.write(encodeChunk("\n")));
            }
        }
        loop.after(HEARTBEAT_NANOS, this::sendHeartbeats);
    }

    /**
     * Takes discovery down or up again. While it is down, watches end, calls are reset and new
     * connections are refused.
     */
    void setDown(boolean value) throws IOException {
        down = value;
        for (Watch watch : watches.values()) {
            if (watch.listener != null) {
                watch.streams.clear();
                if (value) {
                    watch.listener.stopListening();
                    watch.listener.resetConnections();
                } else {
                    watch.listener.startListening();
                    watch.lastContactAt = loop.now();
                }
            }
        }
    }

    /** Delays every response and every update by this time. */
    void setDelay(long nanos) {
        delayNanos = nanos;
    }

    /** Keeps changes back while true; when it ends, all changes are published. */
    void setStale(boolean value) {
        stale = value;
        if (!value) {
            entries.values().forEach(this::publish);
            for (Watch watch : watches.values()) {
                List.copyOf(watch.streams).forEach(Connection::reset);
                if (watch.baselineUpdates != null) {
                    watch.baselineUpdates.accept(activeBackends());
                    recordNotified(watch);
                }
            }
        }
    }

    /**
     * While true, sends no heartbeats on watches and keeps changes back; when it ends, all changes
     * are published.
     */
    void setSilent(boolean value) {
        silent = value;
        setStale(value);
    }

    /** Moves discovery to new addresses; connections to the old ones are refused. */
    void moveToNewAddresses() throws IOException {
        for (Watch watch : watches.values()) {
            if (watch.listener != null) {
                watch.streams.clear();
                watch.listener.stopListening();
                watch.listener.resetConnections();
                watch.listener = new Listener(loop, buffer, this, path, watch.proxy, watch);
            }
        }
    }

    @Override
    public void onConnected(Connection conn) {
        parsers.put(conn, new HttpMessageParser());
    }

    @Override
    public void onBytes(Connection conn, byte[] bytes, int length) {
        HttpMessageParser parser = parsers.get(conn);
        if (parser == null) {
            return;
        }
        parser.add(bytes, length);
        try {
            for (HttpMessageParser.Message m = parser.next(); m != null; m = parser.next()) {
                HttpMessageParser.Message message = m;
                if (delayNanos > 0) {
                    loop.after(delayNanos, () -> handleRequest(conn, message));
                } else {
                    handleRequest(conn, message);
                }
            }
        } catch (HttpMessageParser.MalformedMessageException e) {
            conn.reset();
        }
    }

    private void handleRequest(Connection conn, HttpMessageParser.Message message) {
        Watch watch = (Watch) ((Listener) conn.attachment).attachment;
        String target = message.startLine().get(1);
        if (conn.isClosed() || down) {
            return;
        }
        if (!target.startsWith("/catalog/members")) {
            conn.write(HttpMessageParser.encodeResponse(404, null, null, new byte[0]));
            return;
        }
        watch.lastContactAt = loop.now();
        if (!target.contains("stream=1")) {
            conn.write(
                    HttpMessageParser.encodeResponse(
                            200,
                            null,
                            null,
                            fullListJson(watch.proxy).getBytes(StandardCharsets.ISO_8859_1)));
        } else {
            long since = parseIndex(target);
            boolean full = since <= 0 || since > version;
            conn.write(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            .getBytes(StandardCharsets.ISO_8859_1));
            conn.write(encodeChunk(json(watch.proxy, full, since) + "\n"));
            watch.streams.add(conn);
        }
        recordNotified(watch);
    }

    private static long parseIndex(String target) {
        int parameter = target.indexOf("index=");
        String digits =
                parameter < 0 ? "" : target.substring(parameter + 6).replaceAll("[^0-9].*", "");
        return digits.isEmpty() ? 0 : Long.parseLong(digits);
    }

    @Override
    public void onClosed(Connection conn, boolean byReset) {
        parsers.remove(conn);
        Listener listener = (Listener) conn.attachment;
        listener.connections.remove(conn);
        Watch watch = (Watch) listener.attachment;
        if (watch.streams.remove(conn)) {
            // The proxy was in contact until its watch ended.
            watch.lastContactAt = loop.now();
        }
    }
}

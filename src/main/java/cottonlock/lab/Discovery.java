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
 * The stand-in of discovery for one tier: the list of its backends with versions, whole and as a
 * watch, at an address of its own for each proxy. It can be down, slow, stale or elsewhere. It
 * tells the ledger when a proxy was told that a backend leaves.
 */
final class Discovery implements Conn.Owner {
    /** Nanoseconds between empty lines of a watch at rest (PROTOCOL, Discovery). */
    private static final long BEAT = 2_000_000_000L;

    /** What the list says of a backend. */
    enum Health {
        ACTIVE,
        LEAVING,
        LEFT
    }

    /** One line of the list. */
    private static final class Line {
        final Backend backend;

        /** What is so, and what the list says: they differ while it is stale. */
        Health health = Health.ACTIVE;

        Health shown = Health.ACTIVE;
        long version;

        /** Its process has started anew since it was shown: its start is told again. */
        boolean restarted;

        Line(Backend backend) {
            this.backend = backend;
        }
    }

    /** One proxy's watch, or its absence. */
    private static final class Watch {
        final int proxy;
        final Map<String, InetSocketAddress> dials = new LinkedHashMap<>();
        Door door;
        final Set<Conn> watching = new LinkedHashSet<>();

        /** For a plain proxy, which has no socket to discovery: it is told at the same moments. */
        Consumer<List<Backend>> plain;

        long askedAt;

        Watch(int proxy) {
            this.proxy = proxy;
        }
    }

    private final Loop loop;
    private final Ledger ledger;
    private final ByteBuffer buffer;
    private final long askWithin;
    private final String sabotage;
    private final long wallStart;
    private final Map<String, Line> lines = new LinkedHashMap<>();

    /**
     * The lines that have ever changed, by the version of their last change: a change looks at no
     * other.
     */
    private final TreeMap<Long, Line> changed = new TreeMap<>();

    private final Map<Integer, Watch> watches = new LinkedHashMap<>();
    private final Map<Conn, HttpIn> asking = new LinkedHashMap<>();
    private final Path path = new Path(null);
    private long version = 1;
    private boolean down;
    private boolean stale;
    private boolean silent;
    private long slow;

    Discovery(
            Loop loop,
            Ledger ledger,
            ByteBuffer buffer,
            long askWithin,
            String sabotage,
            long wallStart) {
        this.loop = loop;
        this.ledger = ledger;
        this.buffer = buffer;
        this.askWithin = askWithin;
        this.sabotage = sabotage;
        this.wallStart = wallStart;
        loop.after(BEAT, this::beat);
    }

    void add(Backend backend) {
        lines.put(backend.id, new Line(backend));
    }

    /** A proxy that will ask, with the addresses that it is told. */
    void serve(int proxy, Map<String, InetSocketAddress> dials) throws IOException {
        Watch watch = new Watch(proxy);
        watch.dials.putAll(dials);
        watch.door = new Door(loop, buffer, this, path, proxy, watch);
        watches.put(proxy, watch);
    }

    void servePlain(int proxy, Consumer<List<Backend>> told) {
        Watch watch = new Watch(proxy);
        watch.plain = told;
        watches.put(proxy, watch);
        told.accept(active());
    }

    InetSocketAddress address(int proxy) {
        return watches.get(proxy).door.address();
    }

    private List<Backend> active() {
        List<Backend> active = new ArrayList<>();
        lines.values().stream()
                .filter(l -> l.shown == Health.ACTIVE)
                .forEach(l -> active.add(l.backend));
        return active;
    }

    /** The whole list as a proxy gets it. */
    String whole(int proxy) {
        return json(proxy, true, 0);
    }

    private String json(int proxy, boolean whole, long since) {
        StringBuilder hosts = new StringBuilder();
        Watch watch = watches.get(proxy);
        for (Line l : whole ? lines.values() : since(since)) {
            if (!whole || l.shown != Health.LEFT) {
                Backend b = l.backend;
                InetSocketAddress dial = watch.dials.get(b.id);
                boolean hides = sabotage.equals("ignore-drain");
                boolean hidesStart = sabotage.equals("hide-cold");
                long born =
                        b.startedAt == 0 || hidesStart ? 0 : wallStart + b.startedAt / 1_000_000;
                hosts.append(hosts.length() == 0 ? "" : ",")
                        .append("{\"host\":\"")
                        .append(b.id)
                        .append("\",\"dial\":\"")
                        .append(dial.getAddress().getHostAddress())
                        .append(':')
                        .append(dial.getPort())
                        .append("\",\"site\":\"")
                        .append(b.room)
                        .append("\",\"class\":\"std\",\"block\":0,\"health\":\"")
                        .append(
                                (hides ? Health.ACTIVE : l.shown)
                                        .name()
                                        .toLowerCase(java.util.Locale.ROOT))
                        .append("\",\"share\":1.0,\"born_ms\":")
                        .append(born)
                        .append('}');
            }
        }
        return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + hosts + "]}";
    }

    private Collection<Line> since(long version) {
        return changed.tailMap(version, false).values();
    }

    /** The state of a backend changes. */
    void set(Backend backend, Health health) {
        Line line = lines.get(backend.id);
        line.health = health;
        if (stale) {
            return;
        }
        show(line);
        for (Watch watch : watches.values()) {
            if (watch.plain != null || !watch.watching.isEmpty()) {
                tell(watch);
            } else {
                remind(watch);
            }
        }
    }

    /** A backend's process has started anew: the list tells when. */
    void restarted(Backend backend) {
        lines.get(backend.id).restarted = true;
        set(backend, Health.ACTIVE);
    }

    private void show(Line line) {
        if (line.shown != line.health || line.restarted) {
            line.shown = line.health;
            line.restarted = false;
            changed.remove(line.version);
            line.version = ++version;
            changed.put(version, line);
        }
    }

    /**
     * Who neither watches nor asks for too long counts as told all the same; a call that fails is
     * asking.
     */
    private void remind(Watch watch) {
        loop.at(
                Math.max(loop.now(), watch.askedAt + askWithin),
                () -> {
                    if (!watch.watching.isEmpty()) {
                        return;
                    }
                    if (down || loop.now() - watch.askedAt < askWithin) {
                        watch.askedAt = down ? loop.now() : watch.askedAt;
                        remind(watch);
                    } else {
                        note(watch);
                    }
                });
    }

    private void tell(Watch watch) {
        long since = version - 1;
        Runnable telling =
                () -> {
                    if (watch.plain != null) {
                        if (!sabotage.equals("ignore-drain")) {
                            watch.plain.accept(active());
                        }
                    } else {
                        String line = json(watch.proxy, false, since);
                        watch.watching.forEach(conn -> conn.write(chunk(line + "\n")));
                    }
                    // The others were noted when they were told: with all of them, a thousand
                    // backends that change in
                    // turn made the loop late.
                    note(watch, since(since));
                };
        if (slow > 0) {
            loop.after(slow, telling);
        } else {
            telling.run();
        }
    }

    private void note(Watch watch) {
        note(watch, lines.values());
    }

    private void note(Watch watch, Collection<Line> told) {
        for (Line l : told) {
            if (l.shown == Health.ACTIVE) {
                ledger.drainRevoked(watch.proxy, l.backend.id);
            } else {
                ledger.drainAnnounced(loop.now(), watch.proxy, l.backend.id);
            }
        }
    }

    private static byte[] chunk(String text) {
        return (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private void beat() {
        for (Watch watch : watches.values()) {
            if (!silent) {
                watch.watching.forEach(conn -> conn.write(chunk("\n")));
            }
        }
        loop.after(BEAT, this::beat);
    }

    /** Down: watches end, calls are reset, new connections refused. */
    void down(boolean off) throws IOException {
        down = off;
        for (Watch watch : watches.values()) {
            if (watch.door != null) {
                watch.watching.clear();
                if (off) {
                    watch.door.shut();
                    watch.door.resetAll();
                } else {
                    watch.door.open();
                    watch.askedAt = loop.now();
                }
            }
        }
    }

    /** Every call and every line takes so much longer. */
    void slow(long nanos) {
        slow = nanos;
    }

    /** Stale: changes are kept back; at the end all is told. */
    void stale(boolean keepBack) {
        stale = keepBack;
        if (!keepBack) {
            lines.values().forEach(this::show);
            for (Watch watch : watches.values()) {
                List.copyOf(watch.watching).forEach(Conn::reset);
                if (watch.plain != null) {
                    watch.plain.accept(active());
                    note(watch);
                }
            }
        }
    }

    /** Silent: nothing is said on a watch, and changes are kept back; at the end all is told. */
    void silent(boolean saysNothing) {
        silent = saysNothing;
        stale(saysNothing);
    }

    /** It is at new addresses from now on; the old ones refuse. */
    void move() throws IOException {
        for (Watch watch : watches.values()) {
            if (watch.door != null) {
                watch.watching.clear();
                watch.door.shut();
                watch.door.resetAll();
                watch.door = new Door(loop, buffer, this, path, watch.proxy, watch);
            }
        }
    }

    @Override
    public void up(Conn conn) {
        asking.put(conn, new HttpIn());
    }

    @Override
    public void came(Conn conn, byte[] bytes, int length) {
        HttpIn in = asking.get(conn);
        if (in == null) {
            return;
        }
        in.add(bytes, length);
        try {
            for (HttpIn.Message m = in.next(); m != null; m = in.next()) {
                HttpIn.Message message = m;
                if (slow > 0) {
                    loop.after(slow, () -> asked(conn, message));
                } else {
                    asked(conn, message);
                }
            }
        } catch (HttpIn.Unreadable e) {
            conn.reset();
        }
    }

    private void asked(Conn conn, HttpIn.Message message) {
        Watch watch = (Watch) ((Door) conn.of).of;
        String target = message.start().get(1);
        if (conn.isOver() || down) {
            return;
        }
        if (!target.startsWith("/catalog/members")) {
            conn.write(HttpIn.answer(404, null, null, new byte[0]));
            return;
        }
        watch.askedAt = loop.now();
        if (!target.contains("stream=1")) {
            conn.write(
                    HttpIn.answer(
                            200,
                            null,
                            null,
                            whole(watch.proxy).getBytes(StandardCharsets.ISO_8859_1)));
        } else {
            long since = index(target);
            boolean whole = since <= 0 || since > version;
            conn.write(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            .getBytes(StandardCharsets.ISO_8859_1));
            conn.write(chunk(json(watch.proxy, whole, since) + "\n"));
            watch.watching.add(conn);
        }
        note(watch);
    }

    private static long index(String target) {
        int at = target.indexOf("index=");
        String digits = at < 0 ? "" : target.substring(at + 6).replaceAll("[^0-9].*", "");
        return digits.isEmpty() ? 0 : Long.parseLong(digits);
    }

    @Override
    public void ended(Conn conn, boolean byReset) {
        asking.remove(conn);
        Door door = (Door) conn.of;
        door.conns.remove(conn);
        Watch watch = (Watch) door.of;
        if (watch.watching.remove(conn)) {
            // It was looked after until now.
            watch.askedAt = loop.now();
        }
    }
}

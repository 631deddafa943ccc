import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * With limits cut by half, half-written requests arrive by hundreds: whole heads with many short
 * fields, and the beginning of a body that never comes to its end. The stand-in of the platform
 * kills the proxy when its memory goes over the limit.
 */
final class HalfWrittenRequests {
    private static final int MEMORY_MB = 96;
    private static final int SOCKETS = 512;
    private static final int ROUNDS = 4;
    private static final int HALF_WRITTEN = 250;
    private static final int HEAD_BYTES = 8_100;

    private static final AtomicInteger SENT = new AtomicInteger();
    private static final AtomicInteger ANSWERED = new AtomicInteger();
    private static final AtomicInteger CUT_OFF = new AtomicInteger();
    private static volatile long highestKb;
    private static volatile boolean killed;
    private static volatile boolean ended;

    private HalfWrittenRequests() {}

    public static void main(String[] args) {
        Rig.play(args, HalfWrittenRequests::run);
    }

    private static boolean run() throws Exception {
        Discovery discovery = new Discovery();
        for (String id : List.of("s-1", "s-2", "s-3", "s-4")) {
            Backend backend = new Backend(id, HalfWrittenRequests::handle);
            discovery.set(id, backend.dial(), "a", "active", 0);
        }
        Rig.Proxy proxy = new Rig.Proxy("n0");
        proxy.memoryMb = MEMORY_MB;
        proxy.sockets = SOCKETS;
        String category = Settings.category("limit-check", 1_500, 4_000, "safe", "");
        proxy.configure(
                discovery.port(),
                discovery.whole(),
                Settings.of(category, 1, 1_000, "subscribe", Settings.KANTOR));
        proxy.start();
        proxy.awaitHealth(30_000);
        privateKb(proxy);
        Thread platform = Rig.thread(() -> watchMemory(proxy));
        List<Thread> usual = new ArrayList<>();
        double end = Rig.millis() + 20_000;
        for (int i = 0; i < 4; i++) {
            int number = i;
            usual.add(Rig.thread(() -> usualClient(number, proxy.port, end)));
        }
        Rig.sleep(3_000);
        Rig.note("private memory before: " + highestKb + " kB");
        for (int round = 0; Rig.TROUBLE && !killed && round < ROUNDS; round++) {
            halfWritten(round, proxy.port);
        }
        for (Thread client : usual) {
            client.join();
        }
        ended = true;
        platform.join();
        Rig.note("usual clients: sent " + SENT + ", answered " + ANSWERED + ", cut off " + CUT_OFF);
        Rig.note("highest private memory " + highestKb + " kB, limit " + MEMORY_MB * 1024 + " kB");
        proxy.noteLog();
        if (ANSWERED.get() < 50) {
            throw new IOException("too few requests were answered");
        }
        return !killed;
    }

    private static void handle(Backend.Exchange exchange) throws IOException {
        Rig.sleep(10);
        exchange.answer(200, "made for " + exchange.id());
    }

    /** The process's own memory: neither files nor what it shares with others. */
    private static long privateKb(Rig.Proxy proxy) throws IOException {
        Path status = Path.of("/proc/" + proxy.process.pid() + "/status");
        for (String line : Files.readAllLines(status)) {
            if (line.startsWith("RssAnon:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        throw new IOException("the system does not tell a process's memory");
    }

    /** The platform: over its limit a proxy is killed. */
    private static void watchMemory(Rig.Proxy proxy) {
        while (!ended) {
            try {
                highestKb = Math.max(highestKb, privateKb(proxy));
            } catch (IOException e) {
                return;
            }
            if (highestKb > MEMORY_MB * 1024L) {
                killed = true;
                Rig.note("private memory " + highestKb + " kB is over the limit: proxy killed");
                proxy.process.destroyForcibly();
                return;
            }
            Rig.sleep(50);
        }
    }

    private static void halfWritten(int round, int port) {
        StringBuilder fields = new StringBuilder();
        List<Rig.Client> clients = new ArrayList<>();
        while (fields.length() < HEAD_BYTES - 200) {
            fields.append("a:b\r\n");
        }
        try {
            for (int i = 0; i < HALF_WRITTEN; i++) {
                Rig.Client client = new Rig.Client(port);
                clients.add(client);
                client.write(
                        "POST /limit-check HTTP/1.1\r\nHost: o\r\nX-Request-ID: h"
                                + round
                                + "-"
                                + i
                                + "\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 3000\r\n"
                                + "Idempotency-Key: k\r\nContent-Length: 500\r\n"
                                + fields
                                + "\r\nhalf");
            }
        } catch (IOException e) {
            Rig.note("half-written: " + e);
        }
        Rig.note("round " + round + ": " + clients.size() + " half-written requests");
        int refused = 0;
        int closed = 0;
        for (Rig.Client client : clients) {
            try (client) {
                client.socket.setSoTimeout(3_500);
                client.read();
                refused++;
            } catch (IOException e) {
                closed++;
            }
        }
        Rig.note("round " + round + ": got an error " + refused + ", a close " + closed);
    }

    private static void usualClient(int number, int port, double end) {
        int count = 0;
        while (!killed && Rig.millis() < end) {
            try (Rig.Client client = new Rig.Client(port)) {
                client.socket.setSoTimeout(6_000);
                boolean open = true;
                while (open && Rig.millis() < end) {
                    SENT.incrementAndGet();
                    String id = String.format("%02d%06d", number, count++);
                    client.write(Rig.get("limit-check", id, "acme", 4_000));
                    open = !client.read().close;
                    ANSWERED.incrementAndGet();
                    Rig.sleep(20);
                }
            } catch (IOException e) {
                CUT_OFF.incrementAndGet();
                Rig.note("usual client " + number + ": " + e);
            }
        }
    }
}

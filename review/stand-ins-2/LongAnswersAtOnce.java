import java.io.IOException;
import java.io.OutputStream;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Long answers come in pieces, more at once than memory holds, while usual clients go on. */
final class LongAnswersAtOnce {
    private static final int BACKENDS = 40;
    private static final int USUAL_CLIENTS = 60;

    /** How many long answers come at once, wave by wave. */
    private static final int[] WAVES = {140, 142, 144, 146, 143, 145};

    private static final int FIRST_PIECE = 58_000;
    private static final int FURTHER_PIECES = 100;
    private static final long USUAL_TIMEOUT_MILLIS = 4_000;

    /** Half a second, and what the protocol page adds to each time limit. */
    private static final long SLACK_MILLIS = 550;

    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger SENT = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static final AtomicInteger UNREAD = new AtomicInteger();
    private static final AtomicInteger LONG_SERVED = new AtomicInteger();
    private static final AtomicInteger LONG_FAILED = new AtomicInteger();
    private static volatile boolean ended;

    private LongAnswersAtOnce() {}

    public static void main(String[] args) {
        Rig.play(args, LongAnswersAtOnce::run);
    }

    private static boolean run() throws Exception {
        Discovery discovery = new Discovery();
        for (int i = 0; i < BACKENDS; i++) {
            Backend backend = new Backend("s-" + i, LongAnswersAtOnce::handle);
            discovery.set("s-" + i, backend.dial(), "a", "active", 0);
        }
        Rig.Proxy proxy = new Rig.Proxy("n0");
        proxy.memoryMb = 96;
        proxy.sockets = 1_024;
        String categories =
                Settings.category("limit-check", 1_500, 4_000, "unsafe", "")
                        + ","
                        + Settings.category(
                                "exchange-record",
                                2_500,
                                6_000,
                                "keyed",
                                ",\"KeyScope\":\"zone\",\"RepeatWindow\":10000000");
        proxy.configure(
                discovery.port(),
                discovery.whole(),
                Settings.of(categories, 1, 10_000, "subscribe", Settings.KANTOR));
        proxy.start();
        proxy.awaitHealth(30_000);
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int number = i;
            usual.add(Rig.thread(() -> usualClient(number, proxy.port)));
        }
        Rig.sleep(2_000);
        for (int wave = 0; wave < WAVES.length && !isLate(); wave++) {
            wave(wave, proxy.port);
        }
        ended = true;
        for (Thread client : usual) {
            client.join();
        }
        Rig.note("long answers: whole " + LONG_SERVED + ", failed " + LONG_FAILED);
        Rig.note("usual: sent " + SENT + ", served " + SERVED + ", closed unread " + UNREAD);
        Rig.note("usual: lost " + LOST);
        proxy.noteLog();
        if (SERVED.get() < 1_000 || (Rig.TROUBLE && LONG_SERVED.get() < 100)) {
            throw new IOException("too few requests were served");
        }
        return LOST.get() == 0;
    }

    private static boolean isLate() {
        return Rig.millis() > 85_000;
    }

    private static void wave(int wave, int port) throws InterruptedException {
        if (!Rig.TROUBLE) {
            Rig.sleep(4_700);
            return;
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < WAVES[wave]; i++) {
            String id = "long-" + wave + "-" + i;
            clients.add(Rig.thread(() -> longClient(id, port)));
            if (i % 10 == 9) {
                Rig.sleep(5);
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        Rig.note("wave " + wave + ": " + WAVES[wave] + " long answers at once; lost " + LOST);
    }

    private static void handle(Backend.Exchange exchange) throws IOException {
        if (!exchange.target.startsWith("/exchange-record")) {
            RUN.add(exchange.id());
            Rig.sleep(10);
            exchange.answer(200, "made for " + exchange.id());
            return;
        }
        OutputStream out = exchange.socket.getOutputStream();
        out.write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        chunk(out, FIRST_PIECE);
        for (int i = 0; i < FURTHER_PIECES; i++) {
            Rig.sleep(i < 5 ? 900 : 1);
            chunk(out, 1_000);
        }
        out.write(bytes("0\r\n\r\n"));
    }

    private static void chunk(OutputStream out, int length) throws IOException {
        String piece = Integer.toHexString(length) + "\r\n" + "x".repeat(length) + "\r\n";
        out.write(bytes(piece));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void longClient(String id, int port) {
        try (Rig.Client client = new Rig.Client(port)) {
            client.socket.setSoTimeout(12_000);
            client.write(Rig.post("exchange-record", id, "acme", 5_000, id));
            (client.read().status == 200 ? LONG_SERVED : LONG_FAILED).incrementAndGet();
        } catch (IOException e) {
            LONG_FAILED.incrementAndGet();
        }
    }

    private static void usualClient(int number, int port) {
        int count = 0;
        while (!ended) {
            try (Rig.Client client = new Rig.Client(port)) {
                client.socket.setSoTimeout((int) (USUAL_TIMEOUT_MILLIS + SLACK_MILLIS));
                boolean open = true;
                while (open && !ended) {
                    open = ask(client, String.format("%02d%06d", number, count++));
                    Rig.sleep(20);
                }
            } catch (IOException e) {
                Rig.sleep(20);
            }
        }
    }

    /** One request and its answer; false when the connection is to end. */
    private static boolean ask(Rig.Client client, String id) throws IOException {
        double sent = Rig.millis();
        SENT.incrementAndGet();
        try {
            client.write(Rig.post("limit-check", id, "acme", USUAL_TIMEOUT_MILLIS, null));
            Rig.Answer answer = client.read();
            if (answer.status == 200) {
                SERVED.incrementAndGet();
            }
            return !answer.close;
        } catch (IOException e) {
            // One that was never sent on may have crossed the end of a resting connection.
            boolean neverSentOn = !RUN.contains(id) && !(e instanceof SocketTimeoutException);
            (neverSentOn ? UNREAD : LOST).incrementAndGet();
            Rig.note(
                    String.format(
                            Locale.ROOT,
                            "request %s got no answer: %s after %.0f ms; it had %s",
                            id,
                            e.getMessage(),
                            Rig.millis() - sent,
                            RUN.contains(id) ? "run" : "not run"));
            throw e;
        }
    }
}

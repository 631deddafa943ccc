import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A new configuration changes the effect of a class while clients are sending requests of it. */
final class Retune {
    private static final int BACKENDS = 4;
    private static final int UPLOADS = 4;
    private static final int QUOTE_CLIENTS = 8;
    private static final int LENGTH = 64 << 10;
    private static final int PART = 4 << 10;
    private static final int BYTES_PER_SECOND = 64_000;

    /** The backends that ran each request, by its id. */
    private static final Map<String, List<String>> runs = new ConcurrentSkipListMap<>();

    /** From this time after SIGHUP on the new rules of a class bind. */
    private static final long BINDING_MILLIS = 1_200;

    /** When the latest run of each request began, after SIGHUP; 0 if there was none. */
    private static final Map<String, Long> secondRunMillis = new ConcurrentSkipListMap<>();

    private static volatile long hangUpMillis;
    private static final AtomicInteger served = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger unanswered = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Stand.main(Path.of(args[0]), () -> run(Path.of(args[1])));
    }

    private static boolean run(Path folder) throws Exception {
        Stand.Discovery discovery = new Stand.Discovery();
        for (int i = 0; i < BACKENDS; i++) {
            String id = "s-" + i;
            int port = Stand.listen(id, socket -> backend(id, socket));
            discovery.put(id, Stand.host(id, port, "krakow-a", "active", 0));
        }
        int port = Stand.freePort();
        Path config = folder.resolve("config.json");
        Files.writeString(config, config(port, discovery, "unsafe"));
        Stand.Proxy proxy = Stand.Proxy.start(config, folder.resolve("tmp"), port);
        proxy.awaitReady();
        // Traffic of another class, as a proxy has it all day.
        for (int i = 0; i < QUOTE_CLIENTS; i++) {
            int number = i;
            Stand.start("client", () -> quotes(number, port));
        }
        Stand.sleep(3_000);
        Stand.say(UPLOADS + " clients begin a POST of exchange-record, unsafe and without a key");
        Thread[] uploads = new Thread[UPLOADS];
        for (int i = 0; i < UPLOADS; i++) {
            int number = i;
            uploads[i] = Stand.start("upload", () -> upload(number, port));
        }
        Stand.sleep(500);
        if (Stand.TROUBLE) {
            Path next = folder.resolve("next.json");
            Files.writeString(next, config(port, discovery, "keyed"));
            Files.move(next, config, StandardCopyOption.ATOMIC_MOVE);
            Stand.say("a new configuration: exchange-record is keyed");
            hangUpMillis = Stand.millis();
            proxy.signal("HUP");
        }
        for (Thread upload : uploads) {
            upload.join();
        }
        Stand.sleep(500);
        int twice = 0;
        int tooLate = 0;
        for (Map.Entry<String, List<String>> run : runs.entrySet()) {
            Stand.note("request " + run.getKey() + " ran at " + run.getValue());
            if (run.getValue().size() > 1 && secondRunMillis.get(run.getKey()) >= BINDING_MILLIS) {
                tooLate++;
                Stand.say("request " + run.getKey() + " ran again when the new rules may bind; not counted");
            } else if (run.getValue().size() > 1) {
                twice++;
                Stand.say("request " + run.getKey() + ", sent without a key, ran at " + run.getValue());
            }
        }
        Stand.say("answered " + answered + ", unanswered " + unanswered + ", ran more than once " + twice
                + "; rate-quote served " + served);
        proxy.noteLog(20);
        Stand.check(runs.size() == UPLOADS, "not all requests ran");
        Stand.check(twice > 0 || tooLate == 0, "the machine was too slow: no run before the new rules bind");
        return twice > 0;
    }

    private static String config(int port, Stand.Discovery discovery, String repeat) {
        return Stand.config(
                port,
                discovery.port,
                Stand.category("rate-quote", "safe", "all", 750, 2000, 5000)
                        + ","
                        + Stand.category("exchange-record", repeat, "zone", 2500, 6000, 10000),
                discovery.whole(),
                192,
                1024,
                "automatic",
                "");
    }

    /** Runs each request whose last byte has come; the first run of an exchange-record ends with 500. */
    private static void backend(String id, Socket socket) throws Exception {
        InputStream in = socket.getInputStream();
        for (Stand.Message request = Stand.Message.read(in);
                request != null;
                request = Stand.Message.read(in)) {
            String requestId = request.field("X-Request-ID");
            if (requestId.startsWith("e")) {
                Thread.sleep(30);
                answer(socket, "200 OK", requestId);
                continue;
            }
            List<String> ran = runs.computeIfAbsent(requestId, key -> new ArrayList<>());
            boolean first;
            synchronized (ran) {
                first = ran.isEmpty();
                secondRunMillis.put(requestId, hangUpMillis == 0 ? 0 : Stand.millis() - hangUpMillis);
                ran.add(id + (hangUpMillis == 0 ? "" : ", " + (Stand.millis() - hangUpMillis) + " ms after SIGHUP"));
            }
            Stand.note("backend " + id + " runs " + requestId + ", " + request.startLine + ", key "
                    + request.field("Idempotency-Key") + ", " + request.body.length + " bytes");
            Thread.sleep(60);
            if (first) {
                // It has run, and a tier behind this one has failed.
                Stand.note("backend " + id + " answers 500 to " + requestId);
                answer(socket, "500 Error", requestId);
            } else {
                answer(socket, "200 OK", requestId);
            }
        }
    }

    private static void answer(Socket socket, String status, String requestId) throws IOException {
        String body = "answer to " + requestId;
        socket.getOutputStream().write(
                ("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void quotes(int number, int port) {
        try (Stand.Client client = new Stand.Client(port)) {
            for (int i = 0; ; i++) {
                String id = String.format("e%07x%08x", number, i);
                if (client.call(Stand.head("rate-quote", id, 2000, null, 0), 5_000).status == 200) {
                    served.incrementAndGet();
                }
                Stand.sleep(100);
            }
        } catch (IOException e) {
            Stand.note("client of rate-quote: " + e);
        }
    }

    /** Sends a body at 64 kB a second. */
    private static void upload(int number, int port) {
        String id = String.format("d%07x%08x", number, 1);
        try (Stand.Client client = new Stand.Client(port)) {
            OutputStream out = client.socket.getOutputStream();
            client.send(Stand.head("exchange-record", id, 6000, null, LENGTH));
            Stand.note("client: the head of " + id + " is sent");
            long begun = System.nanoTime();
            for (int sent = 0; sent < LENGTH; sent += PART) {
                long due = begun + (sent + PART) * 1_000_000_000L / BYTES_PER_SECOND;
                Stand.sleep((due - System.nanoTime()) / 1_000_000);
                out.write(new byte[PART]);
            }
            Stand.note("client: the last byte of " + id + " is sent");
            Stand.Answer answer = client.read(7_000);
            answered.incrementAndGet();
            Stand.note("client: " + id + " is answered " + answer.status + " " + answer.text().trim());
        } catch (IOException e) {
            unanswered.incrementAndGet();
            Stand.note("client: " + id + ": " + e);
        }
    }
}

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Keyed requests with long bodies: the connection of an attempt is reset after it was run, and the
 * backend of the next one takes some seconds to read it.
 */
final class RepeatAfterWindow {
    private static final long WINDOW_MILLIS = 3_000;
    private static final long SLACK_MILLIS = 150;
    private static final long READ_MILLIS = 4_200;
    private static final int BODY_BYTES = Integer.getInteger("body", 500_000);
    private static final int BACKENDS = 4;

    /** When each key was first run; all backends drop its repeats for the window. */
    private static final Map<String, Long> firstRun = new ConcurrentHashMap<>();

    private static final Map<String, Long> firstHead = new ConcurrentHashMap<>();
    private static final List<String> breaks = new ArrayList<>();

    public static void main(String[] args) throws Exception {
        Rig.main(args, RepeatAfterWindow::run);
    }

    private static List<String> run(Rig rig) throws Exception {
        Rig.Discovery discovery = rig.new Discovery(40);
        List<Rig.Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            String name = "b" + i;
            Rig.Backend backend = rig.new Backend(name, (request, exchange) -> handle(rig, name, request, exchange, backends));
            backends.add(backend);
            discovery.set(name, backend.entry("krakow-a", "active", 0));
        }
        int port = Rig.freePort();
        Path config = rig.work.resolve("config.json");
        Map<String, String> settings = Rig.settings();
        Rig.writeConfig(
                config, "n0", port, discovery.address(), discovery.whole(),
                "{\"memory_mb\":192,\"sockets\":1024}", settings,
                Rig.category("rate-quote", 750, 2_000, "safe", "all", 5_000),
                Rig.category("time-upload", 2_500, 5_000, "keyed", "cell", WINDOW_MILLIS));
        Rig.ProxyProcess proxy = rig.startProxy("n0", config, port, rig.work.resolve("tmp"));
        proxy.awaitReady();
        try (Rig.Client client = new Rig.Client(port)) {
            for (int n = 0; n < 40; n++) {
                client.call(Rig.head("rate-quote", "q" + n, 1_900, null, 0), null, 2_500);
                Rig.sleep(20);
            }
        }
        for (int n = 0; n < 3; n++) {
            String id = "u" + n;
            try (Rig.Client client = new Rig.Client(port)) {
                Rig.Response response =
                        client.call(Rig.head("time-upload", id, 4_900, "key-" + n, BODY_BYTES), new byte[BODY_BYTES], 6_000);
                rig.record(id + " answered " + response.status);
            } catch (IOException e) {
                rig.record(id + " has no answer: " + e.getMessage());
            }
            for (Rig.Backend backend : backends) {
                backend.bodyReadMillis = 0;
            }
            Rig.sleep(3_000);
        }
        synchronized (breaks) {
            return new ArrayList<>(breaks);
        }
    }

    private static void handle(
            Rig rig, String name, Rig.Request request, Rig.Exchange exchange, List<Rig.Backend> backends)
            throws IOException {
        String key = request.fields.get("Idempotency-Key");
        if (key == null) {
            Rig.sleep(10);
            exchange.answer(200, Rig.LATIN.bytes("made for " + request.id()));
            return;
        }
        long now = Rig.millis();
        firstHead.putIfAbsent(key, request.headMillis);
        Long first = firstRun.putIfAbsent(key, now);
        rig.record(name + " has the last byte of " + request.id() + ", " + (now - firstHead.get(key)) + " ms after its first attempt began");
        if (first == null) {
            rig.record(name + " has run " + key);
            if (rig.trouble) {
                for (Rig.Backend backend : backends) {
                    backend.bodyReadMillis = READ_MILLIS;
                }
            }
            rig.record(name + " resets the connection");
            exchange.reset();
            throw new IOException("reset");
        }
        if (now - first > WINDOW_MILLIS + SLACK_MILLIS) {
            rig.record(name + " has run " + key + " again: the window has passed");
            synchronized (breaks) {
                breaks.add("duplicate: " + key + " was run twice, the second time " + (now - first) + " ms after the first");
            }
        } else {
            rig.record(name + " drops the repeat of " + key);
        }
        exchange.answer(200, Rig.LATIN.bytes("made for " + request.id()));
    }
}

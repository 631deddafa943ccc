import java.io.EOFException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients keep their connections and send the next request when they have the whole answer to the
 * last one. With the disruption the requests are long: 12,000 bytes in place of 212.
 */
final class LongRequestAtOnce {
    private static final int CLIENTS = 8;
    private static final int SECONDS = 30;
    private static final int LONG_BYTES = Integer.getInteger("body", 12_000);
    private static final int USUAL_BYTES = 212;

    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger excused = new AtomicInteger();
    private static volatile boolean stopped;

    public static void main(String[] args) throws Exception {
        Rig.main(args, LongRequestAtOnce::run);
    }

    private static List<String> run(Rig rig) throws Exception {
        Rig.Discovery discovery = rig.new Discovery(40);
        for (int i = 0; i < 4; i++) {
            Rig.Backend backend =
                    rig.new Backend(
                            "b" + i,
                            (request, exchange) -> {
                                Rig.sleep(20);
                                exchange.answer(200, Rig.LATIN.bytes("made for " + request.id()));
                            });
            discovery.set(backend.id, backend.entry("krakow-a", "active", 0));
        }
        int port = Rig.freePort();
        Path config = rig.work.resolve("config.json");
        Map<String, String> settings = Rig.settings();
        settings.put("Projects", "[{\"Name\":\"malopolska\",\"Share\":1.0,\"QuotaRps\":1000.0}]");
        Rig.writeConfig(
                config, "n0", port, discovery.address(), discovery.whole(),
                "{\"memory_mb\":192,\"sockets\":1024}", settings,
                Rig.category("exchange-record", 2_500, 6_000, "keyed", "zone", 10_000));
        Rig.ProxyProcess proxy = rig.startProxy("n0", config, port, rig.work.resolve("tmp"));
        proxy.awaitReady();
        List<String> lost = new CopyOnWriteArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Rig.daemon(() -> client(rig, port, number, lost));
        }
        for (int i = 0; i < SECONDS; i += 5) {
            Rig.sleep(5_000);
            rig.record("answered " + answered + ", lost " + lost.size() + ", excused " + excused);
        }
        stopped = true;
        Rig.sleep(2_000);
        return new ArrayList<>(lost);
    }

    private static void client(Rig rig, int port, int number, List<String> lost) {
        byte[] body = new byte[rig.trouble ? LONG_BYTES : USUAL_BYTES];
        for (int n = 0; !stopped; ) {
            try (Rig.Client client = new Rig.Client(port)) {
                for (int nth = 1; client.usable && !stopped; nth++) {
                    String id = number + "-" + n++;
                    boolean written = false;
                    long begun = Rig.millis();
                    try {
                        client.send(Rig.head("exchange-record", id, 3_900, "key-" + id, body.length), body);
                        written = true;
                        client.read(6_000);
                        answered.incrementAndGet();
                    } catch (EOFException e) {
                        // An end, not a reset: no byte that had come was left unread.
                        lost.add(
                                "lost: " + id + ", request " + nth + " on its connection, was written and read, and"
                                        + " its connection was closed with no answer after "
                                        + (Rig.millis() - begun) + " ms");
                        rig.record(lost.get(lost.size() - 1));
                        throw e;
                    } catch (IOException e) {
                        // A reset, or an end before the last byte: the proxy may not have read it.
                        excused.incrementAndGet();
                        rig.record(id + " excused: " + e.getMessage() + ", written " + written);
                        throw e;
                    }
                }
            } catch (IOException e) {
                Rig.sleep(10);
            }
        }
    }
}

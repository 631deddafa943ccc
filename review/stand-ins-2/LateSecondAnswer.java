import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Some answers are followed by a second copy, some milliseconds late, on a resting connection. */
final class LateSecondAnswer {
    private static final int CLIENTS = 6;
    private static final double SECONDS = 35;
    private static final double SHARE_WITH_COPY = 0.25;

    private static final AtomicInteger COPIES = new AtomicInteger();
    private static final AtomicInteger SENT = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger FOREIGN = new AtomicInteger();
    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();
    private static final SplittableRandom RANDOM = new SplittableRandom(71);

    private LateSecondAnswer() {}

    private static synchronized double random(double from, double to) {
        return from + RANDOM.nextDouble() * (to - from);
    }

    public static void main(String[] args) {
        Rig.play(args, LateSecondAnswer::run);
    }

    private static boolean run() throws Exception {
        Discovery discovery = new Discovery();
        for (String id : List.of("s-1", "s-2")) {
            Backend backend = new Backend(id, LateSecondAnswer::handle);
            discovery.set(id, backend.dial(), "a", "active", 0);
        }
        Rig.Proxy proxy = new Rig.Proxy("n0");
        String category = Settings.category("rate-quote", 750, 2_000, "safe", "");
        proxy.configure(
                discovery.port(),
                discovery.whole(),
                Settings.of(category, 1, 1_000, "subscribe", Settings.KANTOR));
        proxy.start();
        proxy.awaitHealth(30_000);
        List<Thread> clients = new ArrayList<>();
        double end = Rig.millis() + SECONDS * 1_000;
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Rig.thread(() -> client(number, proxy.port, end)));
        }
        for (Thread client : clients) {
            client.join();
        }
        Rig.note("sent " + SENT + ", served " + SERVED + ", second copies " + COPIES);
        Rig.note("served with the answer to another request: " + FOREIGN);
        proxy.noteLog();
        if (SERVED.get() < 500 || (Rig.TROUBLE && COPIES.get() < 100)) {
            throw new IOException("too few requests were served");
        }
        return FOREIGN.get() == 0;
    }

    private static void handle(Backend.Exchange exchange) throws IOException {
        RUN.add(exchange.id());
        Rig.sleep(random(15, 25));
        String answer = "made for " + exchange.id();
        exchange.answer(200, answer);
        if (!Rig.TROUBLE || random(0, 1) > SHARE_WITH_COPY) {
            return;
        }
        double due = Rig.millis() + random(4, 10);
        while (Rig.millis() < due) {
            if (exchange.isFurtherInputWaiting()) {
                return;
            }
            Rig.sleep(0.05);
        }
        // Nothing else waits on the connection.
        if (!exchange.isFurtherInputWaiting()) {
            COPIES.incrementAndGet();
            exchange.answer(200, answer);
        }
    }

    private static void client(int number, int port, double end) {
        int count = 0;
        while (Rig.millis() < end) {
            try (Rig.Client client = new Rig.Client(port)) {
                client.socket.setSoTimeout(4_000);
                boolean open = true;
                while (open && Rig.millis() < end) {
                    open = ask(client, String.format("%02d%06d", number, count++));
                    Rig.sleep(random(3, 14));
                }
            } catch (IOException e) {
                Rig.note("client " + number + ": " + e);
            }
        }
    }

    /** One request and its answer; false when the connection is to end. */
    private static boolean ask(Rig.Client client, String id) throws IOException {
        SENT.incrementAndGet();
        client.write(Rig.get("rate-quote", id, "acme", 1_500));
        Rig.Answer answer = client.read();
        if (answer.status == 200) {
            SERVED.incrementAndGet();
            if (!answer.text().equals("made for " + id)) {
                FOREIGN.incrementAndGet();
                Rig.note(
                        "request "
                                + id
                                + " got 200 with the answer '"
                                + answer.text()
                                + "'; it had "
                                + (RUN.contains(id) ? "begun to run" : "not run"));
            }
        }
        return !answer.close;
    }
}

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** While the process is replaced, bad clients use the ids of requests that are under way. */
final class IdsInReplacement {
    private static final int REQUESTS = 8;
    private static final double WORK_MILLIS = 2_000;

    private static final Map<String, AtomicInteger> OUT = new ConcurrentHashMap<>();
    private static final AtomicInteger RUN = new AtomicInteger();
    private static final AtomicInteger TWICE = new AtomicInteger();

    private IdsInReplacement() {}

    public static void main(String[] args) {
        Rig.play(args, IdsInReplacement::run);
    }

    private static boolean run() throws Exception {
        Discovery discovery = new Discovery();
        for (String id : List.of("s-1", "s-2", "s-3", "s-4")) {
            Backend backend = new Backend(id, exchange -> handle(exchange, id));
            discovery.set(id, backend.dial(), "a", "active", 0);
        }
        String categories =
                Settings.category("rate-quote", 750, 2_000, "safe", "")
                        + ","
                        + Settings.category("exchange-record", 1_500, 3_000, "unsafe", "");
        String settings = Settings.of(categories, 1, 1_000, "subscribe", Settings.KANTOR);
        Rig.Proxy proxy = new Rig.Proxy("n0");
        proxy.mgmtPort = Rig.freePort();
        proxy.configure(discovery.port(), discovery.whole(), settings);
        proxy.start();
        proxy.awaitHealth(30_000);
        Process old = proxy.process;
        List<Rig.Client> usual = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            usual.add(new Rig.Client(proxy.port));
        }
        if (Rig.TROUBLE) {
            proxy.mgmtPort = Rig.freePort();
            proxy.configure(discovery.port(), discovery.whole(), settings);
            rest(usual, 0);
            proxy.start();
            proxy.awaitYes(30_000);
        }
        rest(usual, 1);
        for (int i = 0; i < REQUESTS; i++) {
            usual.get(i).socket.setSoTimeout(4_000);
            usual.get(i).write(Rig.post("exchange-record", "order-" + i, "acme", 3_000, null));
        }
        Rig.sleep(100);
        if (Rig.TROUBLE) {
            Rig.terminate(old);
        }
        Rig.sleep(300);
        List<Thread> bad = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = "order-" + i;
            bad.add(Rig.thread(() -> badClient(id, proxy.port)));
        }
        for (int i = 0; i < REQUESTS; i++) {
            Rig.note("usual client: order-" + i + " got " + usual.get(i).read().status);
        }
        for (Thread client : bad) {
            client.join();
        }
        if (Rig.TROUBLE) {
            Rig.note("the old process has ended: " + old.waitFor(4, TimeUnit.SECONDS));
        }
        Rig.note("requests run " + RUN + ", begun while the same one was out: " + TWICE);
        proxy.noteLog();
        if (RUN.get() < REQUESTS) {
            throw new IOException("too few requests were run");
        }
        return TWICE.get() == 0;
    }

    /** Lets each connection carry a short request, so that it stays open. */
    private static void rest(List<Rig.Client> clients, int round) throws IOException {
        for (int i = 0; i < clients.size(); i++) {
            String id = "quote-" + round + "-" + i;
            clients.get(i).write(Rig.get("rate-quote", id, "acme", 2_000));
            clients.get(i).read();
        }
    }

    private static void badClient(String id, int port) {
        try (Rig.Client client = new Rig.Client(port)) {
            client.socket.setSoTimeout(4_000);
            client.write(Rig.post("exchange-record", id, "acme", 3_000, null));
            Rig.note("bad client with the id " + id + " got " + client.read().status);
        } catch (IOException e) {
            Rig.note("bad client with the id " + id + ": " + e);
        }
    }

    private static void handle(Backend.Exchange exchange, String backend) throws IOException {
        if (!exchange.target.startsWith("/exchange-record")) {
            exchange.answer(200, "made for " + exchange.id());
            return;
        }
        AtomicInteger out = OUT.computeIfAbsent(exchange.id(), id -> new AtomicInteger());
        RUN.incrementAndGet();
        Rig.note(backend + " runs " + exchange.id());
        if (out.getAndIncrement() > 0) {
            TWICE.incrementAndGet();
            Rig.note(exchange.id() + " runs a second time while the first is out");
        }
        Rig.sleep(WORK_MILLIS);
        out.decrementAndGet();
        exchange.answer(200, "made for " + exchange.id());
    }
}

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Six in ten of 3,200 backends are replaced within 7 s, and discovery tells each change as it
 * happens. All backends answer at once, also those that drain. Usual clients send 25 requests a
 * second; each has to have its final answer.
 */
final class MassReplacement {
    private static final int BACKENDS = 3_200;
    private static final int REPLACED = BACKENDS * 6 / 10;
    private static final long REPLACE_FROM_MILLIS = 5_000;
    private static final long REPLACE_WITHIN_MILLIS = 7_000;

    /** How long an old backend is listed as leaving before it has left. */
    private static final long LEAVING_MILLIS = 1_000;

    private static final long PLAY_MILLIS = 25_000;
    private static final long TIMEOUT_MILLIS = 2_000;

    /** Half a second after its time a request without an answer is lost; on sockets 50 ms later. */
    private static final long SLACK_MILLIS = 550;

    public static void main(String[] args) {
        Rig.main(MassReplacement::play, args);
    }

    /** Tells the whole list, then each change on a line of its own; an empty line after 2 s. */
    private static final class Changes extends Discovery {
        private final ManyBackends backends;
        private final LinkedBlockingQueue<String> changes = new LinkedBlockingQueue<>();
        private final AtomicInteger watches = new AtomicInteger();
        private final AtomicInteger told = new AtomicInteger();
        private final AtomicInteger lines = new AtomicInteger();

        Changes(ManyBackends backends) throws IOException {
            super(backends::list);
            this.backends = backends;
        }

        @Override
        void tell(OutputStream out) throws IOException, InterruptedException {
            watches.incrementAndGet();
            write(out, backends.list());
            while (true) {
                String first = changes.poll(2, TimeUnit.SECONDS);
                if (first == null) {
                    write(out, "");
                    continue;
                }
                // What has changed while the last line could not be written goes with this one.
                List<String> entries = new ArrayList<>(List.of(first));
                changes.drainTo(entries);
                told.addAndGet(entries.size());
                write(
                        out,
                        "{\"seq\":"
                                + (1 + told.get())
                                + ",\"whole\":false,\"hosts\":["
                                + String.join(",", entries)
                                + "]}");
                lines.incrementAndGet();
            }
        }
    }

    private static int play(Rig rig) throws Exception {
        ManyBackends backends = new ManyBackends(BACKENDS);
        Changes discovery = new Changes(backends);
        Deployment deployment = new Deployment();
        deployment.discovery = discovery.port();
        deployment.list = backends.list();
        Process proxy =
                rig.startProxy(
                        "n0", deployment.write(rig.temporary.resolve("n0.json")), rig.temporary);
        rig.awaitReady(proxy, deployment.port);
        if (rig.trouble) {
            rig.thread("replacement", r -> replace(r, backends, discovery));
        }
        long end = rig.millis() + PLAY_MILLIS;
        AtomicInteger lost = new AtomicInteger();
        AtomicLong slowest = new AtomicLong();
        TreeMap<String, Integer> results = new TreeMap<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; rig.millis() < end; i++) {
            String id = "u" + i;
            threads.add(
                    rig.thread(
                            id,
                            r -> {
                                long from = System.nanoTime();
                                String result = request(deployment.port, id);
                                long took = (System.nanoTime() - from) / 1_000_000;
                                r.note("%s: %s after %d ms", id, result, took);
                                slowest.accumulateAndGet(took, Math::max);
                                if (result.startsWith("lost")) {
                                    lost.incrementAndGet();
                                }
                                synchronized (results) {
                                    results.merge(result, 1, Integer::sum);
                                }
                                return 0;
                            }));
            Thread.sleep(40);
        }
        for (Thread thread : threads) {
            thread.join(5_000);
        }
        rig.say(
                "discovery told %d changes on %d lines to %d watch(es)",
                discovery.told.get(), discovery.lines.get(), discovery.watches.get());
        rig.say(
                "usual clients: %s; the slowest answer after %d ms; %d lost; the proxy %s",
                results, slowest.get(), lost.get(), proxy.isAlive() ? "runs" : "has ended");
        return lost.get() > 0 || !proxy.isAlive() ? Rig.BROKEN : Rig.HELD;
    }

    private static int replace(Rig rig, ManyBackends backends, Changes discovery)
            throws Exception {
        Thread.sleep(REPLACE_FROM_MILLIS);
        if (discovery.watches.get() == 0) {
            throw new IllegalStateException("the proxy has no watch");
        }
        rig.note("the replacement begins");
        long start = System.nanoTime();
        long spanMillis = REPLACE_WITHIN_MILLIS - LEAVING_MILLIS;
        int leaving = 0;
        for (int left = 0; left < REPLACED; ) {
            long millis = (System.nanoTime() - start) / 1_000_000;
            for (; leaving < REPLACED && leaving * spanMillis / REPLACED <= millis; leaving++) {
                discovery.changes.add(backends.successor(leaving));
                discovery.changes.add(backends.changed(leaving, "leaving"));
            }
            for (;
                    left < leaving && left * spanMillis / REPLACED + LEAVING_MILLIS <= millis;
                    left++) {
                discovery.changes.add(backends.changed(left, "left"));
            }
            Thread.sleep(1);
        }
        rig.note("%d backends are replaced", REPLACED);
        return 0;
    }

    private static String request(int port, String id) {
        boolean taken = false;
        try (Client client = new Client(port)) {
            client.socket.setSoTimeout((int) (TIMEOUT_MILLIS + SLACK_MILLIS));
            client.send(Client.get("rate-quote", "/eur", id, "slask", TIMEOUT_MILLIS));
            taken = true;
            return "answered " + client.readAnswer().status;
        } catch (java.net.SocketTimeoutException e) {
            return taken ? "lost, no answer" : "not taken";
        } catch (IOException e) {
            // A connection that ends over an unread request is no loss by itself.
            return "closed";
        }
    }
}

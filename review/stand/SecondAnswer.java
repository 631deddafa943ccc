import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** Backends in another room, a few of whose good answers are followed by a late second copy. */
final class SecondAnswer {
    private static final int BACKENDS = 4;
    private static final int CLIENTS = 12;
    private static final long SECONDS = 30;
    private static final long ONE_WAY_NANOS = 1_900_000;
    private static final double SHARE = 0.05;
    private static final int LATEST_COPY_MILLIS = 8;

    private static final SplittableRandom seeds = new SplittableRandom(Stand.SEED);
    private static final AtomicInteger copies = new AtomicInteger();
    private static final AtomicInteger withheld = new AtomicInteger();
    private static final AtomicInteger served = new AtomicInteger();
    private static final AtomicInteger other = new AtomicInteger();
    private static final AtomicInteger foreign = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Stand.main(Path.of(args[0]), () -> run(Path.of(args[1])));
    }

    private static synchronized SplittableRandom random() {
        return seeds.split();
    }

    private static boolean run(Path folder) throws Exception {
        Stand.Discovery discovery = new Stand.Discovery();
        for (int i = 0; i < BACKENDS; i++) {
            String id = "s-" + i;
            int port = Stand.listen(id, socket -> backend(id, socket));
            discovery.put(id, Stand.host(id, Stand.wire(port, ONE_WAY_NANOS), "krakow-b", "active", 0));
        }
        int port = Stand.freePort();
        Path config = folder.resolve("config.json");
        Files.writeString(
                config,
                Stand.config(
                        port,
                        discovery.port,
                        Stand.category("rate-quote", "safe", "all", 750, 2000, 5000),
                        discovery.whole(),
                        192,
                        1024,
                        "automatic",
                        ""));
        Stand.Proxy proxy = Stand.Proxy.start(config, folder.resolve("tmp"), port);
        proxy.awaitReady();
        long endMillis = Stand.millis() + SECONDS * 1000;
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients[i] = Stand.start("client", () -> client(number, port, endMillis));
        }
        for (Thread client : clients) {
            client.join();
        }
        Stand.say("second copies written: " + copies + ", withheld because a request waited: " + withheld);
        Stand.say("served: " + served + ", answers other than 200 or none: " + other);
        Stand.say("served with another request's answer: " + foreign);
        proxy.noteLog(20);
        Stand.check(served.get() > 500, "too few requests were served");
        return foreign.get() > 0;
    }

    /** Answers each request with its own id; at times writes the same answer once more. */
    private static void backend(String id, java.net.Socket socket) throws Exception {
        InputStream in = socket.getInputStream();
        SplittableRandom random = random();
        for (Stand.Message request = Stand.Message.read(in);
                request != null;
                request = Stand.Message.read(in)) {
            Thread.sleep(random.nextInt(27, 48));
            String body = "answer of " + id + " to " + request.field("X-Request-ID");
            byte[] answer =
                    ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.ISO_8859_1);
            socket.getOutputStream().write(answer);
            if (Stand.TROUBLE && random.nextDouble() < SHARE) {
                long due = System.nanoTime() + random.nextInt(1_000, LATEST_COPY_MILLIS * 1_000) * 1_000L;
                while (in.available() == 0 && System.nanoTime() < due) {
                    LockSupport.parkNanos(100_000);
                }
                // Only where nothing else waits on the connection.
                if (in.available() > 0) {
                    withheld.incrementAndGet();
                } else {
                    socket.getOutputStream().write(answer);
                    copies.incrementAndGet();
                }
            }
        }
    }

    private static void client(int number, int port, long endMillis) {
        Stand.Client connection = null;
        SplittableRandom random = random();
        for (int i = 0; Stand.millis() < endMillis; i++) {
            String id = String.format("%08x%08x", number + 1, i);
            try {
                if (connection == null) {
                    connection = new Stand.Client(port);
                }
                Stand.Answer answer = connection.call(Stand.head("rate-quote", id, 2000, null, 0), 5_000);
                if (answer.status != 200) {
                    other.incrementAndGet();
                    Stand.note("request " + id + ": " + answer.status);
                } else {
                    served.incrementAndGet();
                    if (!answer.text().endsWith(" to " + id)) {
                        foreign.incrementAndGet();
                        Stand.say("request " + id + " was served with: " + answer.text());
                    }
                }
                if (answer.closes) {
                    connection.close();
                    connection = null;
                }
            } catch (IOException e) {
                other.incrementAndGet();
                Stand.note("request " + id + ": " + e);
                connection.close();
                connection = null;
            }
            Stand.sleep(random.nextInt(0, 60));
        }
        if (connection != null) {
            connection.close();
        }
    }
}

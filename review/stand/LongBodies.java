import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Clients send long bodies, more at once than memory holds; the platform watches the memory limit. */
final class LongBodies {
    private static final int BACKENDS = 4;
    private static final int MEMORY_MB = 192;
    private static final int LONG_BODY = 32 << 20;
    private static final int SHORT_BODY = 32 << 10;
    private static final int UPLOADS = 12;
    private static final int SMALL_CLIENTS = 4;
    private static final long SECONDS = 15;

    private static final AtomicInteger served = new AtomicInteger();
    private static final AtomicInteger refused = new AtomicInteger();
    private static final AtomicInteger failed = new AtomicInteger();
    private static final AtomicInteger unanswered = new AtomicInteger();
    private static final AtomicLong peak = new AtomicLong();
    private static volatile boolean killed;
    private static volatile boolean done;

    public static void main(String[] args) throws Exception {
        Stand.main(Path.of(args[0]), () -> run(Path.of(args[1])));
    }

    private static boolean run(Path folder) throws Exception {
        Stand.Discovery discovery = new Stand.Discovery();
        for (int i = 0; i < BACKENDS; i++) {
            String id = "s-" + i;
            int port = Stand.listen(id, LongBodies::backend);
            discovery.put(id, Stand.host(id, port, "krakow-a", "active", 0));
        }
        int port = Stand.freePort();
        Path config = folder.resolve("config.json");
        Path tmp = folder.resolve("tmp");
        Files.writeString(
                config,
                Stand.config(
                        port,
                        discovery.port,
                        Stand.category("rate-quote", "safe", "all", 750, 2000, 5000)
                                + ","
                                + Stand.category("exchange-record", "keyed", "zone", 2500, 6000, 10000),
                        discovery.whole(),
                        MEMORY_MB,
                        1024,
                        "automatic",
                        ""));
        Stand.Proxy proxy = Stand.Proxy.start(config, tmp, port);
        proxy.awaitReady();
        Thread platform = Stand.start("platform", () -> watch(proxy, tmp));
        long endMillis = Stand.millis() + SECONDS * 1000;
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            int number = i;
            Stand.start("client", () -> smallRequests(number, port, endMillis));
        }
        Stand.sleep(2_000);
        int length = Stand.TROUBLE ? LONG_BODY : SHORT_BODY;
        Stand.say(UPLOADS + " clients send a body of " + length + " bytes each");
        Thread[] uploads = new Thread[UPLOADS];
        for (int i = 0; i < UPLOADS; i++) {
            int number = i;
            uploads[i] = Stand.start("upload", () -> upload(number, port, length));
        }
        for (Thread upload : uploads) {
            upload.join();
        }
        while (Stand.millis() < endMillis && !killed) {
            Stand.sleep(50);
        }
        done = true;
        platform.join();
        Stand.sleep(200);
        Stand.say("peak of memory and files in TMPDIR: " + (peak.get() >> 20) + " MB, the limit is " + MEMORY_MB);
        Stand.say("served " + served + ", refused " + refused + ", failed " + failed + ", unanswered " + unanswered);
        proxy.noteLog(20);
        Stand.check(served.get() > 20, "too few requests were served");
        return killed;
    }

    /** The platform: over memory_mb the proxy is killed; files in TMPDIR count. */
    private static void watch(Stand.Proxy proxy, Path tmp) {
        while (!done) {
            long[] bytes = Stand.memory(proxy.pid(), tmp);
            if (bytes[0] + bytes[1] > peak.get()) {
                peak.set(bytes[0] + bytes[1]);
                Stand.note("memory " + (bytes[0] >> 20) + " MB, files in TMPDIR " + (bytes[1] >> 20) + " MB");
            }
            if (!killed && bytes[0] + bytes[1] > (long) MEMORY_MB << 20) {
                killed = true;
                Stand.say("over the limit: memory " + (bytes[0] >> 20) + " MB, files in TMPDIR "
                        + (bytes[1] >> 20) + " MB: the platform kills the proxy");
                proxy.kill();
            }
            Stand.sleep(5);
        }
    }

    /** Reads a body at 16 MB a second, so that a long one takes two seconds. */
    private static void backend(java.net.Socket socket) throws Exception {
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[64 << 10];
        for (Stand.Message request = Stand.Message.readHead(in);
                request != null;
                request = Stand.Message.readHead(in)) {
            long left = request.field("Content-Length") == null ? 0 : Long.parseLong(request.field("Content-Length"));
            while (left > 0) {
                int count = in.read(buffer, 0, (int) Math.min(left, buffer.length));
                if (count < 0) {
                    return;
                }
                left -= count;
                if (request.field("Content-Length").length() > 6) {
                    Thread.sleep(0, count * 62 > 999_999 ? 999_999 : count * 62);
                }
            }
            Thread.sleep(30);
            String body = "answer to " + request.field("X-Request-ID");
            socket.getOutputStream().write(
                    ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private static void upload(int number, int port, int length) {
        String id = String.format("a%07x%08x", number, length);
        try (Stand.Client client = new Stand.Client(port)) {
            OutputStream out = client.socket.getOutputStream();
            client.send(Stand.head("exchange-record", id, 6000, "key" + number, length));
            byte[] part = new byte[64 << 10];
            for (int sent = 0; sent < length; sent += part.length) {
                out.write(part, 0, Math.min(part.length, length - sent));
            }
            count(id, client.read(9_000));
        } catch (IOException e) {
            unanswered.incrementAndGet();
            Stand.note("upload " + id + ": " + e);
        }
    }

    private static void smallRequests(int number, int port, long endMillis) {
        for (int i = 0; Stand.millis() < endMillis && !killed; i++) {
            String id = String.format("b%07x%08x", number, i);
            try (Stand.Client client = new Stand.Client(port)) {
                count(id, client.call(Stand.head("rate-quote", id, 2000, null, 0), 5_000));
            } catch (IOException e) {
                unanswered.incrementAndGet();
                Stand.note("request " + id + ": " + e);
            }
            Stand.sleep(50);
        }
    }

    private static void count(String id, Stand.Answer answer) {
        (answer.status == 200 ? served : answer.status == 503 ? refused : failed).incrementAndGet();
        if (id.startsWith("a") || answer.status != 200) {
            Stand.note("request " + id + ": " + answer.status + " " + answer.text().trim());
        }
    }
}

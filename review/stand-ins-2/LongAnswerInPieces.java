import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Long answers that their backend takes seconds to write; one half has no length, in chunks. */
final class LongAnswerInPieces {
    private static final int LENGTH = 200_000;
    private static final int PIECE = 20_000;
    private static final double PAUSE_MILLIS = 800;
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final int CLIENTS = 8;

    private static final Set<String> GIVING = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger WHOLE = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static final AtomicInteger REFUSED = new AtomicInteger();

    private LongAnswerInPieces() {}

    public static void main(String[] args) {
        Rig.play(args, LongAnswerInPieces::run);
    }

    private static boolean run() throws Exception {
        Discovery discovery = new Discovery();
        for (String id : List.of("s-1", "s-2", "s-3", "s-4")) {
            Backend backend = new Backend(id, LongAnswerInPieces::handle);
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
        for (int i = 0; i < CLIENTS; i++) {
            String id = (i % 2 == 0 ? "length-" : "chunks-") + i;
            clients.add(Rig.thread(() -> client(id, proxy.port)));
            Rig.sleep(20);
        }
        for (Thread client : clients) {
            client.join();
        }
        Rig.note("whole " + WHOLE + ", refused unsent " + REFUSED + ", lost " + LOST);
        proxy.noteLog();
        if (WHOLE.get() + LOST.get() < CLIENTS / 2) {
            throw new IOException("too few requests were sent on");
        }
        return LOST.get() == 0;
    }

    private static void handle(Backend.Exchange exchange) throws IOException {
        OutputStream out = exchange.socket.getOutputStream();
        byte[] body = new byte[LENGTH];
        Arrays.fill(body, (byte) 'x');
        boolean chunked = exchange.target.contains("chunks");
        String framing = chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + LENGTH;
        out.write(("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        int given = 0;
        try {
            while (given < LENGTH) {
                if (chunked) {
                    out.write((Integer.toHexString(PIECE) + "\r\n").getBytes());
                }
                out.write(body, given, PIECE);
                if (chunked) {
                    out.write("\r\n".getBytes());
                }
                if (given == 0) {
                    GIVING.add(exchange.id());
                    Rig.note("backend gave the first " + PIECE + " bytes to " + exchange.id());
                }
                given += PIECE;
                Rig.sleep(Rig.TROUBLE ? PAUSE_MILLIS : 1);
            }
            if (chunked) {
                out.write("0\r\n\r\n".getBytes());
            }
            Rig.note("backend gave all of the answer to " + exchange.id());
        } catch (IOException e) {
            Rig.note("backend was cut off after " + given + " bytes to " + exchange.id());
            throw e;
        }
    }

    private static void client(String id, int port) {
        double sent = Rig.millis();
        String result;
        boolean whole = false;
        try (Rig.Client client = new Rig.Client(port)) {
            client.socket.setSoTimeout(20_000);
            String request = Rig.get("rate-quote", id, "acme", TIMEOUT_MILLIS);
            client.write(request.replace("GET /rate-quote", "GET /rate-quote/" + id));
            Rig.Answer answer = client.read();
            whole = answer.status == 200 && answer.body.length == LENGTH;
            result = "got " + answer.status + " with " + answer.body.length + " bytes";
        } catch (IOException e) {
            result = e.toString();
        }
        Rig.note(String.format(Locale.ROOT, "%s %s after %.0f ms", id, result, Rig.millis() - sent));
        // One that was never sent on may be refused.
        AtomicInteger count = whole ? WHOLE : GIVING.contains(id) ? LOST : REFUSED;
        count.incrementAndGet();
    }
}

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients read a long answer slowly and steadily. */
final class SlowReader {
    private static final int CLIENTS = 4;
    private static final int LENGTH = 12 << 20;

    /** 64 KiB each 250 ms: 256 kB a second. */
    private static final int PIECE = 64 << 10;

    private static final double PAUSE_MILLIS = 250;
    private static final AtomicInteger CUT = new AtomicInteger();
    private static final AtomicInteger WHOLE = new AtomicInteger();

    private SlowReader() {}

    public static void main(String[] args) {
        Rig.play(args, SlowReader::run);
    }

    private static boolean run() throws Exception {
        Discovery discovery = new Discovery();
        for (String id : List.of("s-1", "s-2")) {
            Backend backend = new Backend(id, SlowReader::handle);
            discovery.set(id, backend.dial(), "a", "active", 0);
        }
        Rig.Proxy proxy = new Rig.Proxy("n0");
        String category = Settings.category("till-balance", 1_500, 4_000, "safe", "");
        proxy.configure(
                discovery.port(),
                discovery.whole(),
                Settings.of(category, 1, 1_000, "subscribe", Settings.KANTOR));
        proxy.start();
        proxy.awaitHealth(30_000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String id = "long-" + i;
            clients.add(Rig.thread(() -> client(id, proxy.port)));
        }
        for (Thread client : clients) {
            client.join();
        }
        Rig.note("whole " + WHOLE + ", cut off " + CUT);
        proxy.noteLog();
        return CUT.get() == 0;
    }

    private static void handle(Backend.Exchange exchange) throws IOException {
        OutputStream out = exchange.socket.getOutputStream();
        String head = "HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.UTF_8));
        byte[] piece = new byte[PIECE];
        int given = 0;
        try {
            for (; given < LENGTH; given += PIECE) {
                out.write(piece);
            }
            Rig.note("backend gave all of " + exchange.id());
        } catch (IOException e) {
            Rig.note("backend was cut off after " + given + " bytes of " + exchange.id());
            throw e;
        }
    }

    private static void client(String id, int port) {
        double sent = Rig.millis();
        double longest = 0;
        long got = 0;
        String end = "the whole answer";
        try (Rig.Client client = new Rig.Client(port)) {
            client.socket.setSoTimeout(10_000);
            client.write(Rig.get("till-balance", id, "acme", 4_000));
            InputStream in = client.socket.getInputStream();
            for (String line = Http.line(in); line != null && !line.isEmpty(); ) {
                line = Http.line(in);
            }
            byte[] piece = new byte[PIECE];
            double last = Rig.millis();
            while (got < LENGTH) {
                int wanted = (int) Math.min(PIECE, LENGTH - got);
                int count = in.readNBytes(piece, 0, wanted);
                got += count;
                if (count < wanted) {
                    throw new IOException("the connection ended");
                }
                longest = Math.max(longest, Rig.millis() - last);
                last = Rig.millis();
                if (Rig.TROUBLE) {
                    Rig.sleep(PAUSE_MILLIS);
                }
            }
            WHOLE.incrementAndGet();
        } catch (IOException e) {
            end = e.toString();
            CUT.incrementAndGet();
        }
        Rig.note(
                String.format(
                        Locale.ROOT,
                        "%s: %d bytes in %.0f ms, longest pause %.0f ms, then %s",
                        id,
                        got,
                        Rig.millis() - sent,
                        longest,
                        end));
    }
}

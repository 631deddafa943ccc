package cottonlock.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Polls each proxy's view of the membership through its management interface, on a thread for each.
 */
final class MembersWatch {
    /** The pause between two calls to one proxy: a fifth of the default protocol period. */
    private static final int POLL_INTERVAL_MILLIS = 100;

    private static final int TIMEOUT_MILLIS = 1_000;

    private final List<Thread> threads = new ArrayList<>();

    /** Starts to poll an address. Views are passed on by the polling thread. */
    void watch(
            Supplier<InetSocketAddress> address,
            Consumer<Map<String, MembersJudge.MemberReport>> onView) {
        Thread thread =
                new Thread(
                        null,
                        () -> {
                            try {
                                while (true) {
                                    Thread.sleep(POLL_INTERVAL_MILLIS);
                                    String reply = ask(address.get(), "MEMBERS");
                                    if (reply != null && reply.startsWith("view=")) {
                                        onView.accept(parseView(reply));
                                    }
                                }
                            } catch (InterruptedException e) {
                                // The run is over.
                            }
                        },
                        "watch",
                        256 << 10);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    /** Sends one management command; returns null if there is no reply. */
    static String ask(InetSocketAddress address, String command) {
        try (Socket socket = new Socket()) {
            socket.connect(address, TIMEOUT_MILLIS);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write((command + "\n").getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return null;
        }
    }

    private static Map<String, MembersJudge.MemberReport> parseView(String reply) {
        Map<String, MembersJudge.MemberReport> view = new TreeMap<>();
        for (String line : reply.split("\n", 0)) {
            String[] fields = line.split(" ", 0);
            if (fields.length >= 6 && fields[3].startsWith("life=")) {
                view.put(
                        fields[0],
                        new MembersJudge.MemberReport(
                                fields[1], parseNumber(fields[3]), parseNumber(fields[5])));
            }
        }
        return view;
    }

    private static long parseNumber(String field) {
        return Long.parseLong(field.substring(field.indexOf('=') + 1));
    }

    void close() {
        threads.forEach(Thread::interrupt);
    }
}

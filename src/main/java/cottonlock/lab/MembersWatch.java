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

/** Asks each proxy again and again what it holds of the others, on a thread for each. */
final class MembersWatch {
    /** Milliseconds between two questions to one proxy: a fifth of the usual period. */
    private static final int BETWEEN = 100;

    private static final int PATIENCE = 1_000;

    private final List<Thread> threads = new ArrayList<>();

    /** Asks at an address; answers go to whom they are for, on the watch's threads. */
    void watch(Supplier<InetSocketAddress> address, Consumer<Map<String, MembersJudge.Seen>> told) {
        Thread thread =
                new Thread(
                        null,
                        () -> {
                            try {
                                while (true) {
                                    Thread.sleep(BETWEEN);
                                    String text = ask(address.get(), "MEMBERS");
                                    if (text != null && text.startsWith("view=")) {
                                        told.accept(read(text));
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

    /** One call of an operator's; null where nobody answers. */
    static String ask(InetSocketAddress address, String call) {
        try (Socket socket = new Socket()) {
            socket.connect(address, PATIENCE);
            socket.setSoTimeout(PATIENCE);
            socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return null;
        }
    }

    private static Map<String, MembersJudge.Seen> read(String text) {
        Map<String, MembersJudge.Seen> view = new TreeMap<>();
        for (String line : text.split("\n", 0)) {
            String[] words = line.split(" ", 0);
            if (words.length >= 6 && words[3].startsWith("life=")) {
                view.put(
                        words[0],
                        new MembersJudge.Seen(words[1], number(words[3]), number(words[5])));
            }
        }
        return view;
    }

    private static long number(String word) {
        return Long.parseLong(word.substring(word.indexOf('=') + 1));
    }

    void close() {
        threads.forEach(Thread::interrupt);
    }
}

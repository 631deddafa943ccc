import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One play of a case: the proxies' processes, their files, the record, and the end of it all. */
final class Rig implements AutoCloseable {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    /** Whether the case's disruption happens; TROUBLE=0 leaves it out. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** The checkout, from which the scripts start. */
    final Path root = Path.of("").toAbsolutePath();

    /** Ends with the play; the proxies' TMPDIR, and what they log. */
    final Path temporary = Files.createTempDirectory("review-");

    private final PrintWriter record;
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final long startNanos = System.nanoTime();

    Rig(String folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")));
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        note("trouble %s", trouble ? "on" : "off");
    }

    /** What a case does; the result is HELD or BROKEN. */
    interface Play {
        int run(Rig rig) throws Exception;
    }

    /** Plays a case and ends this process with its result; anything unexpected is NOT_RUN. */
    static void main(Play play, String... folder) {
        int result = NOT_RUN;
        try (Rig rig = new Rig(folder[0])) {
            try {
                result = play.run(rig);
            } catch (Exception | Error e) {
                rig.note("the case could not run: %s", e);
                e.printStackTrace();
            }
            rig.note("result %d (0 held, 1 broken, 2 not run)", result);
        } catch (IOException | RuntimeException e) {
            e.printStackTrace();
            result = NOT_RUN;
        }
        System.exit(result);
    }

    /** Milliseconds since the play began. */
    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Adds a line to the record. */
    void note(String format, Object... values) {
        String line = String.format(Locale.ROOT, format, values);
        synchronized (record) {
            record.println(String.format(Locale.ROOT, "%7d ms  %s", millis(), line));
            record.flush();
        }
    }

    /** Adds a line to the record and prints it. */
    void say(String format, Object... values) {
        note(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** The command of a key of the deploy file. */
    private String deployCommand(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("the deploy file has no " + key);
    }

    /** Starts a proxy as the deploy file says; its log goes to a file in the temporary folder. */
    Process startProxy(String name, Path configuration, Path temporaryFolder) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run"));
        builder.directory(root.toFile());
        builder.environment().put("EDGE_CONFIG", configuration.toString());
        builder.environment().put("TMPDIR", temporaryFolder.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(temporary.resolve(name + ".log").toFile());
        Process process = builder.start();
        processes.add(process);
        note("%s started as process %d", name, process.pid());
        return process;
    }

    /** Waits until a proxy answers its health call with 200. */
    void awaitReady(Process process, int port) throws Exception {
        for (int i = 0; i < 300; i++) {
            if (!process.isAlive()) {
                throw new IOException("the proxy ended with " + process.exitValue());
            }
            try (Client client = new Client(port)) {
                client.socket.setSoTimeout(1_000);
                client.send("GET /_health HTTP/1.1\r\nHost: proxy\r\n\r\n");
                if (client.readAnswer().status == 200) {
                    note("the proxy at port %d is ready", port);
                    return;
                }
            } catch (IOException e) {
                // Not yet.
            }
            Thread.sleep(100);
        }
        throw new IOException("the proxy is not ready after 30 s");
    }

    void signal(Process process, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .waitFor(5, TimeUnit.SECONDS);
        note("SIG%s to process %d", signal, process.pid());
    }

    /** One management call; the first line of the answer. */
    static String call(int port, String command) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setSoTimeout(2_000);
            socket.getOutputStream().write((command + "\n").getBytes(StandardCharsets.US_ASCII));
            StringBuilder line = new StringBuilder();
            for (int c = socket.getInputStream().read();
                    c >= 0 && c != '\n';
                    c = socket.getInputStream().read()) {
                line.append((char) c);
            }
            return line.toString();
        }
    }

    /** Starts a daemon thread; what it throws is noted. */
    Thread thread(String name, Play play) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                play.run(this);
                            } catch (Exception e) {
                                note("%s ended: %s", name, e);
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Ends all processes, waits until they are gone, and removes the temporary folder. */
    private synchronized void end() {
        for (Process process : new ArrayList<>(processes)) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // It has been removed before.
        }
    }

    @Override
    public void close() {
        end();
        record.close();
    }
}

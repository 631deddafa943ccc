import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What all cases share: the record, the processes of the proxy, and the end of everything. */
final class Rig {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** A script runs for 120 s at most; this is reserved for the start and the end of the JVM. */
    private static final long MAX_MILLIS = 112_000;

    /** Whether the disruption is made. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** What the proxy draws from; the environment's {@code seed}, 1 if there is none. */
    private static final long SEED =
            Long.parseLong(System.getenv().getOrDefault("seed", "1")) * 0x9e3779b97f4a7c15L;

    private static final long START = System.nanoTime();
    private static final List<Process> PROCESSES = new ArrayList<>();
    private static BufferedWriter record;
    private static Path folder;

    private Rig() {}

    /** The body of a case. */
    interface Case {
        /** Returns whether the rule held. */
        boolean run() throws Exception;
    }

    /** Plays a case and exits with its result. */
    static void play(String[] args, Case body) {
        Thread limit =
                new Thread(
                        () -> {
                            sleep(MAX_MILLIS);
                            note("the time of the script is up");
                            end(COULD_NOT_RUN);
                        });
        limit.setDaemon(true);
        limit.start();
        int code = COULD_NOT_RUN;
        try {
            record = Files.newBufferedWriter(Path.of(args[0], "record.txt"));
            folder = Files.createTempDirectory("cottonlock-review");
            Runtime.getRuntime().addShutdownHook(new Thread(Rig::cleanUp));
            note("trouble=" + TROUBLE + " seed=" + String.format("%016x", SEED));
            code = body.run() ? HELD : BROKEN;
        } catch (Throwable e) {
            StackTraceElement[] trace = e.getStackTrace();
            note("could not run: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
        end(code);
    }

    private static synchronized void end(int code) {
        String word = code == HELD ? "held" : code == BROKEN ? "broken" : "could not run";
        note("result: " + word);
        System.out.println(word);
        System.exit(code);
    }

    private static void cleanUp() {
        synchronized (PROCESSES) {
            PROCESSES.forEach(Process::destroyForcibly);
            for (Process process : PROCESSES) {
                try {
                    process.waitFor(2, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        try {
            if (record != null) {
                record.flush();
            }
            if (folder != null) {
                try (Stream<Path> files = Files.walk(folder)) {
                    files.sorted((a, b) -> b.compareTo(a)).forEach(f -> f.toFile().delete());
                }
            }
        } catch (IOException | RuntimeException e) {
            System.err.println("cleaning up: " + e);
        }
    }

    /** Milliseconds since the start of the script. */
    static double millis() {
        return (System.nanoTime() - START) / 1e6;
    }

    /** Writes a line into the record. */
    static void note(String line) {
        synchronized (Rig.class) {
            try {
                if (record != null) {
                    record.write(String.format(Locale.ROOT, "%10.2f %s%n", millis(), line));
                    record.flush();
                }
            } catch (IOException e) {
                System.err.println("record: " + e);
            }
        }
    }

    static void sleep(double millis) {
        try {
            TimeUnit.NANOSECONDS.sleep(Math.max(0, (long) (millis * 1e6)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static InetAddress loopback() throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
    }

    /** A port that is free at present. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, loopback())) {
            return socket.getLocalPort();
        }
    }

    /** A folder of the script's own, removed at its end. */
    static Path newFolder(String name) throws IOException {
        return Files.createDirectories(folder.resolve(name));
    }

    /** One proxy: its configuration, its address, and its process. */
    static final class Proxy {
        final String name;
        final int port = freePort();
        final Path home;
        final Path config;
        int memoryMb = 192;
        int sockets = 1_024;

        /** Where operators call; 0: nowhere. A replacement of the process gets another one. */
        int mgmtPort;

        Process process;

        Proxy(String name) throws IOException {
            this.name = name;
            home = newFolder(name);
            config = home.resolve("config.json");
            Files.createDirectories(home.resolve("tmp"));
        }

        /** Writes the configuration. */
        void configure(int discoveryPort, String known, String settings) throws IOException {
            String text =
                    "{\"name\":\""
                            + name
                            + "\",\"listen\":\"127.0.0.1:"
                            + port
                            + "\",\"discovery\":\"127.0.0.1:"
                            + discoveryPort
                            + "\",\"seed\":\""
                            + String.format("%016x", SEED)
                            + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                            + memoryMb
                            + ",\"sockets\":"
                            + sockets
                            + "},"
                            + (mgmtPort == 0 ? "" : "\"mgmt\":\"127.0.0.1:" + mgmtPort + "\",")
                            + "\"known\":"
                            + known
                            + ",\"settings\":"
                            + settings
                            + "}";
            Path next = home.resolve("config.next");
            Files.writeString(next, text);
            Files.move(next, config, StandardCopyOption.ATOMIC_MOVE);
        }

        /** Starts a process with the command of the deploy file. */
        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
            builder.environment().put("EDGE_NAME", name);
            builder.environment().put("EDGE_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("EDGE_CONFIG", config.toString());
            builder.environment().put("TMPDIR", home.resolve("tmp").toString());
            builder.environment().remove("COTTONLOCK_OPERATOR");
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(home.resolve("log").toFile()));
            process = builder.start();
            synchronized (PROCESSES) {
                PROCESSES.add(process);
            }
            note("started proxy " + name + " at port " + port + ", process " + process.pid());
        }

        /** Waits until the proxy serves. */
        void awaitHealth(double maxMillis) throws IOException {
            double until = millis() + maxMillis;
            while (millis() < until) {
                if (!process.isAlive()) {
                    throw new IOException("the proxy ended: " + logText());
                }
                try (Client client = new Client(port)) {
                    client.socket.setSoTimeout(1_000);
                    client.write("GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
                    if (client.read().status == 200) {
                        note("proxy " + name + " serves");
                        return;
                    }
                } catch (IOException e) {
                    // Not yet.
                }
                sleep(10);
            }
            throw new IOException("the proxy " + name + " does not serve: " + logText());
        }

        /** Waits until the process says yes to operators. */
        void awaitYes(double maxMillis) throws IOException {
            double until = millis() + maxMillis;
            while (millis() < until) {
                try (Socket call = new Socket(loopback(), mgmtPort)) {
                    call.setSoTimeout(1_000);
                    call.getOutputStream().write("HEALTH\n".getBytes(StandardCharsets.UTF_8));
                    String answer = Http.line(call.getInputStream());
                    if (answer != null && answer.startsWith("ACK")) {
                        note("process " + process.pid() + " of " + name + " says yes");
                        return;
                    }
                } catch (IOException e) {
                    // Not yet.
                }
                sleep(10);
            }
            throw new IOException("the new process does not say yes: " + logText());
        }

        String logText() throws IOException {
            Path log = home.resolve("log");
            return Files.exists(log) ? Files.readString(log) : "";
        }

        /** Copies the proxy's log into the record. */
        void noteLog() throws IOException {
            logText().lines().limit(60).forEach(line -> note("log of " + name + ": " + line));
        }
    }

    /** Sends SIGTERM to a process of the script, by its id. */
    static void terminate(Process process) {
        note("SIGTERM to process " + process.pid());
        process.destroy();
    }

    private static String runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith("run =")) {
                int first = line.indexOf('"');
                return line.substring(first + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no run");
    }

    /** One answer of a proxy. */
    static final class Answer {
        int status;
        boolean close;
        String retryAfter;
        byte[] body;

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** A connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;

        Client(int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(loopback(), port), 3_000);
            in = new BufferedInputStream(socket.getInputStream(), 16 << 10);
        }

        void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        /** Reads one answer; throws at the end of the stream, also within an answer. */
        Answer read() throws IOException {
            Answer answer = new Answer();
            String start = Http.line(in);
            if (start == null) {
                throw new EOFException("the connection ended with no answer");
            }
            answer.status = Integer.parseInt(start.split(" ", 3)[1]);
            long length = -1;
            boolean chunked = false;
            for (String line = Http.line(in); ; line = Http.line(in)) {
                if (line == null) {
                    throw new EOFException("the connection ended within a head");
                }
                if (line.isEmpty()) {
                    break;
                }
                String name = line.substring(0, line.indexOf(':')).toLowerCase(Locale.ROOT);
                String value = line.substring(line.indexOf(':') + 1).trim();
                switch (name) {
                    case "content-length" -> length = Long.parseLong(value);
                    case "transfer-encoding" -> chunked = true;
                    case "connection" -> answer.close = value.equalsIgnoreCase("close");
                    case "retry-after" -> answer.retryAfter = value;
                    default -> {}
                }
            }
            answer.body = chunked ? Http.chunks(in) : Http.bytes(in, length);
            return answer;
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }

    /** The text of a request without a body. */
    static String get(String category, String id, String tenant, long timeoutMillis) {
        return "GET /"
                + category
                + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: "
                + id
                + "\r\nX-Priority-Class: "
                + category
                + "\r\nX-Tenant-Id: "
                + tenant
                + "\r\nX-Timeout-Ms: "
                + timeoutMillis
                + "\r\n\r\n";
    }

    /** The text of a request without a body that may have an effect; the key may be null. */
    static String post(String category, String id, String tenant, long timeoutMillis, String key) {
        String field = key == null ? "" : "Idempotency-Key: " + key + "\r\n";
        return get(category, id, tenant, timeoutMillis)
                .replaceFirst("GET", "POST")
                .replace("\r\n\r\n", "\r\n" + field + "Content-Length: 0\r\n\r\n");
    }
}

package cottonlock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;

/** Guards against signals that end the process by mistake or whose handling is not logged. */
class ProcessSignalsTest {
    /** Exit status of a JVM that SIGHUP has ended, directly or through Java's default handler. */
    private static final int ENDED_BY_HANG_UP = 129;

    /** The program's classes that may be loaded before the handler is installed. */
    private static final Set<String> LOADED_BEFORE_HANDLER =
            Set.of("Main", "ProcessSignals", "ProcessSignals$HangUpHandler");

    private static final Pattern LOADED_CLASS = Pattern.compile("(?m) cottonlock\\.(\\S+) source");
    private static final long MAX_START_SECONDS = 30;

    /** Longer than the three seconds for which a shutdown waits for the start. */
    private static final long LONG_START_SECONDS = 4;

    /** Time after which Java's own shutdown hooks have run; the proxy still serves then. */
    private static final long SHUTDOWN_HOOKS_RUN_MILLIS = 300;

    private static final int RESPONSE_TIMEOUT_MILLIS = 2_000;
    private static final Pattern LISTEN = Pattern.compile("\"listen\":\"127.0.0.1:(\\d+)\"");

    private static final String CONFIGURATION =
            "{\"listen\":\"127.0.0.1:%d\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\",\"known\":"
                    + "{\"seq\":1,\"whole\":true,\"hosts\":[]},\"settings\":{\"Categories\":["
                    + "{\"Name\":\"c\",\"DueTime\":1000000,\"Expiry\":2000000}],\"Projects\":["
                    + "{\"Name\":\"t\",\"Share\":1.0,\"QuotaRps\":1000}],\"Zones\":[\"z\"],"
                    + "\"Flavors\":[\"k\"],\"MembershipMode\":\"subscribe\",\"Limits\":{"
                    + "\"MaxHandOffs\":2,\"ConnIdle\":60000000,\"ConnectTimeout\":200000},"
                    + "\"Obligations\":{\"AskWithin\":4000000}}}";

    private final Path folder = temporaryFolder();

    private static Path temporaryFolder() {
        try {
            return Files.createTempDirectory("signals");
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static String configurationText() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return String.format(CONFIGURATION, free.getLocalPort());
        }
    }

    /** A process of the program; most tests send it SIGHUP during its start. */
    private final class ServeProcess implements AutoCloseable {
        private final File output = Files.createTempFile(folder, "output", ".log").toFile();
        private final Path classes = folder.resolve(output.getName() + ".classes");
        private final Process process;
        private Set<String> loadedAtSignal;

        ServeProcess() throws IOException {
            this(Files.writeString(folder.resolve("configuration.json"), configurationText()));
        }

        ServeProcess(Path configuration) throws IOException {
            ProcessBuilder builder =
                    new ProcessBuilder(
                            // Under nohup, the process would inherit an ignored SIGHUP, and this
                            // test would pass without a handler.
                            "env",
                            "--default-signal=HUP",
                            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-Xlog:class+load:file=" + classes,
                            "-cp",
                            "target/classes",
                            "cottonlock.Main",
                            "serve");
            builder.environment().put("EDGE_CONFIG", configuration.toString());
            builder.environment().remove("COTTONLOCK_OPERATOR");
            process = builder.redirectErrorStream(true).redirectOutput(output).start();
        }

        void awaitLoaded(String className) throws Exception {
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_START_SECONDS);
            while (!loadedClasses().contains(className)) {
                assertTrue(System.nanoTime() < deadlineNanos, "not loaded: " + className);
                Thread.sleep(0, 200_000);
            }
        }

        Set<String> loadedClasses() throws IOException {
            Set<String> loaded = new TreeSet<>();
            if (Files.exists(classes)) {
                Matcher line = LOADED_CLASS.matcher(Files.readString(classes));
                while (line.find()) {
                    loaded.add(line.group(1));
                }
            }
            return loaded;
        }

        /** Waits until the proxy answers; returns its port. */
        int awaitServing() throws Exception {
            Matcher listen = LISTEN.matcher(Files.readString(folder.resolve("configuration.json")));
            assertTrue(listen.find());
            int port = Integer.parseInt(listen.group(1));
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_START_SECONDS);
            while (!answers(port)) {
                assertTrue(System.nanoTime() < deadlineNanos, "does not serve");
                Thread.sleep(10);
            }
            return port;
        }

        private boolean answers(int port) {
            try {
                return statusLine(port, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
                        .equals("HTTP/1.1 200");
            } catch (IOException e) {
                return false;
            }
        }

        void hangUp() throws Exception {
            loadedAtSignal = loadedClasses();
            new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid())).start().waitFor();
        }

        /** Waits until the process has ended or has reloaded; returns whether it has reloaded. */
        boolean reloads() throws Exception {
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_START_SECONDS);
            while (System.nanoTime() < deadlineNanos) {
                if (Files.readString(output.toPath()).contains("configuration: read again")) {
                    return true;
                }
                if (process.waitFor(5, TimeUnit.MILLISECONDS)) {
                    assertEquals(
                            ENDED_BY_HANG_UP,
                            process.exitValue(),
                            Files.readString(output.toPath()));
                    return false;
                }
            }
            throw new AssertionError("the signal was lost: " + Files.readString(output.toPath()));
        }

        /**
         * Asserts that the program had not started yet when the signal was sent that ended the
         * process.
         */
        void assertNotStartedAtSignal() {
            Set<String> loaded = new TreeSet<>(loadedAtSignal);
            loaded.removeAll(LOADED_BEFORE_HANDLER);
            assertEquals(Set.of(), loaded, "loaded before the SIGHUP that ended the process");
        }

        @Override
        public void close() {
            process.destroyForcibly();
        }
    }

    @Example
    void hangUpAtAnyTimeAfterTheProgramHasStartedIsHandled() throws Exception {
        for (int afterMillis = 0; afterMillis <= 300; afterMillis += 12) {
            try (ServeProcess serve = new ServeProcess()) {
                Thread.sleep(afterMillis);
                serve.hangUp();
                if (!serve.reloads()) {
                    serve.assertNotStartedAtSignal();
                }
            }
        }
    }

    @Example
    void hangUpJustAfterTheProgramHasStartedIsHandled() throws Exception {
        for (int afterMicros = 0; afterMicros < 12_000; afterMicros += 500) {
            try (ServeProcess serve = new ServeProcess()) {
                serve.awaitLoaded("Main");
                TimeUnit.MICROSECONDS.sleep(afterMicros);
                serve.hangUp();
                if (!serve.reloads()) {
                    serve.assertNotStartedAtSignal();
                }
            }
        }
    }

    @Example
    void severalHangUpsDuringTheStartAreHandled() throws Exception {
        for (String loadedClass :
                List.of(
                        "setup.OperatorConfig",
                        "proxy.Proxy",
                        "proxy.control.ProxyConfiguration")) {
            try (ServeProcess serve = new ServeProcess()) {
                serve.awaitLoaded(loadedClass);
                for (int i = 0; i < 5; i++) {
                    serve.hangUp();
                }
                assertTrue(serve.reloads(), "ended by SIGHUP after " + loadedClass + " was loaded");
            }
        }
    }

    /**
     * Guards against a reload that is lost if the start takes longer than a process manager waits.
     */
    @Example
    void hangUpDuringALongStartIsHandledAfterTheStart() throws Exception {
        Path configuration = folder.resolve("fifo");
        assertEquals(0, new ProcessBuilder("mkfifo", configuration.toString()).start().waitFor());
        try (ServeProcess serve = new ServeProcess(configuration)) {
            // Opening the FIFO for writing blocks until the program opens it for reading.
            try (OutputStream first = Files.newOutputStream(configuration)) {
                serve.hangUp();
                Thread.sleep(TimeUnit.SECONDS.toMillis(LONG_START_SECONDS));
                first.write(configurationText().getBytes(StandardCharsets.UTF_8));
            }
            // If this were written before the first reader has closed the FIFO, the program would
            // read both texts as one file.
            serve.awaitLoaded("proxy.ClientListener");
            CompletableFuture<Path> second =
                    CompletableFuture.supplyAsync(() -> write(configuration));
            second.get(MAX_START_SECONDS, TimeUnit.SECONDS);
            assertTrue(serve.reloads(), "not read again");
        }
    }

    /**
     * Guards against losing log messages of the drain: Java closes the log as a shutdown begins.
     */
    @Example
    void messagesDuringShutdownAreLogged() throws Exception {
        try (ServeProcess serve = new ServeProcess()) {
            int port = serve.awaitServing();
            serve.process.destroy();
            Thread.sleep(SHUTDOWN_HOOKS_RUN_MILLIS);
            assertEquals("HTTP/1.1 400", statusLine(port, "no request\r\n\r\n"));
            assertTrue(serve.process.waitFor(MAX_START_SECONDS, TimeUnit.SECONDS), "has not ended");
            String log = Files.readString(serve.output.toPath());
            assertTrue(log.contains("bad request"), log);
        }
    }

    private static String statusLine(int port, String request) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            int length = "HTTP/1.1 200".length();
            return new String(socket.getInputStream().readNBytes(length), StandardCharsets.UTF_8);
        }
    }

    private static Path write(Path configuration) {
        try {
            return Files.writeString(configuration, configurationText());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

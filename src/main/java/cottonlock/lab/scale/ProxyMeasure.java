package cottonlock.lab.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Measures what one {@code serve} process costs as a function of the number of backends in its
 * list: memory, threads, start time, processor time, and the bytes of a complete list on the wire.
 * First no calls are sent through it, to measure the list alone. Then calls arrive at random times
 * at the rate of the operators' design, and their cost is measured too. Discovery is simulated: it
 * sends the complete list once and then heartbeats as the real one does; {@link LoadGenerator}
 * simulates backends and clients.
 */
final class ProxyMeasure {
    /**
     * Limit of the measured lateness, in milliseconds: above it, the start time reflects the
     * machine rather than the proxy.
     */
    private static final double MAX_LATE_MILLIS = 200;

    /**
     * Time for the proxy to read the list and to finish compiling; after it, the idle proxy is
     * measured.
     */
    private static final long SETTLE_MILLIS = 3_000;

    private static final long IDLE_MILLIS = 6_000;

    /** Time with calls before the measurement, and during it. */
    private static final long WARM_UP_MILLIS = 6_000;

    private static final long MEASURE_MILLIS = 8_000;
    private static final long START_TIMEOUT_MILLIS = 30_000;
    private static final long HEARTBEAT_MILLIS = 2_000;

    /** The kernel counts processor time in hundredths of a second. */
    private static final double CPU_TICKS_PER_SECOND = 100;

    /** The kernel reports memory in units of 1,024 bytes. */
    private static final double KB_PER_MB = 1_024;

    /** Memory and sockets that the platform gives a proxy, which deploy/jvm.options is made for. */
    private static final int MEMORY_MB = 128;

    private static final int SOCKETS = 1_024;

    private final int entries;
    private final long seed;
    private final double callsPerSecond;

    /** Creates a measurement; nothing is started yet. */
    ProxyMeasure(int entries, long seed, double callsPerSecond) {
        this.entries = entries;
        this.seed = seed;
        this.callsPerSecond = callsPerSecond;
    }

    /** Runs the measurement and writes the result; returns the verdict. */
    String play(Path result, String command, String commit)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("cottonlock-proxy");
        Process process = null;
        try (ServerSocket discovery = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
                LoadGenerator calls = new LoadGenerator(seed, callsPerSecond);
                Lateness lateness = new Lateness()) {
            String list = listJson(calls.port());
            long[] wireBytes = new long[1];
            Thread discoveryThread =
                    new Thread(() -> serveList(discovery, list, wireBytes), "discovery");
            discoveryThread.setDaemon(true);
            discoveryThread.start();
            int port = freePort();
            Path file = folder.resolve("proxy.json");
            Files.writeString(file, configuration(port, discovery.getLocalPort(), list));
            ProcessBuilder builder = new ProcessBuilder(serveCommand());
            builder.environment().put("EDGE_CONFIG", file.toString());
            builder.environment().remove("COTTONLOCK_OPERATOR");
            builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
            long startedAt = System.nanoTime();
            process = builder.start();
            double firstOkMillis = awaitFirstOk(process, port, startedAt, folder.resolve("log"));
            Thread.sleep(SETTLE_MILLIS);
            double ticks = cpuTicks(process);
            long from = System.nanoTime();
            Thread.sleep(IDLE_MILLIS);
            double idleCpuShare =
                    (cpuTicks(process) - ticks)
                            / CPU_TICKS_PER_SECOND
                            / ((System.nanoTime() - from) / 1e9);
            double idleRssMb = statusValue(process, "VmRSS") / KB_PER_MB;
            long idleThreads = statusValue(process, "Threads");
            calls.start(port);
            Thread.sleep(WARM_UP_MILLIS);
            calls.reset();
            ticks = cpuTicks(process);
            from = System.nanoTime();
            Thread.sleep(MEASURE_MILLIS);
            double busyCpuShare =
                    (cpuTicks(process) - ticks)
                            / CPU_TICKS_PER_SECOND
                            / ((System.nanoTime() - from) / 1e9);
            calls.stop();
            lateness.stop();
            String verdict =
                    lateness.p999Millis() > MAX_LATE_MILLIS
                            ? "none"
                            : calls.served() == 0 ? "fail" : "pass";
            try (JsonGenerator json =
                    new JsonFactory().createGenerator(Files.newBufferedWriter(result))) {
                json.useDefaultPrettyPrinter();
                json.writeStartObject();
                json.writeStringField("kind", "proxy");
                json.writeNumberField("size", entries);
                json.writeNumberField("seed", seed);
                json.writeStringField("command", command);
                json.writeStringField("commit", commit);
                lateness.writeMachine(json);
                json.writeStringField("verdict", verdict);
                json.writeObjectFieldStart("figures");
                json.writeNumberField("first_200_ms", Math.round(firstOkMillis * 10) / 10.0);
                json.writeNumberField("rss_mb", Math.round(idleRssMb * 10) / 10.0);
                json.writeNumberField("threads", idleThreads);
                json.writeNumberField(
                        "cpu_rest_share", Math.round(idleCpuShare * 10_000) / 10_000.0);
                json.writeNumberField("list_bytes", wireBytes[0]);
                json.writeNumberField("config_bytes", Files.size(file));
                json.writeEndObject();
                json.writeObjectFieldStart("calls");
                json.writeNumberField("rate_s", Math.round(callsPerSecond * 10) / 10.0);
                json.writeNumberField(
                        "rss_mb",
                        Math.round(statusValue(process, "VmRSS") / KB_PER_MB * 10) / 10.0);
                json.writeNumberField("threads", statusValue(process, "Threads"));
                json.writeNumberField("cpu_share", Math.round(busyCpuShare * 10_000) / 10_000.0);
                calls.write(json);
                json.writeEndObject();
                json.writeEndObject();
            }
            return verdict;
        } finally {
            if (process != null) {
                process.destroyForcibly().waitFor();
            }
            for (String left : List.of("proxy.json", "log")) {
                Files.deleteIfExists(folder.resolve(left));
            }
            Files.deleteIfExists(folder);
        }
    }

    /**
     * Returns the command of deploy/balancer.toml, with the jar and the options below the current
     * folder.
     */
    private static List<String> serveCommand() throws IOException {
        Path options = Path.of("deploy", "jvm.options");
        Path jar = Path.of("target", "cottonlock.jar");
        if (!Files.isRegularFile(options) || !Files.isRegularFile(jar)) {
            throw new IOException(
                    "expected " + options + " and " + jar + " below the current folder");
        }
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "@" + options,
                "-cp",
                jar.toString(),
                "cottonlock.Main",
                "serve");
    }

    /**
     * Returns a complete list as discovery sends it, with names, places and addresses of typical
     * length.
     */
    private String listJson(int port) {
        SplittableRandom random = new SplittableRandom(seed);
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            hosts.add(
                    "{\"host\":\"s"
                            + i % 460
                            + "-"
                            + Long.toString(random.nextLong() >>> 36, 36)
                            + "-"
                            + i
                            + "\",\"dial\":\"127."
                            + (1 + i / 250 % 250)
                            + "."
                            + i % 250
                            + ".1:"
                            + port
                            + "\",\"site\":\""
                            + (char) ('a' + i % 7)
                            + "\",\"class\":\"std\",\"block\":"
                            + i / 20
                            + ",\"health\":\"active\",\"share\":1.0,\"born_ms\":1700000000000}");
        }
        return "{\"seq\":"
                + (1 + entries)
                + ",\"whole\":true,\"hosts\":["
                + String.join(",", hosts)
                + "]}";
    }

    private String configuration(int port, int discovery, String list) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("name", "measured");
            json.writeStringField("listen", "127.0.0.1:" + port);
            json.writeStringField("discovery", "127.0.0.1:" + discovery);
            json.writeStringField("seed", Long.toHexString(seed));
            json.writeFieldName("limits");
            json.writeRawValue("{\"memory_mb\":" + MEMORY_MB + ",\"sockets\":" + SOCKETS + "}");
            json.writeFieldName("known");
            json.writeRawValue(list);
            json.writeFieldName("settings");
            json.writeRawValue(
                    "{\"Stage\":0,\"FleetSize\":"
                            + entries
                            + ",\"MembershipMode\":\"subscribe\","
                            + "\"Zones\":[\"a\",\"b\",\"c\",\"d\",\"e\",\"f\",\"g\"],\"Flavors\":[\"std\"],"
                            + "\"Categories\":[{\"Name\":\"quote\","
                            + "\"DueTime\":500000,\"Expiry\":2000000,\"Credit\":1,"
                            + "\"LateCredit\":0,\"Repeat\":\"safe\","
                            + "\"KeyScope\":\"all\",\"RepeatWindow\":10000000}],"
                            + "\"Projects\":[{\"Name\":\"acme\",\"Share\":1,\"QuotaRps\":640000}],"
                            + "\"Limits\":{\"MaxHandOffs\":3,\"Cancel\":true,\"RetryAfter\":true,"
                            + "\"MaxRetryAfter\":2000000,\"ConnectTimeout\":150000,\"ConnIdle\":60000000},"
                            + "\"Obligations\":{\"AskWithin\":10000000,\"ColdShare\":0.35,\"Cold\":8700000,"
                            + "\"FallMultiple\":3,\"Fall\":3000000}}");
            json.writeEndObject();
        }
        return text.toString();
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** Simulates discovery: sends the complete list, then an empty line every two seconds. */
    private static void serveList(ServerSocket socket, String list, long[] wireBytes) {
        while (!socket.isClosed()) {
            try (Socket watch = socket.accept()) {
                InputStream in = watch.getInputStream();
                int lineEnds = 0;
                while (lineEnds < 4) {
                    int b = in.read();
                    if (b < 0) {
                        break;
                    }
                    lineEnds = b == '\r' || b == '\n' ? lineEnds + 1 : 0;
                }
                OutputStream out = watch.getOutputStream();
                byte[] body = (list + "\n").getBytes(StandardCharsets.UTF_8);
                byte[] head =
                        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        + Integer.toHexString(body.length)
                                        + "\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1);
                out.write(head);
                out.write(body);
                out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
                wireBytes[0] = (long) head.length + body.length + 2;
                while (!socket.isClosed()) {
                    Thread.sleep(HEARTBEAT_MILLIS);
                    out.write("1\r\n\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                }
            } catch (IOException e) {
                // The proxy closed its watch, or the measurement is over; the loop condition tells
                // which.
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /**
     * Returns the milliseconds from the start of the process to its first 200 response to /_health.
     */
    private static double awaitFirstOk(Process process, int port, long startedAt, Path log)
            throws IOException, InterruptedException {
        byte[] request =
                "GET /_health HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n"
                        .getBytes(StandardCharsets.ISO_8859_1);
        while (true) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout((int) START_TIMEOUT_MILLIS);
                socket.getOutputStream().write(request);
                if (new String(socket.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1)
                        .equals("HTTP/1.1 200")) {
                    return (System.nanoTime() - startedAt) / 1e6;
                }
            } catch (IOException e) {
                // The proxy does not listen yet.
            }
            if (!process.isAlive()
                    || System.nanoTime() - startedAt > START_TIMEOUT_MILLIS * 1_000_000) {
                throw new IOException("the proxy did not start: " + Files.readString(log).strip());
            }
            Thread.sleep(1);
        }
    }

    private static double cpuTicks(Process process) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", 0);
        return Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
    }

    private static long statusValue(Process process, String key) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith(key + ":")) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        throw new IOException("the process has no " + key);
    }
}

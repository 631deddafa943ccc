package cottonlock.lab.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import cottonlock.lab.ServeCommand;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A {@code serve} process started as deploy/balancer.toml starts it, with a thread that polls its
 * management interface while a change is pending.
 */
final class RealProxy {
    /** Time limit for the process to start serving. */
    private static final long START_TIMEOUT_MILLIS = 60_000;

    private static final int CALL_TIMEOUT_MILLIS = 2_000;
    private static final long POLL_INTERVAL_MILLIS = 100;
    private static final long STOP_TIMEOUT_MILLIS = 6_000;

    /**
     * Number of characters from the end of the log that the error quotes when the process fails to
     * start.
     */
    private static final int MAX_LOG_CHARS = 600;

    /** A pending change: a backend id that must be listed, or must no longer be listed. */
    private record ExpectedEntry(String id, boolean listed) {}

    final int number;
    private final String name;
    private final Path folder;
    private final String ip;
    private final int port;
    private final String discovery;
    private final List<String> zones;
    private final String operatorToml;
    private final long seed;
    private final Map<Long, ExpectedEntry> expectedEntries = new ConcurrentHashMap<>();
    private final Map<Long, Long> heldAtByVersion = new ConcurrentHashMap<>();

    /**
     * Pending reloads by change number: the number of successful reloads at which the change is in
     * force; 0 while no SIGHUP was sent for it.
     */
    private final Map<Long, Long> pendingReloads = new ConcurrentHashMap<>();

    private final Map<Long, Long> reloadedAtByChange = new ConcurrentHashMap<>();
    private volatile Process process;
    private volatile long reloadCount;

    /** Number of the latest configuration change written to the file. */
    private long requestedChange;

    /** Whether the current process serves requests. */
    private boolean serving;

    private volatile boolean ended;
    private int startCount;

    /**
     * The management interface listens one port above {@code port}.
     *
     * @param operatorToml content of the operator file; null for none
     */
    RealProxy(
            int number,
            String name,
            Path folder,
            String ip,
            int port,
            String discovery,
            List<String> zones,
            String operatorToml,
            long seed) {
        this.number = number;
        this.name = name;
        this.folder = folder;
        this.ip = ip;
        this.port = port;
        this.discovery = discovery;
        this.zones = zones;
        this.operatorToml = operatorToml;
        this.seed = seed;
    }

    boolean isAlive() {
        Process now = process;
        return now != null && now.isAlive();
    }

    long pid() {
        Process now = process;
        return now == null ? -1 : now.pid();
    }

    /** Starts the process and waits until its management interface reports that it serves. */
    void start() throws IOException, InterruptedException {
        Path file = folder.resolve(name + ".json");
        long read;
        synchronized (this) {
            read = requestedChange;
            Files.writeString(file, configuration(read));
        }
        ProcessBuilder builder =
                new ProcessBuilder(ServeCommand.of(operatorToml != null, List.of()));
        builder.environment().put("EDGE_CONFIG", file.toString());
        builder.environment().remove("COTTONLOCK_OPERATOR");
        if (operatorToml != null) {
            Path asked = folder.resolve(name + ".toml");
            Files.writeString(asked, operatorToml);
            builder.environment().put("COTTONLOCK_OPERATOR", asked.toString());
        }
        builder.environment()
                .put(
                        "TMPDIR",
                        Files.createDirectories(folder.resolve(name + "." + startCount++))
                                .toString());
        Path log = folder.resolve(name + ".log");
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        Process started;
        synchronized (this) {
            if (ended) {
                return;
            }
            started = builder.start();
            process = started;
        }
        reloadCount = 0;
        long until = System.nanoTime() + START_TIMEOUT_MILLIS * 1_000_000;
        while (!"ACK\n".equals(callManagement("HEALTH"))) {
            if (process != started) {
                // The process was stopped on purpose before it served.
                return;
            }
            if (!started.isAlive() || System.nanoTime() > until) {
                String logText = Files.readString(log).strip();
                throw new IOException(
                        name
                                + (started.isAlive() ? " does not serve: " : " has ended: ")
                                + logText.substring(Math.max(0, logText.length() - MAX_LOG_CHARS)));
            }
            Thread.sleep(20);
        }
        synchronized (this) {
            if (process == started) {
                serving = true;
                pendingReloads
                        .keySet()
                        .removeIf(
                                change ->
                                        change <= read
                                                && reloadedAtByChange.putIfAbsent(
                                                                change, System.nanoTime())
                                                        == null);
                if (requestedChange > read) {
                    sendHangup();
                }
            }
        }
    }

    private String configuration(long change) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("name", name);
            json.writeStringField("listen", ip + ":" + port);
            json.writeStringField("mgmt", ip + ":" + (port + 1));
            json.writeStringField("discovery", discovery);
            json.writeStringField("seed", Long.toHexString(seed));
            json.writeObjectFieldStart("settings");
            json.writeStringField("MembershipMode", "automatic");
            json.writeArrayFieldStart("Zones");
            for (String zone : zones) {
                json.writeString(zone);
            }
            json.writeEndArray();
            json.writeArrayFieldStart("Categories");
            json.writeStartObject();
            json.writeStringField("Name", "call");
            // Configuration changes differ only in this value.
            json.writeNumberField("DueTime", 500_000 + change);
            json.writeNumberField("Expiry", 2_000_000);
            json.writeEndObject();
            json.writeEndArray();
            json.writeObjectFieldStart("Limits");
            json.writeNumberField("MaxHandOffs", 2);
            json.writeEndObject();
            json.writeEndObject();
            json.writeEndObject();
        }
        return text.toString();
    }

    /** Starts polling for a change of the endpoint list. */
    void await(long version, String id, boolean listed) {
        expectedEntries.put(version, new ExpectedEntry(id, listed));
    }

    /** Returns when it was first observed to hold that version or a later one; -1 if it was not. */
    long heldAt(long version) {
        // A later version includes the change, even if the id that was polled for has left the
        // list again since.
        return heldAtByVersion.entrySet().stream()
                .filter(e -> e.getKey() >= version)
                .mapToLong(Map.Entry::getValue)
                .min()
                .orElse(-1);
    }

    /**
     * Writes the configuration file again and sends SIGHUP; if the process does not serve yet,
     * {@link #start} sends the signal once it does.
     */
    synchronized void reload(long change) throws IOException {
        requestedChange = change;
        Files.writeString(folder.resolve(name + ".json"), configuration(change));
        pendingReloads.put(change, 0L);
        if (serving && isAlive()) {
            sendHangup();
        }
    }

    /**
     * Sends SIGHUP; call it only once the process serves. Before the program installs its handler,
     * SIGHUP ends the JVM, which happened when a restart coincided with a change.
     */
    private void sendHangup() throws IOException {
        pendingReloads.replaceAll((change, count) -> reloadCount + 1);
        new ProcessBuilder("kill", "-HUP", Long.toString(pid())).start();
    }

    /**
     * Returns when it was first observed to have loaded that configuration change; -1 if it was
     * not.
     */
    long reloadedAt(long change) {
        return reloadedAtByChange.getOrDefault(change, -1L);
    }

    /** Polls for pending changes until {@link #destroy} is called. */
    void pollUntilEnded() {
        try {
            while (!ended) {
                Thread.sleep(POLL_INTERVAL_MILLIS);
                for (Map.Entry<Long, ExpectedEntry> expected : expectedEntries.entrySet()) {
                    // ONLINE undoes a manual ejection. No backend is ejected here, so it changes
                    // nothing, and the answer tells whether the backend is listed.
                    String answer =
                            isAlive() ? callManagement("ONLINE " + expected.getValue().id) : null;
                    if (answer != null && answer.equals("ACK\n") == expected.getValue().listed) {
                        heldAtByVersion.put(expected.getKey(), System.nanoTime());
                        expectedEntries.keySet().removeIf(version -> version <= expected.getKey());
                    }
                }
                if (!pendingReloads.isEmpty() && isAlive()) {
                    String figures = callManagement("DUMP");
                    long now =
                            figures == null || !figures.contains("\"reconfig_ok\":")
                                    ? -1
                                    : Long.parseLong(
                                            figures.replaceAll(
                                                    "(?s).*\"reconfig_ok\":([0-9]+).*", "$1"));
                    pendingReloads.forEach(
                            (change, count) -> {
                                if (count > 0 && now >= count) {
                                    reloadedAtByChange.put(change, System.nanoTime());
                                    pendingReloads.remove(change);
                                    reloadCount = now;
                                }
                            });
                }
            }
        } catch (InterruptedException e) {
            // The run has ended.
        }
    }

    /** Returns the number of members alive in its view; -1 if it does not report one. */
    int aliveMembers() {
        String members = callManagement("MEMBERS");
        return members == null || !members.contains(" alive=")
                ? -1
                : Integer.parseInt(members.replaceAll("(?s).*? alive=([0-9]+).*", "$1"));
    }

    private String callManagement(String line) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port + 1), CALL_TIMEOUT_MILLIS);
            socket.setSoTimeout(CALL_TIMEOUT_MILLIS);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return null;
        }
    }

    private synchronized Process detachProcess() {
        Process now = process;
        process = null;
        serving = false;
        return now;
    }

    /** Kills the process (SIGKILL) and waits for its end. */
    void kill() throws InterruptedException {
        Process now = detachProcess();
        if (now != null) {
            now.destroyForcibly().waitFor();
        }
    }

    /** Stops the process (SIGTERM), and kills it if it does not exit in time. */
    void terminate() throws InterruptedException {
        Process now = detachProcess();
        if (now != null) {
            now.destroy();
            if (!now.waitFor(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                now.destroyForcibly().waitFor();
            }
        }
    }

    /** Kills the process without waiting and prevents further starts, at the end of a run. */
    synchronized void destroy() {
        ended = true;
        Process now = process;
        if (now != null) {
            now.destroyForcibly();
        }
    }
}

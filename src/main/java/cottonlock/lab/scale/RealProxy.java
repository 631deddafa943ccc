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
 * A proxy as deploy/balancer.toml starts it, and a thread that asks it as operators do what it
 * holds, while a change is under way.
 */
final class RealProxy {
    /**
     * Milliseconds for a process to serve, to answer a call, between two calls, and to end by
     * itself.
     */
    private static final long START_TIMEOUT_MILLIS = 60_000;

    private static final int CALL_TIMEOUT_MILLIS = 2_000;
    private static final long POLL_INTERVAL_MILLIS = 100;
    private static final long STOP_TIMEOUT_MILLIS = 6_000;

    /** Characters of its log, the last ones, that are told when it could not be started. */
    private static final int MAX_LOG_CHARS = 600;

    /** A change that is waited for: an id that is to be listed, or not to be. */
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

    /** How many files it is to have taken, by number of the change, and when it had. */
    private final Map<Long, Long> pendingReloads = new ConcurrentHashMap<>();

    private final Map<Long, Long> reloadedAtByChange = new ConcurrentHashMap<>();
    private volatile Process process;
    private volatile long reloadCount;

    /** The number of the file that it is to have, and whether the process that lives has served. */
    private long requestedChange;

    private boolean serving;
    private volatile boolean ended;
    private int startCount;

    /**
     * Operator: the operator's file; null: none. Operators call it one port above where it listens.
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

    /** Starts it, and waits until it serves. */
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
                // It has been ended on purpose before it served.
                return;
            }
            if (!started.isAlive() || System.nanoTime() > until) {
                String told = Files.readString(log).strip();
                throw new IOException(
                        name
                                + (started.isAlive() ? " does not serve: " : " has ended: ")
                                + told.substring(Math.max(0, told.length() - MAX_LOG_CHARS)));
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
            // A changed time is what a change of configuration is here.
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

    /** A change of the list is waited for from now on. */
    void await(long version, String id, boolean listed) {
        expectedEntries.put(version, new ExpectedEntry(id, listed));
    }

    /** When it was first seen to hold that change; -1: it was not. */
    long heldAt(long version) {
        // Whoever holds a later one holds it too, though its id may have left again before it was
        // asked for.
        return heldAtByVersion.entrySet().stream()
                .filter(e -> e.getKey() >= version)
                .mapToLong(Map.Entry::getValue)
                .min()
                .orElse(-1);
    }

    /**
     * Writes its file anew and tells it by SIGHUP: a process that does not serve yet, once it does.
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
     * Before the program has a handler for it, SIGHUP ends a JVM: seen in a restart amid a change.
     */
    private void sendHangup() throws IOException {
        pendingReloads.replaceAll((change, count) -> reloadCount + 1);
        new ProcessBuilder("kill", "-HUP", Long.toString(pid())).start();
    }

    /** When it was first seen to have taken that file; -1: it was not. */
    long reloadedAt(long change) {
        return reloadedAtByChange.getOrDefault(change, -1L);
    }

    /** Asks, while something is waited for, until the process is ended for good. */
    void pollUntilEnded() {
        try {
            while (!ended) {
                Thread.sleep(POLL_INTERVAL_MILLIS);
                for (Map.Entry<Long, ExpectedEntry> one : expectedEntries.entrySet()) {
                    // Takes back what nobody has taken out: changes nothing, and tells whether it
                    // is listed.
                    String answer =
                            isAlive() ? callManagement("ONLINE " + one.getValue().id) : null;
                    if (answer != null && answer.equals("ACK\n") == one.getValue().listed) {
                        heldAtByVersion.put(one.getKey(), System.nanoTime());
                        expectedEntries.keySet().removeIf(version -> version <= one.getKey());
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
            // The run is over.
        }
    }

    /** How many members its view holds that may live; -1 where it does not tell. */
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

    /** Ends it as SIGKILL does. */
    void kill() throws InterruptedException {
        Process now = detachProcess();
        if (now != null) {
            now.destroyForcibly().waitFor();
        }
    }

    /** Ends it as SIGTERM does. */
    void terminate() throws InterruptedException {
        Process now = detachProcess();
        if (now != null) {
            now.destroy();
            if (!now.waitFor(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                now.destroyForcibly().waitFor();
            }
        }
    }

    /** For a run that ends: does not wait, and nothing starts after it. */
    synchronized void destroy() {
        ended = true;
        Process now = process;
        if (now != null) {
            now.destroyForcibly();
        }
    }
}

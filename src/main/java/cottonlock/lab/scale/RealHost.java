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
final class RealHost {
    /**
     * Milliseconds for a process to serve, to answer a call, between two calls, and to end by
     * itself.
     */
    private static final long START = 60_000;

    private static final int CALL = 2_000;
    private static final long BETWEEN = 100;
    private static final long LEAVE = 6_000;

    /** Characters of its log, the last ones, that are told when it could not be started. */
    private static final int LOG = 600;

    /** A change that is waited for: an id that is to be listed, or not to be. */
    private record Awaited(String id, boolean listed) {}

    final int number;
    private final String name;
    private final Path folder;
    private final String ip;
    private final int port;
    private final String discovery;
    private final List<String> zones;
    private final String operator;
    private final long seed;
    private final Map<Long, Awaited> awaited = new ConcurrentHashMap<>();
    private final Map<Long, Long> heldAt = new ConcurrentHashMap<>();

    /** How many files it is to have taken, by number of the change, and when it had. */
    private final Map<Long, Long> files = new ConcurrentHashMap<>();

    private final Map<Long, Long> takenAt = new ConcurrentHashMap<>();
    private volatile Process process;
    private volatile long taken;

    /** The number of the file that it is to have, and whether the process that lives has served. */
    private long wanted;

    private boolean serves;
    private volatile boolean ended;
    private int starts;

    /**
     * Operator: the operator's file; null: none. Operators call it one port above where it listens.
     */
    RealHost(
            int number,
            String name,
            Path folder,
            String ip,
            int port,
            String discovery,
            List<String> zones,
            String operator,
            long seed) {
        this.number = number;
        this.name = name;
        this.folder = folder;
        this.ip = ip;
        this.port = port;
        this.discovery = discovery;
        this.zones = zones;
        this.operator = operator;
        this.seed = seed;
    }

    boolean lives() {
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
            read = wanted;
            Files.writeString(file, configuration(read));
        }
        ProcessBuilder builder = new ProcessBuilder(ServeCommand.of(operator != null, List.of()));
        builder.environment().put("EDGE_CONFIG", file.toString());
        builder.environment().remove("COTTONLOCK_OPERATOR");
        if (operator != null) {
            Path asked = folder.resolve(name + ".toml");
            Files.writeString(asked, operator);
            builder.environment().put("COTTONLOCK_OPERATOR", asked.toString());
        }
        builder.environment()
                .put(
                        "TMPDIR",
                        Files.createDirectories(folder.resolve(name + "." + starts++)).toString());
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
        taken = 0;
        long until = System.nanoTime() + START * 1_000_000;
        while (!"ACK\n".equals(call("HEALTH"))) {
            if (process != started) {
                // It has been ended on purpose before it served.
                return;
            }
            if (!started.isAlive() || System.nanoTime() > until) {
                String told = Files.readString(log).strip();
                throw new IOException(
                        name
                                + (started.isAlive() ? " does not serve: " : " has ended: ")
                                + told.substring(Math.max(0, told.length() - LOG)));
            }
            Thread.sleep(20);
        }
        synchronized (this) {
            if (process == started) {
                serves = true;
                files.keySet()
                        .removeIf(
                                change ->
                                        change <= read
                                                && takenAt.putIfAbsent(change, System.nanoTime())
                                                        == null);
                if (wanted > read) {
                    hangUp();
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
        awaited.put(version, new Awaited(id, listed));
    }

    /** When it was first seen to hold that change; -1: it was not. */
    long heldAt(long version) {
        // Whoever holds a later one holds it too, though its id may have left again before it was
        // asked for.
        return heldAt.entrySet().stream()
                .filter(e -> e.getKey() >= version)
                .mapToLong(Map.Entry::getValue)
                .min()
                .orElse(-1);
    }

    /**
     * Writes its file anew and tells it by SIGHUP: a process that does not serve yet, once it does.
     */
    synchronized void reload(long change) throws IOException {
        wanted = change;
        Files.writeString(folder.resolve(name + ".json"), configuration(change));
        files.put(change, 0L);
        if (serves && lives()) {
            hangUp();
        }
    }

    /**
     * Before the program has a handler for it, SIGHUP ends a JVM: seen in a restart amid a change.
     */
    private void hangUp() throws IOException {
        files.replaceAll((change, count) -> taken + 1);
        new ProcessBuilder("kill", "-HUP", Long.toString(pid())).start();
    }

    /** When it was first seen to have taken that file; -1: it was not. */
    long takenAt(long change) {
        return takenAt.getOrDefault(change, -1L);
    }

    /** Asks, while something is waited for, until the process is ended for good. */
    void follow() {
        try {
            while (!ended) {
                Thread.sleep(BETWEEN);
                for (Map.Entry<Long, Awaited> one : awaited.entrySet()) {
                    // Takes back what nobody has taken out: changes nothing, and tells whether it
                    // is listed.
                    String answer = lives() ? call("ONLINE " + one.getValue().id) : null;
                    if (answer != null && answer.equals("ACK\n") == one.getValue().listed) {
                        heldAt.put(one.getKey(), System.nanoTime());
                        awaited.keySet().removeIf(version -> version <= one.getKey());
                    }
                }
                if (!files.isEmpty() && lives()) {
                    String figures = call("DUMP");
                    long now =
                            figures == null || !figures.contains("\"reconfig_ok\":")
                                    ? -1
                                    : Long.parseLong(
                                            figures.replaceAll(
                                                    "(?s).*\"reconfig_ok\":([0-9]+).*", "$1"));
                    files.forEach(
                            (change, count) -> {
                                if (count > 0 && now >= count) {
                                    takenAt.put(change, System.nanoTime());
                                    files.remove(change);
                                    taken = now;
                                }
                            });
                }
            }
        } catch (InterruptedException e) {
            // The run is over.
        }
    }

    /** How many members its view holds that may live; -1 where it does not tell. */
    int alive() {
        String members = call("MEMBERS");
        return members == null || !members.contains(" alive=")
                ? -1
                : Integer.parseInt(members.replaceAll("(?s).*? alive=([0-9]+).*", "$1"));
    }

    private String call(String line) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port + 1), CALL);
            socket.setSoTimeout(CALL);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return null;
        }
    }

    private synchronized Process gone() {
        Process now = process;
        process = null;
        serves = false;
        return now;
    }

    /** Ends it as SIGKILL does. */
    void kill() throws InterruptedException {
        Process now = gone();
        if (now != null) {
            now.destroyForcibly().waitFor();
        }
    }

    /** Ends it as SIGTERM does. */
    void term() throws InterruptedException {
        Process now = gone();
        if (now != null) {
            now.destroy();
            if (!now.waitFor(LEAVE, TimeUnit.MILLISECONDS)) {
                now.destroyForcibly().waitFor();
            }
        }
    }

    /** For a run that ends: does not wait, and nothing starts after it. */
    synchronized void end() {
        ended = true;
        Process now = process;
        if (now != null) {
            now.destroyForcibly();
        }
    }
}

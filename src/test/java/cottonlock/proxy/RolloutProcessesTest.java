package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.lab.ControlServer;
import cottonlock.lab.ControlServer.Fault;
import cottonlock.proxy.control.ConfigurationVersionDigest;
import cottonlock.proxy.control.ProxyConfiguration;
import cottonlock.proxy.http.BufferPool;
import cottonlock.proxy.io.JsonReader;
import cottonlock.proxy.io.JsonValue.JsonObject;
import cottonlock.setup.OperatorConfig;
import cottonlock.setup.RolloutConfig;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/**
 * Processes of the program that learn of changes from control machines on loopback, and what goes
 * wrong with these. Nothing but the promised ten seconds bounds a wait.
 */
class RolloutProcessesTest extends ProxyFixture {
    private static final long PROMISED = 10_000_000_000L;

    private final List<ControlServer> control = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private String base;
    private String content;

    /** One process of serve. */
    private final class Instance {
        final int listen;
        final int mgmt;
        final Path folder;
        final Path errors = Files.createTempFile("serve", ".txt");
        Process process;

        Instance(int listen, int mgmt) throws IOException {
            this.listen = listen;
            this.mgmt = mgmt;
            this.folder = Files.createTempDirectory("rollout");
            errors.toFile().deleteOnExit();
        }

        void start(StandIn backend, boolean keeps) throws Exception {
            Path config =
                    config(
                            configuration(backend)
                                    .replace("127.0.0.1:0", "127.0.0.1:" + listen)
                                    .replace(
                                            "{\"listen\"",
                                            "{\"name\":\"p\",\"mgmt\":\"127.0.0.1:"
                                                    + mgmt
                                                    + "\",\"listen\""));
            Path operator =
                    Files.writeString(
                            folder.resolve("operator.toml"),
                            "[rollout]\n"
                                    + "enabled = true\n"
                                    + "service = \"s\"\n"
                                    + "compare_ms = 1000\n"
                                    + "retry_ms = 1000\n"
                                    + "control = ["
                                    + String.join(
                                            ", ",
                                            control.stream()
                                                    .map(c -> '"' + c.address() + '"')
                                                    .toList())
                                    + "]\n");
            ProcessBuilder builder =
                    new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                            "-cp",
                            System.getProperty("java.class.path"),
                            "cottonlock.Main",
                            "serve",
                            "--operator",
                            operator.toString());
            builder.environment().put("EDGE_CONFIG", config.toString());
            builder.environment().remove("TMPDIR");
            if (keeps) {
                builder.environment().put("TMPDIR", folder.toString());
            }
            process =
                    builder.redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(errors.toFile()))
                            .start();
            Process mine = process;
            open.add(mine::destroyForcibly);
            inTime(
                    () -> {
                        assertTrue(mine.isAlive(), Files.readString(errors));
                        return figure("configuration_version") != null;
                    },
                    "it serves");
        }

        String figure(String key) throws IOException {
            try {
                return String.valueOf(
                        ((JsonObject) JsonReader.read(ask("DUMP").split("\n", 0)[0])).get(key));
            } catch (java.net.ConnectException e) {
                return null;
            }
        }

        String ask(String call) throws IOException {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mgmt)) {
                socket.setSoTimeout(4_000);
                send(socket, call + "\n");
                return new String(
                        socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            }
        }

        int status(String category) throws IOException {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), listen)) {
                socket.setSoTimeout(4_000);
                send(socket, request(category, "r" + System.nanoTime(), "", "body"));
                return ProxyFixture.status(receive(socket));
            }
        }

        long lines(String with) throws IOException {
            return Files.readAllLines(errors).stream().filter(l -> l.contains(with)).count();
        }
    }

    static void inTime(Check check, String what) throws Exception {
        long until = System.nanoTime() + PROMISED;
        while (!check.holds()) {
            assertTrue(System.nanoTime() < until, "in time: " + what);
            Thread.sleep(5);
        }
    }

    private String configuration(StandIn backend) {
        return settings(64, 1, "", backend.host("b"));
    }

    private static int[] freePorts(int many) throws IOException {
        int[] ports = new int[many];
        ServerSocket[] free = new ServerSocket[many];
        for (int i = 0; i < many; i++) {
            free[i] = new ServerSocket(0);
            ports[i] = free[i].getLocalPort();
        }
        for (ServerSocket socket : free) {
            socket.close();
        }
        return ports;
    }

    private StandIn start(int machines, int processes) throws Exception {
        StandIn backend = new StandIn(request -> OK);
        for (int i = 0; i < machines; i++) {
            ControlServer machine = new ControlServer(200);
            control.add(machine);
            open.add(machine);
        }
        String file = configuration(backend);
        content =
                file.substring(
                        file.indexOf("\"settings\":") + "\"settings\":".length(),
                        file.length() - 1);
        base =
                ConfigurationVersionDigest.ofBase(
                        ProxyConfiguration.settings((JsonObject) JsonReader.read(content)));
        int[] ports = freePorts(2 * processes);
        for (int i = 0; i < processes; i++) {
            Instance instance = new Instance(ports[2 * i], ports[2 * i + 1]);
            instances.add(instance);
            instance.start(backend, true);
        }
        return backend;
    }

    /** The settings with one category of another name. */
    private String named(String name) {
        return content.replace("\"once\"", '"' + name + '"');
    }

    private void publish(long seq, String settings) {
        control.forEach(c -> c.publish("s", seq, base, settings));
    }

    private void allHold(long seq) throws Exception {
        for (Instance i : instances) {
            inTime(
                    () -> i.figure("configuration_version").equals("" + seq),
                    "version " + seq + " at " + Files.readString(i.errors));
        }
    }

    @Example
    void aChangeIsInForceEverywhereAndSurvivesTheLossOfControl() throws Exception {
        StandIn backend = start(3, 4);
        assertEquals(404, instances.get(0).status("twice"));
        publish(1, named("twice"));
        allHold(1);
        for (Instance i : instances) {
            assertEquals(200, i.status("twice"));
            assertEquals(404, i.status("once"));
        }
        // One dies with its watches, and the next change comes at once.
        control.get(0).kill();
        publish(2, named("thrice"));
        allHold(2);
        for (ControlServer c : control) {
            c.kill();
        }
        Instance first = instances.get(0);
        first.process.destroyForcibly().waitFor();
        first.start(backend, true);
        assertEquals("2", first.figure("configuration_version"), "kept by the process before");
        assertEquals(200, first.status("thrice"));
        inTime(
                () -> !instances.get(1).figure("configuration_control_lost_ms").equals("-1"),
                "a pager sees it");
        assertEquals(200, instances.get(1).status("thrice"), "in force as long as it takes");
        Instance second = instances.get(1);
        second.process.destroyForcibly().waitFor();
        second.start(backend, false);
        assertEquals(
                "0",
                second.figure("configuration_version"),
                "off: nothing is kept, the file is back");
        assertEquals(404, second.status("thrice"));
        for (ControlServer c : control) {
            c.start();
        }
        publish(3, named("fourth"));
        allHold(3);
    }

    @Example
    void oneThatLiesBehindIsLeft() throws Exception {
        start(3, 3);
        publish(1, named("twice"));
        allHold(1);
        control.get(0).setFault(Fault.STALE);
        control.get(1).setFault(Fault.STALE);
        publish(2, named("thrice"));
        allHold(2);
        inTime(() -> control.get(2).watches() == 3, "all watch the one that knows");
        // Restored from an old copy, control tells a lower number: nobody goes back.
        ControlServer old = control.get(2);
        old.kill();
        for (Instance i : instances) {
            inTime(() -> !i.figure("configuration_ahead_ms").equals("-1"), "told to a pager");
            assertEquals("2", i.figure("configuration_version"));
        }
    }

    @Example
    void whatCannotBeUsedIsRefusedEverywhere() throws Exception {
        start(3, 3);
        publish(1, named("twice"));
        allHold(1);
        publish(2, named("thrice").replace("\"Expiry\":1500000", "\"Expiry\":-5"));
        for (Instance i : instances) {
            inTime(() -> i.figure("configuration_refused_count").equals("1"), "refused");
            assertEquals("1", i.figure("configuration_version"));
            assertEquals("2", i.figure("configuration_known"));
            assertEquals(200, i.status("twice"));
            assertEquals(404, i.status("thrice"));
            assertEquals(1, i.lines("WARNING version: 2."), Files.readString(i.errors));
            assertEquals(1, i.lines(" is refused, 1."), "one line: " + Files.readString(i.errors));
        }
        // The rollback: a new number with the older content.
        publish(3, named("twice"));
        allHold(3);
        assertEquals(200, instances.get(0).status("twice"));
        // Two of three tell no whole version: it comes from the third.
        control.get(0).setFault(Fault.HALF_SETTINGS);
        control.get(1).setFault(Fault.TRUNCATED_LINE);
        publish(4, named("fourth"));
        allHold(4);
        for (Instance i : instances) {
            assertEquals(200, i.status("fourth"));
            assertEquals("1", i.figure("configuration_refused_count"), "half a version is none");
        }
        // Another base: tenants need new processes, and all say so.
        control.forEach(c -> c.setFault(Fault.NONE));
        String others = named("fifth").replace("\"acme\"", "\"amce\"");
        String othersBase =
                ConfigurationVersionDigest.ofBase(
                        ProxyConfiguration.settings((JsonObject) JsonReader.read(others)));
        control.forEach(c -> c.publish("s", 5, othersBase, others));
        for (Instance i : instances) {
            inTime(() -> i.figure("configuration_refused_count").equals("2"), "refused");
            assertEquals(
                    1, i.lines("for which a new process is needed"), Files.readString(i.errors));
            assertEquals("4", i.figure("configuration_version"));
        }
    }

    private Path file;

    private void startHere(Path folder, ControlServer... machines) throws IOException {
        StandIn backend = new StandIn(request -> OK);
        file = config(configuration(backend).replace("{\"listen\"", "{\"name\":\"p\",\"listen\""));
        String text = Files.readString(file);
        content =
                text.substring(
                        text.indexOf("\"settings\":") + "\"settings\":".length(),
                        text.length() - 1);
        base =
                ConfigurationVersionDigest.ofBase(
                        ProxyConfiguration.settings((JsonObject) JsonReader.read(content)));
        List<String> addresses = new ArrayList<>();
        for (ControlServer m : machines) {
            addresses.add(m.address());
            open.add(m);
        }
        proxy =
                new Proxy(
                        file,
                        new OperatorConfig(
                                Map.of(),
                                null,
                                new RolloutConfig(
                                        "s",
                                        addresses,
                                        List.of(),
                                        RolloutConfig.DEFAULT_CALL_TIMEOUT_TICKS,
                                        RolloutConfig.DEFAULT_COMPARISON_INTERVAL_TICKS,
                                        RolloutConfig.DEFAULT_MAX_RETRY_DELAY_TICKS)),
                        null,
                        folder);
        buffersAtFirst = (64 << 20) / 8 / BufferPool.SIZE;
    }

    @Example
    void whatControlToldStaysInForceOverTheFile() throws Exception {
        ControlServer machine = new ControlServer(200);
        startHere(Files.createTempDirectory("rollout"), machine);
        Files.writeString(file, Files.readString(file).replace("\"once\"", "\"byfile\""));
        proxy.reload();
        assertEquals(
                200,
                status(call(request("byfile", "1", "", "body"))),
                "no version yet: the file holds");
        machine.publish("s", 1, base, named("twice"));
        inTime(
                () -> status(call(request("twice", "n" + System.nanoTime(), "", "body"))) == 200,
                "in force");
        Files.writeString(file, Files.readString(file).replace("\"byfile\"", "\"again\""));
        proxy.reload();
        assertEquals(404, status(call(request("again", "2", "", "body"))));
        assertEquals(200, status(call(request("twice", "3", "", "body"))));
    }

    @Example
    void controlThatIsOverloadedIsAskedAgainInTime() throws Exception {
        ControlServer one = new ControlServer(200);
        ControlServer other = new ControlServer(200);
        one.setFault(Fault.OVERLOADED);
        other.setFault(Fault.OVERLOADED);
        startHere(null, one, other);
        inTime(
                () -> one.maxCallsPerSecond() > 0 && other.maxCallsPerSecond() > 0,
                "both are called");
        other.setFault(Fault.NONE);
        other.publish("s", 1, base, named("twice"));
        inTime(
                () -> status(call(request("twice", "n" + System.nanoTime(), "", "body"))) == 200,
                "in force");
        assertTrue(
                one.maxCallsPerSecond() <= 4 && other.maxCallsPerSecond() <= 4, "calls are paced");
    }

    /** A version whose taking in has ended three processes is not tried by a fourth. */
    @Example
    void aVersionThatEndsProcessesIsNotTriedForEver() throws Exception {
        Path folder = Files.createTempDirectory("rollout");
        ControlServer machine = new ControlServer(200);
        startHere(folder, machine);
        String poison = named("poison");
        Path kept = folder.resolve("cottonlock-p-127.0.0.1_0.configuration");
        Files.writeString(
                kept,
                "cottonlock configuration 1\ntries 1." + ControlServer.digest(poison) + " 3\n");
        machine.publish("s", 1, base, poison);
        inTime(() -> Files.readString(kept).contains(" 4"), "marked again");
        assertEquals(404, status(call(request("poison", "1", "", "body"))));
        machine.publish("s", 2, base, named("twice"));
        inTime(
                () -> status(call(request("twice", "n" + System.nanoTime(), "", "body"))) == 200,
                "the next");
        inTime(() -> Files.readString(kept).contains("version 2 "), "kept");
        assertTrue(!Files.readString(kept).contains("tries"), Files.readString(kept));
    }
}

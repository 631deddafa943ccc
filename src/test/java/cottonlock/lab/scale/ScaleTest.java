package cottonlock.lab.scale;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.config.InvalidConfigurationException;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import net.jqwik.api.Example;

/**
 * A small scale run with real and simulated proxies, simulated control machines and all events of
 * the timeline. The bounds leave seconds for changes that take tenths of a second; a run on a
 * machine that was late has no verdict and is repeated.
 */
class ScaleTest {
    private static final Path SHORT = Path.of("scenarios", "scale-short.toml");

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final ScaleLab lab =
            new ScaleLab(new PrintStream(out, true), new PrintStream(err, true));

    private static Set<Long> children() {
        return ProcessHandle.current()
                .descendants()
                .map(ProcessHandle::pid)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private int run(Path folder, String... sets) {
        int status = 3;
        for (int tries = 0; status == 3 && tries < 3; tries++) {
            out.reset();
            err.reset();
            status = lab.run(SHORT, null, List.of(sets), folder);
        }
        return status;
    }

    @Example
    void changesOfEachEventComeIntoForceAndNoProcessIsLeft() throws Exception {
        Set<Long> before = children();
        Path folder = Files.createTempDirectory("scale");
        assertEquals(0, run(folder), out + " " + err);
        Set<Long> remaining = children();
        remaining.removeAll(before);
        assertEquals(Set.of(), remaining, "processes are left");
        String json = Files.readString(folder.resolve("scale-63-1.json"));
        for (String key :
                List.of(
                        "\"verdict\" : \"pass\"",
                        "\"hollow\" : 60",
                        "\"hollow_proxy\"",
                        "\"real_proxy\"",
                        "\"control\"",
                        "\"cpu_share_mean\"",
                        "\"rss_mb\"",
                        "\"bytes_in_s_worst\"",
                        "\"messages_out_s_worst\"",
                        "\"calls_s_worst\"",
                        "\"reload_in_force_ms_all\"")) {
            assertTrue(json.contains(key), key + " in " + json);
        }
        for (String event : ScaleFile.EVENTS) {
            String object = json.substring(json.indexOf("\"" + event + "\" : {"));
            object = object.substring(0, object.indexOf('}'));
            assertTrue(
                    object.contains("\"in_force_ms_all\"") && object.contains("\"missing\" : 0"),
                    object);
        }
        // A proxy that restarts, or that calls a control machine without history, gets the complete
        // list.
        assertTrue(figure(json, "zone", "whole_lists") > 0, json);
        assertTrue(figure(json, "control_restarted", "whole_lists") >= 63, json);
        assertEquals(0, figure(json, "control_killed", "whole_lists"), json);
        assertEquals(0, figure(json, "regions", "through_cut"), json);
        assertTrue(Files.readString(folder.resolve("scale-63-1.html")).contains("<svg"));
    }

    private static double figure(String json, String event, String key) {
        String object = json.substring(json.indexOf("\"" + event + "\" : {"));
        object = object.substring(object.indexOf("\"" + key + "\" : ") + key.length() + 5);
        return Double.parseDouble(
                object.substring(0, object.indexOf(object.contains(",") ? ',' : '\n'))
                        .strip()
                        .split("[\n ]", 0)[0]);
    }

    /**
     * Guards against a run that passes although a change exceeded its bound: proxies that watched a
     * killed machine get the change only after the takeover, later than the bound.
     */
    @Example
    void changeSlowerThanItsBoundFailsTheRun() {
        assertEquals(
                1,
                run(
                        null,
                        "events=[\"control_killed\"]",
                        "fleet.real=0",
                        "membership.enabled=false",
                        "control.takeover_s=3",
                        "expect.in_force_ms=1500"),
                out + " " + err);
        assertTrue(
                out.toString(UTF_8)
                        .startsWith(
                                "control_killed: in force at all after ms: expected 1500.0 at "
                                        + "most"),
                out.toString(UTF_8));
        assertEquals(
                0,
                run(
                        null,
                        "events=[\"control_killed\"]",
                        "fleet.real=0",
                        "membership.enabled=false",
                        "control.takeover_s=0.5",
                        "expect.in_force_ms=30000"),
                out + " " + err);
    }

    /**
     * Datagrams between zones that are cut off are lost at sender and receiver, and arrive again
     * once the partition has healed.
     */
    @Example
    void datagramsBetweenZonesThatAreCutOffAreLost() throws Exception {
        CountedSocket.Cuts cuts = new CountedSocket.Cuts();
        CountedSocket.Traffic one = new CountedSocket.Traffic();
        CountedSocket.Traffic other = new CountedSocket.Traffic();
        CountedSocket.Traffic none = new CountedSocket.Traffic();
        try (CountedSocket a = socket("127.10.0.1", cuts, one, none);
                CountedSocket b = socket("127.11.0.1", cuts, other, none);
                DatagramSocket plain = new DatagramSocket(new InetSocketAddress("127.11.0.2", 0))) {
            cuts.set(new boolean[][] {{false, true}, {true, false}});
            a.send(packet("lost", b));
            plain.send(packet("lost", a));
            cuts.set(new boolean[2][2]);
            a.send(packet("comes", b));
            assertEquals("comes", received(b));
            assertEquals(
                    List.of(5L, 9L),
                    List.of(other.take()[0], one.take()[1]),
                    "sent twice, received once");
            // A real proxy's socket does not drop datagrams: this one is queued at the receiver,
            // which drops it when it reads.
            plain.send(packet("lost", a));
            cuts.set(new boolean[][] {{false, true}, {true, false}});
            a.setSoTimeout(300);
            assertThrows(SocketTimeoutException.class, () -> received(a));
        }
    }

    private static CountedSocket socket(
            String ip,
            CountedSocket.Cuts cuts,
            CountedSocket.Traffic own,
            CountedSocket.Traffic real)
            throws Exception {
        return new CountedSocket(new InetSocketAddress(ip, 0), cuts, own, real, Set.of());
    }

    private static DatagramPacket packet(String text, DatagramSocket to) {
        return new DatagramPacket(text.getBytes(UTF_8), text.length(), to.getLocalSocketAddress());
    }

    private static String received(DatagramSocket socket) throws Exception {
        DatagramPacket packet = new DatagramPacket(new byte[100], 100);
        socket.setSoTimeout(socket.getSoTimeout() == 0 ? 10_000 : socket.getSoTimeout());
        socket.receive(packet);
        return new String(packet.getData(), 0, packet.getLength(), UTF_8);
    }

    @Example
    void runBeyondItsLimitsIsRefusedInOneLineBeforeAnyProcessStarts() {
        Set<Long> before = children();
        for (String[] bound :
                new String[][] {
                    {"fleet.size=4000", "fleet.per_jvm=10", "membership.most=4096", "processes"},
                    {"bounds.processes=5", "bounds.processes=5", "bounds.processes=5", "processes"},
                    {"bounds.memory_mb=64", "seed=2", "seed=2", "MB"}
                }) {
            out.reset();
            err.reset();
            assertEquals(2, lab.run(SHORT, null, List.of(bound[0], bound[1], bound[2]), null));
            assertEquals(1, err.toString(UTF_8).strip().split("\n").length, err.toString(UTF_8));
            assertTrue(
                    err.toString(UTF_8).startsWith("this scale run needs "), err.toString(UTF_8));
            assertTrue(
                    err.toString(UTF_8).contains(bound[3] + ", and may have"), err.toString(UTF_8));
            assertEquals("", out.toString(UTF_8));
        }
        assertTrue(before.containsAll(children()), "a process was started");
    }

    @Example
    void invalidFilesAreRejectedWithTheFaultNamed() throws Exception {
        ScaleLab.check(SHORT);
        ScaleLab.check(Path.of("scenarios", "scale-fleet.toml"));
        assertTrue(ScaleLab.isScaleFile(SHORT));
        assertFalse(ScaleLab.isScaleFile(Path.of("scenarios", "quickstart.toml")));
        for (String[] fault :
                new String[][] {
                    {"fleet.siez=3", "fleet.siez: unknown key; did you mean size?"},
                    {
                        "membership.most=50",
                        "membership.most: expected fleet.size (63) or more, found 50"
                    },
                    {"events=[\"flood\"]", "events: expected some of ordinary, rack"},
                    {
                        "control.machines=1",
                        "control.machines: expected one for each region at least, found 1"
                    },
                    {
                        "fleet.real=40",
                        "fleet.real: expected no more than the proxies of one region, found 40"
                    }
                }) {
            InvalidConfigurationException e =
                    assertThrows(
                            InvalidConfigurationException.class,
                            () -> ScaleFile.read(SHORT, List.of(fault[0]), null));
            assertEquals(1, e.faults().size(), e.getMessage());
            assertTrue(e.getMessage().contains(fault[1]), e.getMessage());
        }
    }

    /** Ctrl-C during a run ends all of its processes, those of real proxies included. */
    @Example
    void anInterruptedRunLeavesNoProcess() throws Exception {
        Path folder = Files.createTempDirectory("scale");
        Process run =
                new ProcessBuilder(
                                // A shell without job control starts this test with SIGINT
                                // ignored, which Java leaves so.
                                "env",
                                "--default-signal=INT",
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:TieredStopAtLevel=1",
                                "-XX:+UseSerialGC",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "cottonlock.Main",
                                "lab",
                                "scale",
                                SHORT.toString(),
                                "--out",
                                folder.toString())
                        .redirectErrorStream(true)
                        .redirectOutput(folder.resolve("told").toFile())
                        .start();
        try {
            // 4 control machines, 2 processes of simulated proxies, 3 real proxies, and the process
            // that measures lateness.
            List<ProcessHandle> started = List.of();
            long until = System.nanoTime() + 60_000_000_000L;
            while (started.size() < 10 && System.nanoTime() < until) {
                Thread.sleep(20);
                started = new ArrayList<>(run.descendants().toList());
            }
            assertEquals(10, started.size(), Files.readString(folder.resolve("told")));
            new ProcessBuilder("kill", "-INT", Long.toString(run.pid())).start().waitFor();
            assertEquals(130, run.waitFor());
            for (ProcessHandle process : started) {
                process.onExit().get(10, TimeUnit.SECONDS);
            }
            String json = Files.readString(folder.resolve("scale-63-1.json"));
            assertTrue(
                    json.contains("\"interrupted\" : true")
                            && json.contains("\"verdict\" : \"none\""),
                    json);
        } finally {
            run.destroyForcibly();
        }
    }

    /**
     * Each proxy uses a control machine of its own region, its zone can be read off its address,
     * and all real proxies are in the first region.
     */
    @Example
    void proxiesUseControlMachinesOfTheirRegion() {
        for (int machines : new int[] {2, 3, 17}) {
            Topology t = new Topology(new ScaleFile.Fleet(300, 24, 200, 2, 7, 4, 460), machines);
            Set<String> addresses = new TreeSet<>();
            for (int i = 0; i < 300; i++) {
                assertEquals(t.region(t.zone(i)), t.controlRegion(t.control(i)), "proxy " + i);
                addresses.add(t.ip(i));
                assertEquals(
                        t.zone(i), Topology.zoneOf(Integer.parseInt(t.ip(i).split("\\.", 0)[1])));
            }
            assertEquals(300, addresses.size());
            assertEquals(24, t.real().size());
            t.real().forEach(i -> assertEquals(0, t.region(t.zone(i))));
        }
    }
}

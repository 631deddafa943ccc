package cottonlock.proxy.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.decision.api.Endpoint;
import cottonlock.lab.ControlServer;
import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.io.JsonReader;
import cottonlock.proxy.io.JsonValue.JsonObject;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.setup.RolloutConfig;
import cottonlock.setup.Settings;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import net.jqwik.api.Example;

/**
 * Guards the formats of stored files. The files in src/test/resources/stored were written by commit
 * 7f2d4cc: they must be read with the same result, and the same changes must write the same bytes.
 */
class StoredFilesTest {
    /** When backend "two" returned to service, according to the recorded file of ejections. */
    private static final long RECORDED_RETURN_TICKS = 17_962_910_391_478L;

    /** How long a return to service is kept. */
    private static final long RETURN_RETENTION_TICKS = 3_000_000;

    private static final String SETTINGS =
            "{\"Categories\":[{\"Name\":\"read\",\"DueTime\":800000,"
                    + "\"Expiry\":1500000,\"Repeat\":\"safe\"}],"
                    + "\"Zones\":[\"z\"],\"Limits\":{\"MaxHandOffs\":3}}";

    /** The content of the recorded version 43; that of version 44 is SETTINGS. */
    private static final String CHANGED_SETTINGS =
            SETTINGS.replace("\"read\"", "\"read\u00e9\"").replace(":3", ":5");

    private static final String BASE = "d38fdf86f81a7cdd";

    private final RateLimitedLog log = new RateLimitedLog(System.getLogger("test"));

    private static String recorded(String name) throws IOException {
        try (InputStream in = StoredFilesTest.class.getResourceAsStream("/stored/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static Path folder() throws IOException {
        return Files.createTempDirectory("stored");
    }

    /** A folder with a file of that name, which is a copy of a recorded file. */
    private static Path folder(String name, String recordedAs) throws IOException {
        Path folder = folder();
        write(folder.resolve(name), recorded(recordedAs));
        return folder;
    }

    private static void write(Path file, String text) throws IOException {
        Files.writeString(file, text, StandardCharsets.ISO_8859_1);
    }

    private static String text(Path file) throws IOException {
        return Files.readString(file, StandardCharsets.ISO_8859_1);
    }

    private ManualEjections ejections(Path folder, long nowTicks) {
        return new ManualEjections(
                new SharedFile(folder, "p", "bans", log), new TickClock(() -> nowTicks), () -> {});
    }

    private static Endpoint listed(String id) {
        return new Endpoint(id, 0, 0, 0, Endpoint.State.READY, 1, 5);
    }

    @Example
    void recordedEjectionsAreInForce() throws Exception {
        ManualEjections ejections =
                ejections(
                        folder("cottonlock-p.bans", "cottonlock-p.bans"),
                        RECORDED_RETURN_TICKS + 1);
        for (String id : List.of("one", "three", "four-5.6")) {
            assertTrue(ejections.isEjected(id), id);
            assertEquals(Endpoint.State.DRAINING, ejections.effective(listed(id)).state(), id);
        }
        assertFalse(ejections.isEjected("two"));
        assertEquals(RECORDED_RETURN_TICKS, ejections.effective(listed("two")).startedAtTicks());
        assertEquals(listed("other"), ejections.effective(listed("other")));
    }

    @Example
    void oldRecordedReturnIsIgnored() throws Exception {
        ManualEjections ejections =
                ejections(
                        folder("cottonlock-p.bans", "cottonlock-p.bans"),
                        RECORDED_RETURN_TICKS + RETURN_RETENTION_TICKS);
        assertEquals(listed("two"), ejections.effective(listed("two")));
        assertTrue(ejections.isEjected("one"), "ejections do not expire");
    }

    @Example
    void ejectionsAreWrittenAsRecorded() throws Exception {
        Path folder = folder();
        ManualEjections ejections = ejections(folder, RECORDED_RETURN_TICKS);
        ejections.setEjected("one", true);
        ejections.setEjected("two", true);
        ejections.setEjected("three", true);
        ejections.setEjected("two", false);
        ejections.setEjected("four-5.6", true);
        assertEquals(recorded("cottonlock-p.bans"), text(folder.resolve("cottonlock-p.bans")));
    }

    private static Settings settings(String json) {
        return ProxyConfiguration.settings((JsonObject) JsonReader.read(json));
    }

    private RolloutActor actor(
            Path folder, List<String> control, Consumer<Settings> settingsConsumer) {
        RolloutConfig config = new RolloutConfig("s", control, List.of(), 4_000, 40_000, 10_000);
        return new RolloutActor(
                config,
                settings(SETTINGS),
                settingsConsumer,
                new SharedFile(folder, "p", "configuration", log),
                new TickClock(),
                new SplittableRandom(1),
                log);
    }

    @Example
    void recordedVersionIsAppliedBeforeTheProxyServes() throws Exception {
        Path folder = folder("cottonlock-p.configuration", "cottonlock-p.configuration-43");
        List<Settings> applied = new ArrayList<>();
        RolloutActor actor = actor(folder, List.of("127.0.0.1:1"), applied::add);
        actor.begin();
        assertEquals(1, applied.size());
        assertEquals(settings(CHANGED_SETTINGS).sortedByPath(), applied.get(0).sortedByPath());
        String metrics = actor.metrics();
        assertTrue(metrics.contains("\"configuration_version\":43,"), metrics);
        assertTrue(metrics.contains("\"configuration_digest\":\"4337fe8a26bf922b\""), metrics);
        assertTrue(metrics.contains("\"configuration_base\":\"" + BASE + '"'), metrics);
        assertEquals(
                recorded("cottonlock-p.configuration-43"),
                text(folder.resolve("cottonlock-p.configuration")));
    }

    /** Runs the actor until that version is in force. */
    private static void runUntilInForce(RolloutActor actor, long version) throws Exception {
        Thread thread = new Thread(actor);
        thread.setDaemon(true);
        thread.start();
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!actor.metrics().contains("\"configuration_version\":" + version + ",")) {
            assertTrue(System.nanoTime() < deadlineNanos, actor.metrics());
            Thread.sleep(5);
        }
        actor.close();
        thread.interrupt();
        thread.join();
    }

    @Example
    void versionsAndAttemptsAreWrittenAsRecorded() throws Exception {
        Path folder = folder();
        Path file = folder.resolve("cottonlock-p.configuration");
        List<String> contentsWhileApplying = new ArrayList<>();
        Consumer<Settings> settingsConsumer =
                settings -> {
                    try {
                        contentsWhileApplying.add(text(file));
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                };
        try (ControlServer control = new ControlServer(200)) {
            control.publish("s", 43, BASE, CHANGED_SETTINGS);
            RolloutActor first = actor(folder, List.of(control.address()), settingsConsumer);
            first.begin();
            runUntilInForce(first, 43);
            assertEquals(recorded("cottonlock-p.configuration-43"), text(file));
            control.publish("s", 44, BASE, SETTINGS);
            RolloutActor second = actor(folder, List.of(control.address()), settingsConsumer);
            second.begin();
            runUntilInForce(second, 44);
        }
        assertEquals(recorded("cottonlock-p.configuration-44"), text(file));
        assertEquals(
                recorded("cottonlock-p.configuration-attempt-at-43"), contentsWhileApplying.get(0));
        assertEquals(3, contentsWhileApplying.size(), "43, the stored 43 and 44");
        assertEquals(
                recorded("cottonlock-p.configuration-attempt-at-44"), contentsWhileApplying.get(2));
    }

    @Example
    void recordedAttemptIsCounted() throws Exception {
        Path folder =
                folder("cottonlock-p.configuration", "cottonlock-p.configuration-attempt-at-44");
        Path file = folder.resolve("cottonlock-p.configuration");
        List<String> contentsWhileApplying = new ArrayList<>();
        try (ControlServer control = new ControlServer(200)) {
            control.publish("s", 44, BASE, SETTINGS);
            RolloutActor actor =
                    actor(
                            folder,
                            List.of(control.address()),
                            settings -> {
                                try {
                                    contentsWhileApplying.add(text(file));
                                } catch (IOException e) {
                                    throw new IllegalStateException(e);
                                }
                            });
            actor.begin();
            runUntilInForce(actor, 44);
        }
        assertTrue(
                contentsWhileApplying.get(1).endsWith("tries 44.6ec5d9e9794c3bf6 2\n"),
                contentsWhileApplying.get(1));
    }

    @Example
    void recordedHandoverOfADeadProcessIsIgnored() throws Exception {
        Path folder = folder("cottonlock-p.serving", "cottonlock-p.serving");
        assertFalse(new ProcessHandover(new SharedFile(folder, "p", "serving", log)).isReplaced());
    }

    @Example
    void handoverIsReadAndWrittenAsRecorded() throws Exception {
        String recorded = recorded("cottonlock-p.serving");
        assertEquals("cottonlock serving 1\n31682 2026-12-03T09:43:58.410Z\n", recorded);
        Path folder = folder();
        Path file = folder.resolve("cottonlock-p.serving");
        ProcessHandover handover = new ProcessHandover(new SharedFile(folder, "p", "serving", log));
        handover.announceServing();
        assertEquals(asRecorded(recorded, ProcessHandle.current()), text(file));
        assertFalse(handover.isReplaced());
        Process other = new ProcessBuilder("sleep", "60").start();
        try {
            write(file, asRecorded(recorded, other.toHandle()));
            assertTrue(handover.isReplaced(), "replaced by a running process");
        } finally {
            other.destroyForcibly().waitFor();
        }
        assertFalse(handover.isReplaced(), "not replaced by a dead process");
    }

    /** The recorded text with the ID and start time of another process. */
    private static String asRecorded(String recorded, ProcessHandle process) {
        return recorded.replace("31682", Long.toString(process.pid()))
                .replace(
                        "2026-12-03T09:43:58.410Z",
                        process.info().startInstant().orElseThrow().toString());
    }
}

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
 * The stored files as commit 7f2d4cc wrote them, in src/test/resources/stored: they are read with
 * the same result, and the same changes write the same bytes.
 */
class StoredFilesTest {
    /** When backend "two" came back in the recorded file of bans. */
    private static final long RECORDED_RETURN_TICKS = 17_962_910_391_478L;

    /** How long a return counts, in ticks. */
    private static final long RETURN_COUNTS_TICKS = 3_000_000;

    private static final String SETTINGS =
            "{\"Categories\":[{\"Name\":\"read\",\"DueTime\":800000,"
                    + "\"Expiry\":1500000,\"Repeat\":\"safe\"}],"
                    + "\"Zones\":[\"z\"],\"Limits\":{\"MaxHandOffs\":3}}";

    /** What the recorded version 43 holds; 44 holds SETTINGS again. */
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

    /** A folder in which the file of that name holds what was recorded. */
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
    void recordedBansAreInForce() throws Exception {
        ManualEjections read =
                ejections(
                        folder("cottonlock-p.bans", "cottonlock-p.bans"),
                        RECORDED_RETURN_TICKS + 1);
        for (String id : List.of("one", "three", "four-5.6")) {
            assertTrue(read.isEjected(id), id);
            assertEquals(Endpoint.State.DRAINING, read.effective(listed(id)).state(), id);
        }
        assertFalse(read.isEjected("two"));
        assertEquals(RECORDED_RETURN_TICKS, read.effective(listed("two")).startedAtTicks());
        assertEquals(listed("other"), read.effective(listed("other")));
    }

    @Example
    void aRecordedReturnIsForgottenWhenItIsOld() throws Exception {
        ManualEjections read =
                ejections(
                        folder("cottonlock-p.bans", "cottonlock-p.bans"),
                        RECORDED_RETURN_TICKS + RETURN_COUNTS_TICKS);
        assertEquals(listed("two"), read.effective(listed("two")));
        assertTrue(read.isEjected("one"), "bans do not age");
    }

    @Example
    void bansAreWrittenAsRecorded() throws Exception {
        Path folder = folder();
        ManualEjections written = ejections(folder, RECORDED_RETURN_TICKS);
        written.setEjected("one", true);
        written.setEjected("two", true);
        written.setEjected("three", true);
        written.setEjected("two", false);
        written.setEjected("four-5.6", true);
        assertEquals(recorded("cottonlock-p.bans"), text(folder.resolve("cottonlock-p.bans")));
    }

    private static Settings settings(String json) {
        return ProxyConfiguration.settings((JsonObject) JsonReader.read(json));
    }

    private RolloutActor actor(Path folder, List<String> control, Consumer<Settings> takeIn) {
        RolloutConfig plan = new RolloutConfig("s", control, List.of(), 4_000, 40_000, 10_000);
        return new RolloutActor(
                plan,
                settings(SETTINGS),
                takeIn,
                new SharedFile(folder, "p", "configuration", log),
                new TickClock(),
                new SplittableRandom(1),
                log);
    }

    @Example
    void aRecordedVersionIsTakenInBeforeTheProxyServes() throws Exception {
        Path folder = folder("cottonlock-p.configuration", "cottonlock-p.configuration-43");
        List<Settings> taken = new ArrayList<>();
        RolloutActor actor = actor(folder, List.of("127.0.0.1:1"), taken::add);
        actor.begin();
        assertEquals(1, taken.size());
        assertEquals(settings(CHANGED_SETTINGS).sortedByPath(), taken.get(0).sortedByPath());
        String figures = actor.metrics();
        assertTrue(figures.contains("\"configuration_version\":43,"), figures);
        assertTrue(figures.contains("\"configuration_digest\":\"4337fe8a26bf922b\""), figures);
        assertTrue(figures.contains("\"configuration_base\":\"" + BASE + '"'), figures);
        assertEquals(
                recorded("cottonlock-p.configuration-43"),
                text(folder.resolve("cottonlock-p.configuration")));
    }

    /** Follows one control machine until that version is in force. */
    private static void follow(RolloutActor actor, long version) throws Exception {
        Thread thread = new Thread(actor);
        thread.setDaemon(true);
        thread.start();
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!actor.metrics().contains("\"configuration_version\":" + version + ",")) {
            assertTrue(System.nanoTime() < untilNanos, actor.metrics());
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
        List<String> whileTaken = new ArrayList<>();
        Consumer<Settings> takeIn =
                settings -> {
                    try {
                        whileTaken.add(text(file));
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                };
        try (ControlServer control = new ControlServer(200)) {
            control.publish("s", 43, BASE, CHANGED_SETTINGS);
            RolloutActor first = actor(folder, List.of(control.address()), takeIn);
            first.begin();
            follow(first, 43);
            assertEquals(recorded("cottonlock-p.configuration-43"), text(file));
            control.publish("s", 44, BASE, SETTINGS);
            RolloutActor second = actor(folder, List.of(control.address()), takeIn);
            second.begin();
            follow(second, 44);
        }
        assertEquals(recorded("cottonlock-p.configuration-44"), text(file));
        assertEquals(recorded("cottonlock-p.configuration-attempt-at-43"), whileTaken.get(0));
        assertEquals(3, whileTaken.size(), "43, the kept 43 and 44");
        assertEquals(recorded("cottonlock-p.configuration-attempt-at-44"), whileTaken.get(2));
    }

    @Example
    void aRecordedAttemptIsCounted() throws Exception {
        Path folder =
                folder("cottonlock-p.configuration", "cottonlock-p.configuration-attempt-at-44");
        Path file = folder.resolve("cottonlock-p.configuration");
        List<String> whileTaken = new ArrayList<>();
        try (ControlServer control = new ControlServer(200)) {
            control.publish("s", 44, BASE, SETTINGS);
            RolloutActor actor =
                    actor(
                            folder,
                            List.of(control.address()),
                            settings -> {
                                try {
                                    whileTaken.add(text(file));
                                } catch (IOException e) {
                                    throw new IllegalStateException(e);
                                }
                            });
            actor.begin();
            follow(actor, 44);
        }
        assertTrue(whileTaken.get(1).endsWith("tries 44.6ec5d9e9794c3bf6 2\n"), whileTaken.get(1));
    }

    @Example
    void aRecordedHandOverOfAProcessThatIsGoneReplacesNobody() throws Exception {
        Path folder = folder("cottonlock-p.serving", "cottonlock-p.serving");
        assertFalse(new ProcessHandover(new SharedFile(folder, "p", "serving", log)).isReplaced());
    }

    @Example
    void aHandOverIsReadAndWrittenAsRecorded() throws Exception {
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
            assertTrue(handover.isReplaced(), "by a living one");
        } finally {
            other.destroyForcibly().waitFor();
        }
        assertFalse(handover.isReplaced(), "by a dead one");
    }

    /** The recorded text with another process's number and start. */
    private static String asRecorded(String recorded, ProcessHandle process) {
        return recorded.replace("31682", Long.toString(process.pid()))
                .replace(
                        "2026-12-03T09:43:58.410Z",
                        process.info().startInstant().orElseThrow().toString());
    }
}

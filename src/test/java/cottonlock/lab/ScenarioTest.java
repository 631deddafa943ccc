package cottonlock.lab;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.config.InvalidConfigurationException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Reading of scenario files, and schedules that depend only on the seed. */
class ScenarioTest {
    static final String PLAIN =
            """
            seconds = 2
            rooms = ["a", "b"]
            [proxy]
            count = 2
            [[tier]]
            backends = 3
            [[tenant]]
            name = "acme"
            share = 1.0
            rate = 100
            [[category]]
            name = "quote"
            due_ms = 500
            expiry_ms = 1500
            work_ms = 2
            """;

    static Path file(String text) throws IOException {
        Path file = Files.createTempFile("scenario", ".toml");
        file.toFile().deleteOnExit();
        return Files.writeString(file, text);
    }

    private static List<String> faults(String text, String... sets) throws IOException {
        Path file = file(text);
        List<String> faults = new ArrayList<>();
        InvalidConfigurationException e =
                assertThrows(
                        InvalidConfigurationException.class,
                        () -> Scenario.read(file, List.of(sets), null));
        e.faults().forEach(fault -> faults.add(fault.replace(file.toString(), "F")));
        return faults;
    }

    @Example
    void formerRepeatValuesAreReadAsCurrentOnes() throws Exception {
        String[][] renamedValues = {
            {"rerunnable", "safe"}, {"ticketed", "keyed"}, {"exclusive", "unsafe"}
        };
        for (String[] pair : renamedValues) {
            for (String word : pair) {
                String text = PLAIN + "repeat = \"" + word + "\"\n";
                assertEquals(
                        pair[1],
                        Scenario.read(file(text), List.of(), null).categories.get(0).repeat());
            }
        }
        assertEquals(1, faults(PLAIN + "repeat = \"once\"\n").size());
    }

    @Example
    void allFaultsAreReportedAtOnceWithLineKeyAndExpectation() throws Exception {
        List<String> faults =
                faults(
                        PLAIN.replace("backends = 3", "backend = 3")
                                        .replace("rate = 100", "rate = -1")
                                + "[[fault]]\n"
                                + "kind = \"slow\"\n"
                                + "at = 1\n"
                                + "backend = \"t0b9\"\n"
                                + "factor = 2\n"
                                + "[[fault]]\n"
                                + "kind = \"slw\"\n"
                                + "at = 5\n"
                                + "[expect]\n"
                                + "servise = \">= 1\"\n");
        assertEquals(
                List.of(
                        "F:6: tier.0.backend: unknown key; did you mean backends?",
                        "F:10: tenant.0.rate: expected a number from 0 to 1000000, found -1",
                        "F:19: fault.0.backend: unknown backend t0b9; backends are named t0b0 to"
                                + " t0b0"),
                faults.subList(0, 3));
        assertTrue(
                faults.stream()
                        .anyMatch(
                                f ->
                                        f.startsWith(
                                                "F:22: fault.1.kind: expected one of crash, "
                                                        + "cut")),
                faults.toString());
        assertTrue(
                faults.stream()
                        .anyMatch(
                                f ->
                                        f.startsWith(
                                                "F:23: fault.1.at: expected a time before "
                                                        + "the end")));
        assertTrue(
                faults.stream()
                        .anyMatch(
                                f ->
                                        f.startsWith(
                                                "F:25: expect.servise: unknown figure of the "
                                                        + "verdict; known figures: ")));
    }

    @Example
    void overridesFromTheCommandLineAreValidated() throws Exception {
        assertEquals(
                List.of("--set proxy.cuont=3: proxy.cuont: unknown key; did you mean count?"),
                faults(PLAIN, "proxy.cuont=3"));
        assertEquals(
                List.of("--set tier.1.backends=3: 1: leads nowhere: expected a place below 1"),
                faults(PLAIN, "tier.1.backends=3"));
        assertTrue(
                faults(PLAIN, "tier=[]")
                        .get(0)
                        .endsWith("expected one to three tables [[tier]], found 0"));
        assertEquals(
                7,
                Scenario.read(file(PLAIN), List.of("tier.0.backends=7"), null)
                        .tiers
                        .get(0)
                        .backends());
        assertEquals(5, Scenario.read(file(PLAIN), List.of(), 5L).seed);
        assertEquals(1, faults("a = [1,\nb = ").size());
        assertTrue(
                faults(PLAIN + "[[fault]]\nkind = \"proxy-kill\"\nat = 1\n")
                        .get(0)
                        .contains("proxy-kill requires each proxy to run in its own process"));
    }

    @Example
    void sameSeedGivesAnIdenticalSchedule() throws Exception {
        String text =
                PLAIN
                        + "[random_faults]\ncount = 5\nkinds = [\"slow\", \"drain\", \"garble\"]\n"
                        + "[clients]\nleave = 0.1\n[[burst]]\nat = 1\nfor = 0.5\ntimes = 5\n";
        byte[] once = schedule(text, 3);
        assertArrayEquals(once, schedule(text, 3));
        assertNotEquals(
                new String(once, StandardCharsets.UTF_8),
                new String(schedule(text, 4), StandardCharsets.UTF_8));
        assertTrue(once.length > 8_000);
    }

    private static byte[] schedule(String text, long seed) throws Exception {
        Scenario s = Scenario.read(file(text), List.of(), seed);
        Path out = Files.createTempFile("schedule", ".tsv");
        Report.writeSchedule(
                out,
                Arrivals.draw(
                        s.seed,
                        s.length,
                        s.zones.size(),
                        s.tenants,
                        s.categories,
                        s.clients,
                        s.bursts),
                Timeline.draw(s.seed, s.faults, s.random, s.zones, s.tiers, 1));
        byte[] bytes = Files.readAllBytes(out);
        Files.delete(out);
        return bytes;
    }

    @Example
    void arrivalsFollowRatesBurstsAndTraces() throws Exception {
        Scenario s =
                Scenario.read(
                        file(PLAIN + "[[burst]]\nat = 50\nfor = 25\ntimes = 3\n"),
                        List.of("seconds=100"),
                        9L);
        List<Arrivals.Arrival> all =
                Arrivals.draw(9, s.length, 2, s.tenants, s.categories, s.clients, s.bursts);
        long calm = all.stream().filter(a -> a.atNanos() < 50e9).count();
        long burst = all.stream().filter(a -> a.atNanos() >= 50e9 && a.atNanos() < 75e9).count();
        // Poisson arrivals: within five standard deviations.
        assertTrue(
                Math.abs(calm - 5_000) < 5 * Math.sqrt(5_000), calm + " in 50 s at 100 a second");
        assertTrue(
                Math.abs(burst - 7_500) < 5 * Math.sqrt(7_500), burst + " in 25 s at 300 a second");
        double work = all.stream().mapToDouble(Arrivals.Arrival::work).average().orElse(0);
        assertTrue(Math.abs(work - 2e6) < 5e4, "mean work " + work);
        Path trace = Files.createTempFile("trace", ".txt");
        Files.writeString(trace, "# ms\n1\n2.5\n\n1999\n9999\n");
        s =
                Scenario.read(
                        file(PLAIN),
                        List.of("clients.arrivals=trace", "clients.trace=" + trace),
                        9L);
        assertEquals(
                List.of(1_000_000L, 2_500_000L, 1_999_000_000L),
                Arrivals.draw(9, s.length, 2, s.tenants, s.categories, s.clients, s.bursts).stream()
                        .map(Arrivals.Arrival::atNanos)
                        .toList());
    }

    /** Messages are read completely and in order, however their bytes are split. */
    @Property(seed = "20261201", tries = 200)
    void messagesAreReadFromArbitraryFragments(@ForAll long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        List<String> bodies = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            String body = "\r\n\r\n".repeat(random.nextInt(3)) + "x".repeat(random.nextInt(50));
            bodies.add(body);
            bytes.write(
                    HttpMessageParser.encodeResponse(
                            200, random.nextBoolean() ? "A" : null, "b", body.getBytes(UTF_8)));
        }
        HttpMessageParser parser = new HttpMessageParser();
        List<String> read = new ArrayList<>();
        byte[] all = bytes.toByteArray();
        for (int from = 0; from < all.length; ) {
            int to = Math.min(all.length, from + 1 + random.nextInt(40));
            byte[] piece = java.util.Arrays.copyOfRange(all, from, to);
            parser.add(piece, piece.length);
            for (HttpMessageParser.Message m = parser.next(); m != null; m = parser.next()) {
                read.add(new String(m.body(), UTF_8));
            }
            from = to;
        }
        assertEquals(bodies, read);
        assertTrue(parser.isIdle());
    }

    /**
     * Reading a corrupted file returns a scenario or lists the faults; it never throws otherwise.
     */
    @Property(seed = "20261201", tries = 300)
    void mutatedFilesAreReadOrRejectedWithAMessage(@ForAll long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] bytes = PLAIN.getBytes(UTF_8);
        for (int i = 0; i < 1 + random.nextInt(4); i++) {
            bytes[random.nextInt(bytes.length)] =
                    (byte) (random.nextBoolean() ? random.nextInt(128) : '"');
        }
        Path file = Files.createTempFile("mutated", ".toml");
        try {
            Files.write(file, bytes);
            Scenario.read(file, List.of(), null);
        } catch (InvalidConfigurationException e) {
            assertTrue(e.faults().size() > 0 && e.faults().get(0).startsWith(file.toString()));
        } finally {
            Files.delete(file);
        }
    }
}

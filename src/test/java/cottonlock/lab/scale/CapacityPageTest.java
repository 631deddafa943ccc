package cottonlock.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.config.InvalidConfigurationException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/** Generates docs/CAPACITY.md from recorded results and checks the faults of its input files. */
class CapacityPageTest {
    private static final Path FOLDER = Path.of("docs", "capacity");
    private static final Path PAGE = Path.of("docs", "CAPACITY.md");
    private static final Path RECORDED = Path.of("src", "test", "resources", "capacity-recorded");
    private static final Path FIXTURE = Path.of("src", "test", "resources", "capacity");

    @Example
    void pageMatchesItsFiles() throws Exception {
        assertEquals(
                CapacityPage.generate(FOLDER),
                Files.readString(PAGE),
                "docs/CAPACITY.md differs from its "
                        + "files; docs/capacity/README.md says how to generate it");
    }

    /**
     * The input files of commit 7f2d4cc, from before classes were renamed, must still give the page
     * that was generated then.
     */
    @Example
    void recordedResultsGiveTheRecordedPage() throws Exception {
        assertEquals(
                Files.readString(RECORDED.resolve("expected.md")),
                CapacityPage.generate(RECORDED.resolve("capacity")));
    }

    @Example
    void templateShowsEachPartOfTheBudget() throws Exception {
        String template = Files.readString(FOLDER.resolve("page.md"));
        for (String part : Budget.read(FOLDER.resolve("budget.toml")).parts()) {
            assertTrue(
                    template.contains("{{part " + part + "}}"),
                    "page.md has no table of part " + part);
        }
        for (String table : List.of("ratios", "largest", "missing", "runs", "latency")) {
            assertTrue(template.contains("{{" + table + "}}"), "page.md has no table " + table);
        }
    }

    @Example
    void constantsOfTheBudgetEqualThoseInTheSources() throws Exception {
        for (Budget.Constant c : Budget.read(FOLDER.resolve("budget.toml")).constants) {
            String source = Files.readString(Path.of(c.file()));
            Matcher found =
                    Pattern.compile(
                                    "(?<![A-Z_])"
                                            + Pattern.quote(c.field())
                                            + (c.field().matches("[A-Z_]+")
                                                    ? " = ([0-9_.]+)"
                                                    : "()"))
                            .matcher(source);
            assertTrue(found.find(), c.file() + " has no " + c.field());
            do {
                String value =
                        found.group(1).isEmpty()
                                ? c.field().replaceAll(".*?([0-9_]{4,}).*", "$1")
                                : found.group(1);
                assertEquals(c.value(), Double.parseDouble(value.replace("_", "")), c.name());
            } while (found.find());
        }
    }

    @Example
    void changedResultChangesThePage() throws Exception {
        Path folder = copy(FIXTURE);
        String before = CapacityPage.generate(folder);
        change(folder.resolve("proxy-400-1.json"), "\"rss_mb\": 90.0", "\"rss_mb\": 91.0");
        assertNotEquals(before, CapacityPage.generate(folder));
    }

    @Example
    void changedBudgetChangesThePage() throws Exception {
        Path folder = copy(FIXTURE);
        String before = CapacityPage.generate(folder);
        change(folder.resolve("budget.toml"), "proxy_memory_mb = 128", "proxy_memory_mb = 129");
        assertNotEquals(before, CapacityPage.generate(folder));
    }

    @Example
    void digitInTheTemplateIsAFault() throws Exception {
        Path folder = copy(FIXTURE);
        change(folder.resolve("page.md"), "Budgets:", "Budgets, of 17 machines:");
        InvalidConfigurationException thrown =
                assertThrows(
                        InvalidConfigurationException.class, () -> CapacityPage.generate(folder));
        assertTrue(
                thrown.getMessage().contains("page.md:3: a figure in the prose"),
                thrown.getMessage());
    }

    @Example
    void unknownPlaceholderIsAFault() throws Exception {
        Path folder = copy(FIXTURE);
        change(folder.resolve("page.md"), "{{operators.backends}}", "{{operators.backend}}");
        InvalidConfigurationException thrown =
                assertThrows(
                        InvalidConfigurationException.class, () -> CapacityPage.generate(folder));
        assertTrue(
                thrown.getMessage().contains("page.md:3: there is no operators.backend"),
                thrown.getMessage());
    }

    /** Memory in the fixture is 50 MB and 0.1 for each entry: 350 at the operators' 3,000. */
    @Example
    void slopeIsExtrapolatedToTheOperatorsSize() throws Exception {
        String page = CapacityPage.generate(copy(FIXTURE));
        assertTrue(
                page.contains(
                        "| memory | linear, 4 sizes to 400; spread 0%, one seed; 7.5 times beyond; "
                                + "power: "),
                page);
        assertTrue(page.contains(" | 350 MB | 128 | 2.73 | `net.BackendActor` |"), page);
        assertTrue(
                page.contains("| 2.73 | proxy: memory | 350 MB | 128 | `net.BackendActor` |"),
                page);
    }

    @Example
    void largestUncarriedNeedIsNamed() throws Exception {
        String page = CapacityPage.generate(copy(FIXTURE));
        assertTrue(page.contains("Largest: **quotas: lost**, 460 times its budget"), page);
        assertTrue(
                page.indexOf("| 460 | quotas: lost") < page.indexOf("| 2.73 | proxy: memory"),
                page);
    }

    @Example
    void needWithABudgetOfZeroComesFirst() throws Exception {
        Path folder = copy(FIXTURE);
        change(
                folder.resolve("budget.toml"),
                "budget = \"worked.one\"",
                "budget = \"worked.none\"");
        String page = CapacityPage.generate(folder);
        assertTrue(page.contains("Largest: **quotas: lost**, without bound"), page);
        assertTrue(
                page.indexOf("| without bound | quotas: lost")
                        < page.indexOf("| 2.73 | proxy: memory"),
                page);
    }

    @Example
    void resultsOfAnEarlierStateAreShownAndInNoSlope() throws Exception {
        Path folder = copy(FIXTURE);
        Files.createDirectory(folder.resolve("before-mend"));
        Files.move(
                folder.resolve("proxy-400-2.json"),
                folder.resolve("before-mend").resolve("proxy-400-2.json"));
        change(
                folder.resolve("before-mend").resolve("proxy-400-2.json"),
                "\"verdict\": \"none\"",
                "\"verdict\": \"pass\"");
        Files.writeString(
                folder.resolve("page.md"),
                Files.readString(folder.resolve("page.md")) + "\n{{before mend proxy}}\n");
        String page = CapacityPage.generate(folder);
        assertTrue(
                page.contains("| `proxy-400-2.json` | pass | 812, 930 | 0123abc | no: before |"),
                page);
        assertTrue(page.contains("350 MB"), page);
        assertTrue(
                page.endsWith(
                        """
                        | `figures.rss_mb` | 999 |
                        | `figures.first_200_ms` | 500 |
                        | `calls.cpu_share` | 0.5 |
                        | runs | 1 |
                        """),
                page);
    }

    @Example
    void resultsOfALateMachineAreListedButInNoSlope() throws Exception {
        Path folder = copy(FIXTURE);
        String page = CapacityPage.generate(folder);
        // Its memory of 999 MB would change the slope, as the next assertion shows.
        assertTrue(page.contains("| `proxy-400-2.json` | none | 812, 930 | 0123abc | no |"), page);
        assertTrue(page.contains("Late: 1 of 5"), page);
        change(
                folder.resolve("proxy-400-2.json"),
                "\"verdict\": \"none\"",
                "\"verdict\": \"pass\"");
        assertFalse(CapacityPage.generate(folder).contains("350 MB"));
        // A proxy that served no call is excluded too.
        change(
                folder.resolve("proxy-400-2.json"),
                "\"verdict\": \"pass\"",
                "\"verdict\": \"fail\"");
        assertTrue(CapacityPage.generate(folder).contains("350 MB"));
    }

    @Example
    void missingMeasurementsAreShownAsNotMeasured() throws Exception {
        Path folder = copy(FIXTURE);
        Files.delete(folder.resolve("proxy-300-1.json"));
        String page = CapacityPage.generate(folder);
        assertTrue(
                page.contains(
                        "| memory | not measured: 3 of the 4 sizes that a slope needs "
                                + "| not measured | 128 | - | `net.BackendActor` |"),
                page);
        assertTrue(
                page.contains(
                        "- proxy: memory (not measured: 3 of the 4 sizes that a slope needs)"),
                page);
        assertTrue(page.contains("- tool: state (not measured)"), page);
    }

    /** In the fixture, the processor share of calls is 0.1 plus 0.001 for each entry. */
    @Example
    void proxyThatFellBehindItsCallsIsInNoSlope() throws Exception {
        Path folder = copy(FIXTURE);
        assertTrue(
                CapacityPage.generate(folder).contains(" | 3.1 of a core | - | - | `net.Proxy` |"));
        change(folder.resolve("proxy-400-1.json"), "\"p50_ms\": 2.5", "\"p50_ms\": 4960");
        String page = CapacityPage.generate(folder);
        assertTrue(
                page.contains(
                        "| calls | not measured: 3 of the 4 sizes that a slope needs; "
                                + "fell behind at 400 |"),
                page);
        assertTrue(page.contains("350 MB"), page);
    }

    @Example
    void figureWithoutSlopeIsShownBySizeOnly() throws Exception {
        Path folder = copy(FIXTURE);
        change(
                folder.resolve("budget.toml"),
                "source = \"proxy:figures.rss_mb\"",
                "source = \"proxy:figures.rss_mb\"\nslope = false");
        String page = CapacityPage.generate(folder);
        assertTrue(
                page.contains("| memory | by size, below | - | 128 | - | `net.BackendActor` |"),
                page);
        assertTrue(page.contains("| `figures.rss_mb` | 60 | 70 | 80 | 90 |"), page);
        assertFalse(page.contains("- proxy: memory"), page);
    }

    @Example
    void eventThatWasNeverReachedIsShownAsNever() throws Exception {
        Path folder = copy(FIXTURE);
        change(
                folder.resolve("proxy-400-1.json"),
                "\"first_200_ms\": 130.0",
                "\"first_200_ms\": -1");
        String page = CapacityPage.generate(folder);
        assertTrue(page.contains("| `figures.first_200_ms` | 100 | 110 | 120 | never |"), page);
        assertTrue(page.contains("3 of the 4 sizes that a slope needs; never came at 400"), page);
    }

    @Example
    void commandWritesThePageAndReportsFaults() throws Exception {
        Path folder = copy(FIXTURE);
        Path page = folder.resolve("PAGE.md");
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        Capacity capacity = new Capacity(new PrintStream(output), new PrintStream(output));
        assertEquals(0, capacity.page(folder, page));
        assertEquals(CapacityPage.generate(folder), Files.readString(page));
        Files.writeString(folder.resolve("proxy-7-1.json"), "{\"kind\": \"proxy\"}");
        assertEquals(2, capacity.page(folder, page));
        assertTrue(
                output.toString(StandardCharsets.UTF_8)
                        .contains("proxy-7-1.json: size: expected a whole " + "number, found none"),
                output.toString(StandardCharsets.UTF_8));
        assertEquals(2, capacity.measure(folder, "proxy-none"));
        assertEquals(2, capacity.measure(folder, "latency-4-1"));
    }

    @Example
    void faultsOfAResultNameTheField() throws Exception {
        assertEquals(
                "kind: expected one of latency, members, proxy, rollout, scale, found \"\"",
                fault("{}"));
        assertEquals("expected a JSON object", fault("[]"));
        assertTrue(fault("{\"kind\":\"proxy\",").contains("Unexpected end"));
        assertTrue(fault("{\"kind\":\"proxy\",\"kind\":\"proxy\"}").contains("Duplicate"));
        String whole = Files.readString(FIXTURE.resolve("proxy-100-1.json"));
        assertEquals("expected the name proxy-100-1.json", fault(whole));
        String renamed = whole.replace("\"size\": 100", "\"size\": 5");
        assertEquals(
                "verdict: expected pass, none or fail, found \"good\"",
                fault(renamed.replace("\"pass\"", "\"good\"")));
        assertEquals(
                "figures.rss_mb: expected a number from -1 (never), found -3.0",
                fault(renamed.replace("60.0", "-3")));
        assertEquals("commit: is not there", fault(renamed.replace("\"commit\"", "\"comet\"")));
        assertEquals("", fault(renamed));
    }

    @Example
    void faultsOfABudgetNameFileAndKey() throws Exception {
        assertBudget(
                "backends = 3000",
                "",
                "operators.backends: expected a number, but the key is not there");
        assertBudget("backends = 3000", "backends = 0", "operators.backends: expected");
        assertBudget(
                "budget = \"operators.proxy_memory_mb\"",
                "budget = \"operators.memory\"",
                "need.0.budget: there is no figure operators.memory");
        assertBudget(
                "source = \"proxy:figures.rss_mb\"",
                "source = \"figures.rss_mb\"",
                "need.0.source: expected KIND:PATH");
        assertBudget(
                "services = 460", "service = 460", "operators.service: unknown key; did you mean");
    }

    private static void assertBudget(String original, String replacement, String fault)
            throws Exception {
        Path folder = copy(FIXTURE);
        change(folder.resolve("budget.toml"), original, replacement);
        InvalidConfigurationException thrown =
                assertThrows(
                        InvalidConfigurationException.class,
                        () -> Budget.read(folder.resolve("budget.toml")));
        assertTrue(
                thrown.getMessage().contains(fault) && thrown.getMessage().contains("budget.toml:"),
                thrown.getMessage());
    }

    /**
     * The fault of a result that is stored as proxy-5-1.json, without file name and line; empty if
     * the result is valid.
     */
    private static String fault(String text) throws IOException {
        Path file = Files.createTempDirectory("result").resolve("proxy-5-1.json");
        Files.writeString(file, text);
        try {
            ResultFile.read(file);
            return "";
        } catch (InvalidConfigurationException e) {
            assertTrue(e.getMessage().startsWith(file.toString()), e.getMessage());
            return e.getMessage().substring(file.toString().length()).replaceFirst("^[:0-9]* ", "");
        }
    }

    private static Path copy(Path from) throws IOException {
        Path to = Files.createTempDirectory("capacity");
        try (Stream<Path> files = Files.list(from)) {
            for (Path file : files.toList()) {
                Files.copy(file, to.resolve(file.getFileName()));
            }
        }
        return to;
    }

    private static void change(Path file, String original, String replacement) throws IOException {
        String text = Files.readString(file);
        assertTrue(text.contains(original), file + " has no " + original);
        Files.writeString(file, text.replace(original, replacement));
    }
}

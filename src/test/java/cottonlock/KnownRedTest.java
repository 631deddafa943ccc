package cottonlock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/**
 * Which test failures {@code .ci/run} passes over. A script in place of Maven writes reports as
 * Surefire does.
 */
class KnownRedTest {
    private static final String RED =
            "x.LabTest#many, `make test`, lost where no core is free, #49\n";
    private static final String RED_PLAY =
            "play soak-17, `lab soak --seeds 17`, one request lost, #57\n";
    private static final String PASSED =
            "  <testcase name=\"%s\" classname=\"x.LabTest\" time=\"0.1\"/>\n";
    private static final String FAILED =
            "  <testcase name=\"%s\" classname=\"x.LabTest\" time=\"0.1\">\n"
                + "    <failure message=\"expected: &lt;0&gt;\" type=\"E\"><![CDATA[E: expected\n"
                + "\tat x.LabTest.many(LabTest.java:1)]]></failure>\n"
                + "    <system-out><![CDATA[  <testcase name=\"odd\""
                + " classname=\"x.LabTest\"><error/>]]></system-out>\n"
                + "  </testcase>\n";

    private final Path root = folder();
    private String output;

    private static Path folder() {
        try {
            Path folder = Files.createTempDirectory("known-red");
            for (String part : List.of(".ci", "bin", "reports")) {
                Files.createDirectory(folder.resolve(part));
            }
            for (String script : List.of("run", "known-red")) {
                Path copy = folder.resolve(".ci").resolve(script);
                Files.copy(Path.of(".ci", script), copy);
                assertTrue(copy.toFile().setExecutable(true));
            }
            return folder;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static String many(boolean fails) {
        return String.format(fails ? FAILED : PASSED, "many");
    }

    private static String other(boolean fails) {
        return String.format(fails ? FAILED : PASSED, "other");
    }

    /** Writes the report of one test class; no report if the test cases are null. */
    private void writeReport(String cases) throws IOException {
        Path report = root.resolve("reports/TEST-x.LabTest.xml");
        if (cases == null) {
            Files.deleteIfExists(report);
            return;
        }
        int failures = cases.split("</failure>", -1).length - 1;
        Files.writeString(
                report,
                "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<testsuite name=\"x.LabTest\""
                        + " time=\"1\" tests=\"2\" errors=\"0\" skipped=\"0\" failures=\""
                        + failures
                        + "\">\n"
                        + "  <properties>\n"
                        + "    <property name=\"p\" value=\"q\"/>\n"
                        + "  </properties>\n"
                        + cases
                        + "</testsuite>\n");
    }

    /**
     * Runs {@code .ci/run} and returns its exit status.
     *
     * @param list the content of KNOWN-RED.txt; null for no file
     * @param cases the test cases in Maven's report; null for no report
     * @param mavenStatus Maven's exit status: 0 if Maven was told to ignore failed tests and only
     *     tests failed
     */
    private int run(String list, String cases, int mavenStatus) throws Exception {
        if (list == null) {
            Files.deleteIfExists(root.resolve("KNOWN-RED.txt"));
        } else {
            Files.writeString(root.resolve("KNOWN-RED.txt"), list);
        }
        writeReport(cases);
        Path mvn = root.resolve("bin/mvn");
        Files.writeString(
                mvn,
                "#!/usr/bin/env bash\necho \"mvn $*\"\nmkdir -p target\nrm -rf target/*\n"
                        + "cp -r reports target/surefire-reports\nexit "
                        + mavenStatus
                        + "\n");
        assertTrue(mvn.toFile().setExecutable(true));
        ProcessBuilder builder = new ProcessBuilder(root.resolve(".ci/run").toString());
        builder.environment().put("PATH", root.resolve("bin") + ":" + System.getenv("PATH"));
        Path log = root.resolve("log");
        Process process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS), ".ci/run ends");
        output = Files.readString(log);
        return process.exitValue();
    }

    @Example
    void withoutAListOnlyTheTestCommandRuns() throws Exception {
        for (String none : new String[] {null, ""}) {
            assertEquals(0, run(none, many(false), 0), output);
            assertEquals("mvn -B -ntp clean verify\n", output);
            assertEquals(1, run(none, many(true), 1), output);
            assertEquals("mvn -B -ntp clean verify\n", output);
        }
    }

    @Example
    void listedTestMayFailAndIsPrinted() throws Exception {
        assertEquals(0, run(RED, many(true) + other(false), 0), output);
        assertEquals(
                "mvn -B -ntp clean verify -Dmaven.test.failure.ignore=true\nknown red, failed: "
                        + RED,
                output);
    }

    @Example
    void listedTestThatPassesIsReportedForRemoval() throws Exception {
        assertEquals(0, run(RED.strip(), many(false) + other(false), 0), output);
        assertTrue(output.contains("passed, take it off the list: " + RED), output);
    }

    @Example
    void anyOtherFailureFails() throws Exception {
        assertEquals(1, run(RED, many(true) + other(true), 0), output);
        assertTrue(output.contains("failed, and not known red: x.LabTest#other\n"), output);
        assertFalse(
                output.contains("odd"),
                "the output of a test is not read as a test case: " + output);
        assertEquals(
                1,
                run(RED, many(true) + other(false), 1),
                "a failure outside tests, such as the lint: " + output);
        assertEquals(1, run(RED, null, 0), output);
        assertTrue(output.contains("no reports"), output);
        String wholeClass =
                String.format(FAILED, "").replace("failure", "error").replace("x.LabTest", "x.B");
        assertEquals(
                1, run(RED, many(true) + wholeClass, 0), "a class that can't be loaded: " + output);
        assertEquals(
                1,
                run(RED, many(true) + "<testsuite name=\"y\" failures=\"1\" errors=\"0\">", 0),
                output);
        assertTrue(output.contains("tell of 2 failures, 1 were found"), output);
    }

    @Example
    void listedTestMustExistAndBeRun() throws Exception {
        assertEquals(1, run(RED, other(false), 0), output);
        assertTrue(output.contains("there is no such test: " + RED), output);
        assertEquals(
                1,
                run(
                        RED,
                        String.format(
                                """
                                  <testcase name="%s" classname="x.LabTest" time="0">
                                    <skipped/>
                                  </testcase>
                                """,
                                "many"),
                        0),
                output);
        assertTrue(output.contains("not run: " + RED), output);
    }

    /** The number of entries is not limited: a limit would be a reason to leave a fault out. */
    @Example
    void listMayContainManyTests() throws Exception {
        StringBuilder list = new StringBuilder(RED);
        StringBuilder cases = new StringBuilder(many(true));
        for (String name : List.of("a", "b", "c", "d")) {
            list.append(RED.replace("LabTest#many", "LabTest#" + name));
            cases.append(String.format(FAILED, name));
        }
        assertEquals(0, run(list.toString(), cases.toString(), 0), output);
        assertEquals(5, output.split("known red, failed: ", -1).length - 1, output);
        assertEquals(1, run(list.toString(), cases + other(true), 0), output);
    }

    /** A listed play is printed, and no test may fail because of it. */
    @Example
    void listedPlayIsPrinted() throws Exception {
        assertEquals(0, run(RED_PLAY, other(false), 0), output);
        assertTrue(output.contains("known red, not played here: " + RED_PLAY), output);
        assertEquals(1, run(RED_PLAY, many(true), 0), output);
        assertEquals(0, run(RED_PLAY + RED, many(true), 0), output);
        assertTrue(output.contains("known red, failed: " + RED), output);
    }

    /** A malformed list is reported before anything is built. */
    @Example
    void malformedListFails() throws Exception {
        assertEquals(1, run(RED + RED, many(true), 0), output);
        assertTrue(output.startsWith("KNOWN-RED.txt:2: x.LabTest#many is listed twice"), output);
        assertEquals(1, run(RED_PLAY + RED_PLAY, many(true), 0), output);
        assertTrue(output.startsWith("KNOWN-RED.txt:2: play soak-17 is listed twice"), output);
        for (String bad :
                List.of(
                        "x.LabTest#many, #49",
                        "x.LabTest#many, `c`, #49",
                        "x.LabTest#many, `make test`, #49",
                        "x.LabTest#many, `make test`, , #49",
                        "x.LabTest#many, slow, #49",
                        "x.LabTest#many, ``, slow, #49",
                        "x.LabTest#many, ` `, slow, #49",
                        "x.LabTest#many, make test, slow, #49",
                        "x.LabTest, `make test`, slow, #49",
                        "x.LabTest#many, `make test`, slow",
                        "x.LabTest#many, `make test`, slow, 49",
                        "x.LabTest#*, `make test`, slow, #49",
                        "# slow, `make test`, a, #1",
                        "play, `lab soak --seeds 17`, lost, #57",
                        "play soak 17, `lab soak --seeds 17`, lost, #57",
                        "play soak-17, `lab soak`, lost, #57",
                        "play soak-17, `lab soak --seeds`, lost, #57",
                        "play soak-17, `lab soak --seeds 17`, lost",
                        "\n" + RED,
                        RED + "\n",
                        RED.strip() + "\r\n",
                        " " + RED)) {
            assertEquals(1, run(bad, many(true), 0), bad + output);
            assertTrue(
                    output.matches(
                            "(?s)KNOWN-RED.txt:[12]: expected CLASS#METHOD or play NAME, `COMMAND`,"
                                    + " WHAT WAS SEEN, #ISSUE, found: .*"),
                    output);
            assertFalse(output.contains("mvn"), output);
        }
    }
}

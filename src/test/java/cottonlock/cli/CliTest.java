package cottonlock.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/** Runs the program as a process and checks its exit status and its two output streams. */
class CliTest {
    private String out;
    private String err;

    private static ProcessBuilder process(
            Map<String, String> environment, List<String> options, String... args) {
        // If a shell without job control started this test, SIGINT is ignored, and a child process
        // would inherit that.
        List<String> command = new ArrayList<>(List.of("env", "--default-signal=INT"));
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC"));
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "cottonlock.Main"));
        command.addAll(List.of(args));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().remove("EDGE_CONFIG");
        builder.environment().putAll(environment);
        return builder;
    }

    private int run(Map<String, String> environment, List<String> options, String... args)
            throws Exception {
        Path outFile = Files.createTempFile("out", ".txt");
        Path errFile = Files.createTempFile("err", ".txt");
        int status =
                process(environment, options, args)
                        .redirectOutput(outFile.toFile())
                        .redirectError(errFile.toFile())
                        .start()
                        .waitFor();
        out = Files.readString(outFile);
        err = Files.readString(errFile);
        Files.delete(outFile);
        Files.delete(errFile);
        return status;
    }

    private int run(String... args) throws Exception {
        return run(Map.of(), List.of(), args);
    }

    @Example
    void commandsPrintHelpVersionAndFaults() throws Exception {
        assertEquals(0, run("--help"));
        for (String command : List.of("serve", "wirehost", "check", "lab", "completion")) {
            assertTrue(out.contains(command), out);
        }
        assertEquals(0, run("--version"));
        assertTrue(out.startsWith("cottonlock "), out);
        assertEquals(2, run("srve"));
        assertTrue(err.contains("srve") && out.isEmpty(), err);
        assertEquals(2, run("lab", "run", "no/such.toml"));
        assertEquals("no/such.toml: there is no such file", err.strip());
        assertEquals(0, run("completion"));
        assertTrue(out.contains("complete "), "a completion script for the shell");
    }

    @Example
    void checkReportsEachFileAndFailsIfOneIsInvalid() throws Exception {
        assertEquals(0, run("check", "scenarios/quickstart.toml", "deploy/operator.example.toml"));
        assertEquals(2, out.lines().filter(line -> line.endsWith(": can be used")).count(), out);
        Path bad = Files.createTempFile("bad", ".json");
        Files.writeString(bad, "{}");
        assertEquals(2, run("check", bad.toString(), "scenarios/quickstart.toml"));
        assertTrue(err.lines().count() >= 3 && err.contains("listen: expected a text"), err);
        Files.delete(bad);
    }

    /**
     * Guards against a slower and larger start on the platform: serve without an operator's file
     * must load no library and no class of the command line.
     */
    @Example
    void serveWithoutOperatorFileLoadsNoLibraryAndNoCommandLine() throws Exception {
        List<String> logged = List.of("-Xshare:off", "-Xlog:class+load:stdout");
        assertEquals(2, run(Map.of(), logged, "serve"));
        assertTrue(err.contains("EDGE_CONFIG names no file"), err);
        for (String forbidden :
                List.of(
                        "picocli",
                        "tomlj",
                        "fasterxml",
                        "HdrHistogram",
                        "cottonlock.cli",
                        "cottonlock.lab",
                        "cottonlock.config")) {
            assertFalse(out.contains(forbidden), forbidden + " is loaded");
        }
    }

    private static final String CONFIG =
            "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\","
                    + "\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\","
                    + "\"settings\":{\"Categories\":[{\"Name\":\"c\","
                    + "\"DueTime\":1000000}],\"MembershipMode\":\"subscribe\"}}";

    /** A proxy without membership and rollout loads none of their classes. */
    @Example
    void serveWithoutMembershipAndRolloutLoadsNoneOfTheirClasses() throws Exception {
        Path folder = Files.createTempDirectory("cli");
        Path config = Files.writeString(folder.resolve("config.json"), CONFIG);
        Path loaded = folder.resolve("loaded");
        Process serve =
                process(
                                Map.of("EDGE_CONFIG", config.toString()),
                                List.of("-Xlog:class+load:file=" + loaded),
                                "serve")
                        .start();
        try (java.io.BufferedReader lines = serve.errorReader()) {
            assertTrue(lines.readLine().contains("the watch ended"), "the proxy is serving");
        } finally {
            serve.destroyForcibly().waitFor();
        }
        String classes = Files.readString(loaded);
        assertTrue(classes.contains("cottonlock.proxy.Proxy "), "the class log was written");
        for (String forbidden :
                List.of(
                        "cottonlock.membership",
                        "cottonlock.proxy.MembershipAdapter",
                        "cottonlock.setup.Membership",
                        "cottonlock.rollout",
                        "cottonlock.proxy.control.Rollout",
                        "cottonlock.proxy.control.ConfigurationVersion",
                        "cottonlock.setup.Rollout",
                        "javax.crypto",
                        "cottonlock.config",
                        "cottonlock.cli")) {
            assertFalse(classes.contains(forbidden), forbidden + " is loaded");
        }
    }

    @Example
    void invalidMembershipConfigurationFailsTheStart() throws Exception {
        Path folder = Files.createTempDirectory("cli");
        Path operator =
                Files.writeString(folder.resolve("o.toml"), "[membership]\nenabled = true\n");
        Path config = Files.writeString(folder.resolve("config.json"), CONFIG);
        Map<String, String> files = Map.of("EDGE_CONFIG", config.toString());
        assertEquals(2, run(files, List.of(), "serve", "--operator", operator.toString()));
        assertEquals(
                "cottonlock: membership needs an address: peer_listen here, or membership.listen in"
                        + " the operator's file",
                err.strip());
        Files.writeString(operator, "[membership]\nenabled = true\nlisten = \"127.0.0.1:0\"\n");
        assertEquals(2, run(files, List.of(), "serve", "--operator", operator.toString()));
        assertTrue(err.contains("membership needs others"), err);
        Path key = Files.writeString(folder.resolve("key"), "short\n");
        Files.writeString(
                operator,
                """
                [membership]
                enabled = true
                listen = "127.0.0.1:0"
                seeds = ["127.0.0.1:9"]
                key_file = "key"
                """);
        assertEquals(2, run(files, List.of(), "serve", "--operator", operator.toString()));
        assertTrue(err.contains(key + " holds no key of 16 to 4096 bytes"), err);
    }

    /** With rollout on, its classes are loaded. Shows that the test without it would see them. */
    @Example
    void serveWithRolloutLoadsItsClasses() throws Exception {
        Path folder = Files.createTempDirectory("cli");
        Path operator =
                Files.writeString(
                        folder.resolve("o.toml"),
                        """
                        [rollout]
                        enabled = true
                        service = "s"
                        control = ["127.0.0.1:1"]
                        """);
        Path config = Files.writeString(folder.resolve("config.json"), CONFIG);
        Path loaded = folder.resolve("loaded");
        Process serve =
                process(
                                Map.of("EDGE_CONFIG", config.toString()),
                                List.of("-Xlog:class+load:file=" + loaded),
                                "serve",
                                "--operator",
                                operator.toString())
                        .start();
        try (java.io.BufferedReader lines = serve.errorReader()) {
            String line = lines.readLine();
            while (!line.contains("control: the watch at /127.0.0.1:1 ended: Connection refused")) {
                line = lines.readLine();
            }
        } finally {
            serve.destroyForcibly().waitFor();
        }
        assertTrue(
                Files.readString(loaded).contains("cottonlock.rollout.ConfigurationRollout "),
                "the classes of the rollout are loaded");
    }

    @Example
    void serveRejectsAnInvalidOperatorFile() throws Exception {
        Path file = Files.createTempFile("operator", ".toml");
        Files.writeString(file, "[log]\nformat = \"jsn\"\n");
        assertEquals(2, run("serve", "--operator", file.toString()));
        assertEquals(
                file + ":2: log.format: expected one of text, json, found \"jsn\"", err.strip());
        assertEquals(2, run(Map.of("COTTONLOCK_OPERATOR", file.toString()), List.of(), "serve"));
        assertTrue(err.contains("expected one of text, json"), err);
        Files.delete(file);
    }

    @Example
    void logLinesAreJsonObjectsWithThatLogFormat() throws Exception {
        Path folder = Files.createTempDirectory("cli");
        Path operator =
                Files.writeString(folder.resolve("operator.toml"), "[log]\nformat = \"json\"\n");
        Path config = Files.writeString(folder.resolve("config.json"), CONFIG);
        Process serve =
                process(
                                Map.of("EDGE_CONFIG", config.toString()),
                                List.of(),
                                "serve",
                                "--operator",
                                operator.toString())
                        .start();
        try (java.io.BufferedReader lines = serve.errorReader()) {
            String line = lines.readLine();
            assertTrue(
                    line.matches(
                            "\\{\"time\":\"20.*Z\",\"level\":\"INFO\",\"kind\":\"list\",\"text\":\""
                                    + "the "
                                    + "watch ended: .*\"\\}"),
                    line);
        } finally {
            serve.destroyForcibly();
        }
    }

    /** After Ctrl-C during a run, the report is written and no proxy process is left running. */
    @Example
    void interruptedLabRunWritesItsReportAndEndsItsProxies() throws Exception {
        Path folder = Files.createTempDirectory("cli");
        Process lab =
                process(
                                Map.of(),
                                List.of(),
                                "lab",
                                "run",
                                "scenarios/proxy-killed.toml",
                                "--out",
                                folder.toString())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start();
        long deadlineNanos = System.nanoTime() + 20_000_000_000L;
        while (lab.descendants().count() < 3 && System.nanoTime() < deadlineNanos) {
            Thread.sleep(20);
        }
        Thread.sleep(1_500);
        List<ProcessHandle> proxies = lab.descendants().toList();
        assertEquals(3, proxies.size());
        new ProcessBuilder("kill", "-INT", Long.toString(lab.pid())).start().waitFor();
        assertEquals(130, lab.waitFor());
        assertTrue(
                Files.readString(folder.resolve("report.json")).contains("\"interrupted\" : true"));
        for (ProcessHandle proxy : proxies) {
            proxy.onExit().get(5, java.util.concurrent.TimeUnit.SECONDS);
        }
    }
}

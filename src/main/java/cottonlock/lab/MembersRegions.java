package cottonlock.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import cottonlock.lab.world.RegionsStudy;
import cottonlock.lab.world.Topology;
import cottonlock.setup.MembershipProtocolConfig;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Simulates fleets over regions and zones in virtual time: prints each figure as soon as it is
 * known, and writes result files.
 */
final class MembersRegions implements RegionsStudy.Gauge {
    /** Readings of the CPU clock by which the cost of one reading is measured. */
    private static final int CLOCK_READINGS = 200_000;

    /**
     * Garbage collections before the heap is measured: the second one may free what the first one
     * left.
     */
    private static final int GARBAGE_COLLECTIONS = 2;

    private static final List<String> TOP_LEVEL_FIGURES =
            List.of("seconds_virtual", "datagrams_print");

    private final Topology topology;
    private final int quietSeconds;
    private final int apartSeconds;
    private final int knownAddresses;
    private final MembershipProtocolConfig rules;
    private final PrintStream out;
    private final ThreadMXBean threadBean = ManagementFactory.getThreadMXBean();
    private long readingNanos = -1;

    /**
     * Creates a study.
     *
     * @param quietSeconds length of the phase without faults
     * @param apartSeconds for how long regions are split
     * @param knownAddresses contact addresses that each member knows; 0 for all
     */
    MembersRegions(
            Topology topology,
            int quietSeconds,
            int apartSeconds,
            int knownAddresses,
            MembershipProtocolConfig rules,
            PrintStream out) {
        this.topology = topology;
        this.quietSeconds = quietSeconds;
        this.apartSeconds = apartSeconds;
        this.knownAddresses = knownAddresses;
        this.rules = rules;
        this.out = out;
    }

    /**
     * Runs one simulation.
     *
     * @param folder where {@code members-SIZE-SEED.json} is written; null for no file
     * @throws IOException if the file can't be written
     */
    void play(int size, long seed, Path folder) throws IOException {
        String command =
                "lab members --regions "
                        + topology.regions()
                        + " --zones "
                        + topology.zones()
                        + " --sizes "
                        + size
                        + " --seeds "
                        + seed
                        + " --quiet "
                        + quietSeconds
                        + " --apart "
                        + apartSeconds
                        + (knownAddresses > 0 ? " --known " + knownAddresses : "");
        out.println(command);
        long startedAt = System.nanoTime();
        RegionsStudy.Parameters parameters =
                new RegionsStudy.Parameters(
                        seed,
                        size,
                        topology,
                        quietSeconds,
                        apartSeconds,
                        knownAddresses > 0 ? Math.min(knownAddresses, size) : size);
        if (folder != null) {
            Files.createDirectories(folder);
        }
        String commit = commit();
        RegionsStudy.run(
                parameters,
                rules,
                this,
                (name, figures) -> {
                    long seconds = (System.nanoTime() - startedAt) / 1_000_000_000;
                    out.printf("  %6d s  %s=%d%n", seconds, name, figures.get(name));
                    out.flush();
                    // The file is rewritten after each figure, so that an interrupted run keeps the
                    // figures it has.
                    if (folder != null) {
                        try {
                            write(
                                    folder.resolve("members-" + size + "-" + seed + ".json"),
                                    parameters,
                                    command,
                                    commit,
                                    seconds,
                                    figures);
                        } catch (IOException e) {
                            throw new UncheckedIOException(e);
                        }
                    }
                });
    }

    private void write(
            Path file,
            RegionsStudy.Parameters parameters,
            String command,
            String commit,
            long seconds,
            Map<String, Long> figures)
            throws IOException {
        try (JsonGenerator json =
                new JsonFactory().createGenerator(Files.newBufferedWriter(file))) {
            json.useDefaultPrettyPrinter();
            json.writeStartObject();
            json.writeStringField("kind", "members");
            json.writeNumberField("size", parameters.size());
            json.writeNumberField("seed", parameters.seed());
            json.writeNumberField("regions", topology.regions());
            json.writeNumberField("zones", topology.zones());
            json.writeStringField("command", command);
            json.writeStringField("commit", commit);
            json.writeNumberField("seconds_virtual", figures.get("seconds_virtual"));
            json.writeNumberField("seconds_real", seconds);
            json.writeStringField(
                    "datagrams_print", Long.toHexString(figures.get("datagrams_print")));
            json.writeObjectFieldStart("figures");
            for (Map.Entry<String, Long> figure : figures.entrySet()) {
                if (!TOP_LEVEL_FIGURES.contains(figure.getKey())) {
                    json.writeNumberField(figure.getKey(), figure.getValue());
                }
            }
            json.writeEndObject();
            json.writeEndObject();
            json.writeRaw('\n');
        }
    }

    /** The commit of the sources, if the program runs in their directory. */
    private static String commit() {
        try {
            Process git =
                    new ProcessBuilder("git", "describe", "--always", "--dirty", "--exclude", "*")
                            .redirectError(ProcessBuilder.Redirect.DISCARD)
                            .start();
            String text =
                    new String(git.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
            return git.waitFor() == 0 && !text.isEmpty() ? text : "unknown";
        } catch (IOException e) {
            return "unknown";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "unknown";
        }
    }

    @Override
    public LongSupplier cpuClock() {
        return threadBean::getCurrentThreadCpuTime;
    }

    @Override
    public long readingNanos() {
        if (readingNanos < 0) {
            for (int round = 0; round < 2; round++) {
                long startedAt = threadBean.getCurrentThreadCpuTime();
                for (int i = 0; i < CLOCK_READINGS; i++) {
                    threadBean.getCurrentThreadCpuTime();
                }
                readingNanos = (threadBean.getCurrentThreadCpuTime() - startedAt) / CLOCK_READINGS;
            }
        }
        return readingNanos;
    }

    @Override
    public long heapBytes() {
        for (int i = 0; i < GARBAGE_COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}

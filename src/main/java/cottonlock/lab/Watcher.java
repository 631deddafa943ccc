package cottonlock.lab;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * A process that does nothing but measure its own lateness: so a machine that was late is told from
 * a program that was.
 */
public final class Watcher {
    private static final long SLEEP_NANOS = 5_000_000L;

    /** Microseconds: what is later is as bad as this. */
    private static final long MAX_LATE_MICROS = 600_000_000L;

    private final Process process;
    private final Histogram lateMicros = new Histogram(MAX_LATE_MICROS, 3);

    /** Starts one; its command is the lab's own. */
    public Watcher(java.nio.file.Path code) throws IOException {
        String command =
                java.nio.file.Path.of(System.getProperty("java.home"), "bin", "java").toString();
        process =
                new ProcessBuilder(
                                command,
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-Xmx16m",
                                "-Xss192k",
                                "-cp",
                                code.toString(),
                                "cottonlock.lab.Watcher")
                        .redirectError(ProcessBuilder.Redirect.to(new File("/dev/null")))
                        .start();
        Thread reader =
                new Thread(
                        () -> {
                            try (BufferedReader lines = process.inputReader()) {
                                for (String line = lines.readLine();
                                        line != null;
                                        line = lines.readLine()) {
                                    record(
                                            Math.max(
                                                    0,
                                                    Math.min(
                                                            MAX_LATE_MICROS,
                                                            Long.parseLong(line.trim()))));
                                }
                            } catch (IOException | NumberFormatException e) {
                                // It has been ended.
                            }
                        },
                        "watcher");
        reader.setDaemon(true);
        reader.start();
    }

    private synchronized void record(long micros) {
        lateMicros.recordValue(micros);
    }

    /** What counts begins now. */
    public synchronized void reset() {
        lateMicros.reset();
    }

    /** Milliseconds by which it woke too late at the worst. */
    public synchronized double worstMs() {
        return lateMicros.getMaxValue() / 1_000.0;
    }

    /**
     * Milliseconds by which it woke too late at the worst in that part of all tenths of a second.
     */
    public synchronized double percentileMs(double percentile) {
        return lateMicros.getValueAtPercentile(percentile) / 1_000.0;
    }

    public void end() {
        process.destroyForcibly();
    }

    /**
     * The process: naps, and writes each tenth of a second by how many microseconds it woke too
     * late.
     */
    public static void main(String[] args) throws IOException {
        long late = 0;
        int sleeps = 0;
        long before = System.nanoTime();
        while (!System.out.checkError()) {
            LockSupport.parkNanos(SLEEP_NANOS);
            long now = System.nanoTime();
            late = Math.max(late, (now - before - SLEEP_NANOS) / 1_000);
            before = now;
            if (++sleeps % 20 == 0) {
                System.out.println(late);
                late = 0;
                before = System.nanoTime();
            }
        }
    }
}

package cottonlock.lab;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * Runs a process that only measures how late it wakes up, to distinguish a delay of the machine
 * from a delay of the program under test.
 */
public final class Watcher {
    private static final long SLEEP_NANOS = 5_000_000L;

    /** Upper limit of recorded delays in microseconds; longer ones are recorded as this. */
    private static final long MAX_LATE_MICROS = 600_000_000L;

    private final Process process;
    private final Histogram lateMicros = new Histogram(MAX_LATE_MICROS, 3);

    /** Starts the process on the lab's own JVM; code is the jar or directory of the lab. */
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
                                // The process has been killed.
                            }
                        },
                        "watcher");
        reader.setDaemon(true);
        reader.start();
    }

    private synchronized void record(long micros) {
        lateMicros.recordValue(micros);
    }

    /** Discards what was recorded so far; the measurement starts now. */
    public synchronized void reset() {
        lateMicros.reset();
    }

    /** Returns the longest delay of a wake-up, in milliseconds. */
    public synchronized double worstMs() {
        return lateMicros.getMaxValue() / 1_000.0;
    }

    /**
     * Returns a percentile, in milliseconds, of the longest delays in each interval of a tenth of a
     * second.
     */
    public synchronized double percentileMs(double percentile) {
        return lateMicros.getValueAtPercentile(percentile) / 1_000.0;
    }

    public void end() {
        process.destroyForcibly();
    }

    /**
     * Entry point of the process: sleeps repeatedly, and prints after each tenth of a second the
     * longest delay of a wake-up in microseconds.
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

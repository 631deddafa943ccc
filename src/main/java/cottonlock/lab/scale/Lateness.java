package cottonlock.lab.scale;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * Measures the machine's scheduling lateness during a measurement: a thread of its own sleeps
 * repeatedly and records by how much it wakes too late.
 */
final class Lateness implements AutoCloseable {
    private static final long SLEEP_NANOS = 5_000_000L;
    private static final double REPORTED_PERCENTILE = 99.9;

    private final Histogram lateMicros = new Histogram(3_600_000_000L, 2);
    private final Thread thread = new Thread(this::measure, "lateness");
    private volatile boolean stopped;

    Lateness() {
        thread.setDaemon(true);
        thread.start();
    }

    private void measure() {
        while (!stopped) {
            long before = System.nanoTime();
            LockSupport.parkNanos(SLEEP_NANOS);
            lateMicros.recordValue(Math.max(0, System.nanoTime() - before - SLEEP_NANOS) / 1_000);
        }
    }

    @Override
    public void close() {
        stop();
    }

    /** Stops measuring and waits for the thread; the figures are final then. */
    void stop() {
        stopped = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The 99.9th percentile of the lateness. */
    double p999Millis() {
        return lateMicros.getValueAtPercentile(REPORTED_PERCENTILE) / 1_000.0;
    }

    private double maxMillis() {
        return lateMicros.getMaxValue() / 1_000.0;
    }

    /** Writes the object {@code machine}: cores, memory, system load and lateness. */
    void writeMachine(JsonGenerator json) throws IOException {
        json.writeObjectFieldStart("machine");
        json.writeNumberField("cores", Runtime.getRuntime().availableProcessors());
        json.writeNumberField("memory_mb", machineMemoryMb());
        json.writeNumberField(
                "load_1m",
                java.lang.management.ManagementFactory.getOperatingSystemMXBean()
                        .getSystemLoadAverage());
        json.writeNumberField("late_ms_p999", p999Millis());
        json.writeNumberField("late_ms_worst", maxMillis());
        json.writeEndObject();
    }

    private static long machineMemoryMb() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/meminfo"))) {
            if (line.startsWith("MemTotal:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1_024;
            }
        }
        return 0;
    }
}

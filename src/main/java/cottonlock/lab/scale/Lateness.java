package cottonlock.lab.scale;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * A thread that does nothing but measure by how much it wakes too late while others are measured.
 */
final class Lateness implements AutoCloseable {
    private static final long NAP = 5_000_000L;
    private static final double MOST = 99.9;

    private final Histogram late = new Histogram(3_600_000_000L, 2);
    private final Thread thread = new Thread(this::watch, "lateness");
    private volatile boolean over;

    Lateness() {
        thread.setDaemon(true);
        thread.start();
    }

    private void watch() {
        while (!over) {
            long before = System.nanoTime();
            LockSupport.parkNanos(NAP);
            late.recordValue(Math.max(0, System.nanoTime() - before - NAP) / 1_000);
        }
    }

    /** Ends the watch; the figures are whole then. */
    @Override
    public void close() {
        stop();
    }

    /** Ends the measurement; its figures can be read from here on. */
    void stop() {
        over = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Milliseconds, of 99.9% of its naps. */
    double usual() {
        return late.getValueAtPercentile(MOST) / 1_000.0;
    }

    private double worst() {
        return late.getMaxValue() / 1_000.0;
    }

    /** Writes what is known of the machine, this lateness among it. */
    void machine(JsonGenerator json) throws IOException {
        json.writeObjectFieldStart("machine");
        json.writeNumberField("cores", Runtime.getRuntime().availableProcessors());
        json.writeNumberField("memory_mb", memory());
        json.writeNumberField(
                "load_1m",
                java.lang.management.ManagementFactory.getOperatingSystemMXBean()
                        .getSystemLoadAverage());
        json.writeNumberField("late_ms_p999", usual());
        json.writeNumberField("late_ms_worst", worst());
        json.writeEndObject();
    }

    private static long memory() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/meminfo"))) {
            if (line.startsWith("MemTotal:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1_024;
            }
        }
        return 0;
    }
}

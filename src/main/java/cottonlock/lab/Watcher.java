package cottonlock.lab;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.util.concurrent.locks.LockSupport;

/**
 * A process that does nothing but measure its own lateness: so a machine that was late is told from a program
 * that was.
 */
public final class Watcher {
    private static final long NAP = 5_000_000L;

    private final Process process;
    private volatile long worst;

    /** Starts one; its command is the lab's own. */
    Watcher(java.nio.file.Path code) throws IOException {
        String command = java.nio.file.Path.of(System.getProperty("java.home"), "bin", "java").toString();
        process = new ProcessBuilder(command, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx16m",
            "-Xss192k", "-cp", code.toString(), "cottonlock.lab.Watcher")
            .redirectError(ProcessBuilder.Redirect.to(new File("/dev/null"))).start();
        Thread reader = new Thread(() -> {
            try (BufferedReader lines = process.inputReader()) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    worst = Math.max(worst, Long.parseLong(line.trim()));
                }
            } catch (IOException | NumberFormatException e) {
                // It has been ended.
            }
        }, "watcher");
        reader.setDaemon(true);
        reader.start();
    }

    /** What counts begins now. */
    void reset() {
        worst = 0;
    }

    /** Milliseconds by which it woke too late at the worst. */
    double worstMs() {
        return worst / 1_000.0;
    }

    void end() {
        process.destroyForcibly();
    }

    /** The process: naps, and writes each tenth of a second by how many microseconds it woke too late. */
    public static void main(String[] args) throws IOException {
        long late = 0;
        int naps = 0;
        long before = System.nanoTime();
        while (!System.out.checkError()) {
            LockSupport.parkNanos(NAP);
            long now = System.nanoTime();
            late = Math.max(late, (now - before - NAP) / 1_000);
            before = now;
            if (++naps % 20 == 0) {
                System.out.println(late);
                late = 0;
                before = System.nanoTime();
            }
        }
    }
}

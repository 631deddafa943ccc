import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The platform's measure of a proxy's memory: what the system can't take back from its processes,
 * which are anonymous and shared pages, and the unnamed files of long bodies.
 */
final class Platform {
    private final Rig rig;
    private final List<Process> processes;
    private final long limitBytes;
    private long worst;

    Platform(Rig rig, List<Process> processes, int limitMb) {
        this.rig = rig;
        this.processes = processes;
        this.limitBytes = (long) limitMb << 20;
    }

    /** The most that was measured, in megabytes. */
    long worstMb() {
        return worst >> 20;
    }

    /** Measures all processes that are alive, together. */
    boolean isOverLimit() {
        long sum = 0;
        StringBuilder parts = new StringBuilder();
        for (Process process : processes) {
            long bytes = process.isAlive() ? used(process.pid()) : 0;
            sum += bytes;
            parts.append(' ').append(bytes >> 20);
        }
        if (sum >> 20 > worst >> 20) {
            rig.note("in use:%s MB, together %d MB", parts, sum >> 20);
        }
        worst = Math.max(worst, sum);
        return sum > limitBytes;
    }

    private static long used(long pid) {
        long kilobytes = 0;
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
                if (line.startsWith("RssAnon:") || line.startsWith("RssShmem:")) {
                    kilobytes += Long.parseLong(line.replaceAll("\\D", ""));
                }
            }
        } catch (IOException | RuntimeException e) {
            return 0;
        }
        return (kilobytes << 10) + files(pid);
    }

    private static long files(long pid) {
        long bytes = 0;
        try (DirectoryStream<Path> open =
                Files.newDirectoryStream(Path.of("/proc/" + pid + "/fd"))) {
            for (Path descriptor : open) {
                try {
                    if (Files.readSymbolicLink(descriptor).toString().contains(".body")) {
                        bytes += Files.size(descriptor);
                    }
                } catch (IOException e) {
                    // Closed meanwhile.
                }
            }
        } catch (IOException e) {
            // The process has ended.
        }
        return bytes;
    }
}

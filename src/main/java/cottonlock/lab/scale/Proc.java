package cottonlock.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Resource usage of a process, as Linux reports it in /proc. */
final class Proc {
    /** Clock ticks (USER_HZ) in a second: the unit of processor times in /proc on Linux. */
    static final double TICKS_PER_SECOND = 100;

    private Proc() {}

    /** User and system processor time of a process in clock ticks; -1 if it has ended. */
    static long cpuTicks(long pid) {
        try {
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
            // Skips the command name in parentheses, which may contain spaces: fields[0] is the
            // state.
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", 0);
            return Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
        } catch (IOException e) {
            return -1;
        }
    }

    /** Resident memory of a process; -1 if it has ended. */
    static double residentMb(long pid) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1_024.0;
                }
            }
        } catch (IOException e) {
            // The process has ended.
        }
        return -1;
    }
}

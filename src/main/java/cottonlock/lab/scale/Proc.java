package cottonlock.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the kernel counts of a process. */
final class Proc {
    /** Of a second: the unit of /proc's times on every Linux. */
    static final double TICKS_PER_SECOND = 100;

    private Proc() {}

    /** Ticks of processor time that it has used; -1 where it is gone. */
    static long cpuTicks(long pid) {
        try {
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
            // Behind the name in brackets, which may hold spaces: the state is the third field.
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", 0);
            return Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
        } catch (IOException e) {
            return -1;
        }
    }

    /** Megabytes resident; -1 where it is gone. */
    static double residentMb(long pid) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1_024.0;
                }
            }
        } catch (IOException e) {
            // It is gone.
        }
        return -1;
    }
}

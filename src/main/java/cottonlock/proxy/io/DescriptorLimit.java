package cottonlock.proxy.io;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The system's limit on the number of open file descriptors of this process. */
public final class DescriptorLimit {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final String OPEN_FILES = "Max open files";

    private DescriptorLimit() {}

    /** The current soft limit; {@link Integer#MAX_VALUE} if there is none or it is unknown. */
    public static int current() {
        try {
            return parse(Files.readAllLines(LIMITS));
        } catch (IOException e) {
            // Not Linux: only the configured limits apply.
            return Integer.MAX_VALUE;
        }
    }

    /** Parses the lines of {@code /proc/self/limits}: name, soft limit, hard limit, unit. */
    static int parse(List<String> lines) {
        for (String line : lines) {
            if (line.startsWith(OPEN_FILES)) {
                String soft = line.substring(OPEN_FILES.length()).strip().split(" +", 2)[0];
                return soft.matches("[0-9]{1,9}") ? Integer.parseInt(soft) : Integer.MAX_VALUE;
            }
        }
        return Integer.MAX_VALUE;
    }
}

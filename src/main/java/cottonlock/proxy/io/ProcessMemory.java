package cottonlock.proxy.io;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;

/** The memory of processes that the system can't take back: anonymous and shared pages. */
public final class ProcessMemory {
    private static final Path PROCESSES = Path.of("/proc");
    private static final String OWN_PROCESS = "self";
    private static final String ANONYMOUS = "\nRssAnon:";
    private static final String SHARED = "\nRssShmem:";
    private static final int BYTES_PER_KILOBYTE = 1 << 10;
    private static final int DECIMAL = 10;

    private ProcessMemory() {}

    /** The bytes that this process has; empty if the system does not tell. */
    public static OptionalLong ofOwnProcess() {
        return read(OWN_PROCESS);
    }

    /** The bytes that a process has; empty if it has ended or the system does not tell. */
    public static OptionalLong of(long processId) {
        return read(Long.toString(processId));
    }

    private static OptionalLong read(String process) {
        try {
            Path status = PROCESSES.resolve(process).resolve("status");
            return parse(new String(Files.readAllBytes(status), StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            return OptionalLong.empty();
        }
    }

    /** Parses {@code /proc/PID/status}, which gives sizes in kilobytes. */
    static OptionalLong parse(String status) {
        long anonymous = kilobytesAt(status, ANONYMOUS);
        long shared = kilobytesAt(status, SHARED);
        return anonymous < 0 || shared < 0
                ? OptionalLong.empty()
                : OptionalLong.of((anonymous + shared) * BYTES_PER_KILOBYTE);
    }

    /** The number behind a field's name; -1 if there is no such field. */
    private static long kilobytesAt(String status, String name) {
        int start = status.indexOf(name);
        if (start < 0) {
            return -1;
        }
        long kilobytes = 0;
        boolean hasDigits = false;
        for (int i = start + name.length(); i < status.length(); i++) {
            char character = status.charAt(i);
            if (character >= '0' && character <= '9') {
                kilobytes = kilobytes * DECIMAL + (character - '0');
                hasDigits = true;
            } else if (hasDigits || character == '\n') {
                break;
            }
        }
        return hasDigits ? kilobytes : -1;
    }
}

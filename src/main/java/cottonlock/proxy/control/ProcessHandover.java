package cottonlock.proxy.control;

import java.util.List;
import java.util.Optional;

/**
 * Hand-over between two processes of one proxy, for a restart without downtime: the process that
 * starts to serve enters itself into a shared file, from which the previous process learns that it
 * has been replaced. Safe for use by any thread.
 */
public final class ProcessHandover {
    private final SharedFile file;
    private final String ownEntry = entry(ProcessHandle.current());

    /** A hand-over through the given file. */
    public ProcessHandover(SharedFile file) {
        this.file = file;
    }

    /** Enters this process into the file as the one that serves. */
    public void announceServing() {
        file.change(lines -> List.of(ownEntry));
    }

    /** Whether another process, which is alive, has entered itself after this one. */
    public boolean isReplaced() {
        List<String> lines = file.read();
        if (lines.size() != 1 || lines.get(0).equals(ownEntry)) {
            return false;
        }
        String entry = lines.get(0);
        return processOf(entry)
                .filter(process -> process.isAlive() && entry(process).equals(entry))
                .isPresent();
    }

    private static Optional<ProcessHandle> processOf(String entry) {
        int end = entry.indexOf(' ');
        String pid = end < 0 ? entry : entry.substring(0, end);
        return Decimals.isUnsigned(pid) ? ProcessHandle.of(Long.parseLong(pid)) : Optional.empty();
    }

    /** Process ID and start time: the ID of a dead process may be reused. */
    private static String entry(ProcessHandle process) {
        String startedAt = process.info().startInstant().map(Object::toString).orElse("-");
        return process.pid() + " " + startedAt;
    }
}

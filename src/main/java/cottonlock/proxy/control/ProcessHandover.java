package cottonlock.proxy.control;

import java.util.List;
import java.util.Optional;

/**
 * Hand-over between two processes of one proxy, as at a restart without a gap: the one that serves
 * enters itself into a shared file, and the one before it finds that it is replaced. Safe for use
 * by any thread.
 */
public final class ProcessHandover {
    private final SharedFile file;
    private final String ownEntry = entry(ProcessHandle.current());

    /** A hand-over by that file. */
    public ProcessHandover(SharedFile file) {
        this.file = file;
    }

    /** Enters this process as the one that serves. */
    public void announceServing() {
        file.change(lines -> List.of(ownEntry));
    }

    /** Whether another process that is alive has entered itself after this one. */
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

    /** Process ID and start time: the ID of a dead process may be given to another one. */
    private static String entry(ProcessHandle process) {
        String startedAt = process.info().startInstant().map(Object::toString).orElse("-");
        return process.pid() + " " + startedAt;
    }
}

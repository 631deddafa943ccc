package cottonlock.proxy.control;

import java.util.List;

/**
 * Hand-over between two processes of one proxy, for a restart without downtime: the process that
 * starts to serve enters itself into a shared file, from which the previous process learns that it
 * has been replaced. Safe for use by any thread.
 */
public final class ProcessHandover {
    private final SharedFile file;
    private final String ownEntry = ProcessIdentity.own();

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
        return lines.size() == 1
                && !lines.get(0).equals(ownEntry)
                && ProcessIdentity.isAlive(lines.get(0));
    }
}

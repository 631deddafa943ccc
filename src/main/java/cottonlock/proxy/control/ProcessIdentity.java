package cottonlock.proxy.control;

import java.util.Optional;

/**
 * Names processes in shared files: by process ID and start time, since the ID of a dead process may
 * be reused.
 */
final class ProcessIdentity {
    private ProcessIdentity() {}

    /** The name of this process: two words. */
    static String own() {
        return of(ProcessHandle.current());
    }

    static String of(ProcessHandle process) {
        String startedAt = process.info().startInstant().map(Object::toString).orElse("-");
        return process.pid() + " " + startedAt;
    }

    /** Whether the process with that name is alive. */
    static boolean isAlive(String identity) {
        return processOf(identity)
                .filter(process -> process.isAlive() && of(process).equals(identity))
                .isPresent();
    }

    /** The process ID of the process with that name; -1 if it is no such name. */
    static long idOf(String identity) {
        int end = identity.indexOf(' ');
        String id = end < 0 ? identity : identity.substring(0, end);
        return Decimals.isUnsigned(id) ? Long.parseLong(id) : -1;
    }

    private static Optional<ProcessHandle> processOf(String identity) {
        long id = idOf(identity);
        return id < 0 ? Optional.empty() : ProcessHandle.of(id);
    }
}

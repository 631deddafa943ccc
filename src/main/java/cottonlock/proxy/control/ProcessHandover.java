package cottonlock.proxy.control;

import cottonlock.proxy.HttpReader;
import java.util.List;

/** Tells whether another process has taken over from this one: whoever said last that it serves. */
public final class ProcessHandover {
    private final SharedFile shared;
    private final String me = named(ProcessHandle.current());

    public ProcessHandover(SharedFile shared) {
        this.shared = shared;
    }

    /** This process serves from now on. */
    public void serving() {
        shared.change(lines -> List.of(me));
    }

    /**
     * Whether another process serves that has begun after this one; a dead one's word counts for
     * nothing.
     */
    public boolean replaced() {
        List<String> lines = shared.read();
        if (lines.size() != 1 || lines.get(0).equals(me)) {
            return false;
        }
        String pid = lines.get(0).split(" ")[0];
        // With its start: the number of one that has died may be another program's by now.
        return HttpReader.digits(pid)
                && ProcessHandle.of(Long.parseLong(pid))
                        .filter(p -> p.isAlive() && named(p).equals(lines.get(0)))
                        .isPresent();
    }

    private static String named(ProcessHandle process) {
        return process.pid()
                + " "
                + process.info().startInstant().map(Object::toString).orElse("-");
    }
}

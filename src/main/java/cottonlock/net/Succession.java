package cottonlock.net;

import java.util.List;

/** Tells whether another process has taken over from this one: whoever said last that it serves. */
final class Succession {
    private final Shared shared;
    private final String me = Long.toString(ProcessHandle.current().pid());

    Succession(Shared shared) {
        this.shared = shared;
    }

    /** This process serves from now on. */
    void serving() {
        shared.change(lines -> List.of(me));
    }

    /** Whether another process serves that has begun after this one; a dead one's word counts for nothing. */
    boolean replaced() {
        List<String> lines = shared.read();
        return lines.size() == 1 && HttpReader.digits(lines.get(0)) && !lines.get(0).equals(me)
            && ProcessHandle.of(Long.parseLong(lines.get(0))).map(ProcessHandle::isAlive).orElse(false);
    }
}

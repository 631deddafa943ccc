package cottonlock.proxy.control;

import cottonlock.decision.api.Endpoint;
import cottonlock.proxy.HttpReader;
import cottonlock.proxy.concurrent.TickClock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The backends that operators have taken out, in front of discovery's news; kept for the proxy's
 * next process and shared with another that serves beside this one.
 */
public final class ManualEjections implements Runnable {
    /**
     * Milliseconds between looks at what another process has changed: far below any grace on
     * drains.
     */
    private static final long LOOK = 100;

    /**
     * Tenths of a millisecond for which a return is told to other processes: longer than any is
     * cold.
     */
    private static final long TOLD = 3_000_000;

    /** So many at most: beyond any fleet here, and the file stays small. */
    private static final int MOST = 2_000;

    /** Who is out, and who came back when, by the module's clock. */
    private record State(Set<String> out, Map<String, Long> back) {}

    private final SharedFile shared;
    private final TickClock clock;
    private final Runnable changed;
    private volatile State state;
    private volatile Object seen;

    /** Changed is called after each change, from any thread. */
    public ManualEjections(SharedFile shared, TickClock clock, Runnable changed) {
        this.shared = shared;
        this.clock = clock;
        this.changed = changed;
        this.seen = shared.stamp();
        this.state = parsed(shared.read());
    }

    /** Whether nothing new may go to a backend. */
    public boolean out(String id) {
        return state.out.contains(id);
    }

    /** What the module is told of a backend that discovery has told this of. */
    public Endpoint told(Endpoint m) {
        State now = state;
        if (now.out.contains(m.id())) {
            return m.state() != Endpoint.State.READY
                    ? m
                    : new Endpoint(
                            m.id(),
                            m.zone(),
                            m.machineKind(),
                            m.cell(),
                            Endpoint.State.DRAINING,
                            m.capacityWeight(),
                            m.startedAtTicks());
        }
        // Operators have restarted it meanwhile, whatever discovery still says of its start.
        long back = Math.max(m.startedAtTicks(), now.back.getOrDefault(m.id(), 0L));
        return new Endpoint(
                m.id(), m.zone(), m.machineKind(), m.cell(), m.state(), m.capacityWeight(), back);
    }

    /** Takes a backend out or back; in force when this returns. False when too many are out. */
    public synchronized boolean change(String id, boolean out) {
        boolean room = state.out.size() < MOST || !out;
        if (room && state.out.contains(id) != out) {
            state =
                    parsed(
                            shared.change(
                                    lines -> {
                                        List<String> others =
                                                new ArrayList<>(
                                                        shared.stamp() == null
                                                                ? lines(state)
                                                                : lines);
                                        others.removeIf(
                                                line ->
                                                        line.equals("out " + id)
                                                                || line.startsWith(
                                                                        "back " + id + " "));
                                        others.add(
                                                out
                                                        ? "out " + id
                                                        : "back " + id + " " + clock.now());
                                        return others;
                                    }));
            changed.run();
        }
        return room;
    }

    /** Waits until another process of this proxy, if there is one, has seen the last change too. */
    public void seenByAll() {
        try {
            // A yes given earlier was found too early: the other process still sent a request after
            // it.
            Thread.sleep(shared.stamp() == null ? 0 : LOOK * 3 / 2);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static List<String> lines(State state) {
        List<String> lines = new ArrayList<>();
        state.out.forEach(id -> lines.add("out " + id));
        state.back.forEach((id, at) -> lines.add("back " + id + " " + at));
        return lines;
    }

    private State parsed(List<String> lines) {
        Set<String> out = new HashSet<>();
        Map<String, Long> back = new HashMap<>();
        long now = clock.now();
        for (String line : lines) {
            String[] words = line.split(" ");
            if (words.length == 2 && words[0].equals("out")) {
                out.add(words[1]);
            } else if (words.length == 3
                    && words[0].equals("back")
                    && HttpReader.digits(words[2])
                    && now - Long.parseLong(words[2]) < TOLD) {
                back.put(words[1], Math.min(now, Long.parseLong(words[2])));
            }
        }
        return new State(Set.copyOf(out), Map.copyOf(back));
    }

    /** Looks for what another process of this proxy has changed. */
    public void look() {
        synchronized (this) {
            Object stamp = shared.stamp();
            if (stamp == null || stamp.equals(seen)) {
                return;
            }
            seen = stamp;
            state = parsed(shared.read());
        }
        changed.run();
    }

    @Override
    public void run() {
        try {
            while (true) {
                Thread.sleep(LOOK);
                look();
            }
        } catch (InterruptedException e) {
            // The proxy closes.
        }
    }
}

package cottonlock.membership;

import cottonlock.core.Deterministic;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Changes that ride on what is sent anyway: the least told first, each a bounded number of times.
 */
@Deterministic
final class UpdateBroadcastQueue {
    /** A word that is being told, until another on the same name is. */
    private static final class Telling {
        final MemberUpdate update;
        int times;
        boolean outdated;

        Telling(MemberUpdate update) {
            this.update = update;
        }
    }

    /** The newest word on each name: one that has been outweighed is not told any more. */
    private final Map<String, Telling> newest = new HashMap<>();

    /** By how often they were told. */
    private final List<Deque<Telling>> told = new ArrayList<>();

    private final int room;

    /** Of all that are waiting, those that have been outweighed among them. */
    private int count;

    /** Room: names at most, beyond which those that were told most are not told any more. */
    UpdateBroadcastQueue(int room) {
        this.room = room;
    }

    /** A change; it takes the place of what was told of the same name. */
    void add(MemberUpdate w) {
        Telling telling = new Telling(w);
        Telling before = newest.put(w.name(), telling);
        if (before != null) {
            before.outdated = true;
        }
        at(0).addFirst(telling);
        count++;
        for (int times = told.size() - 1; times >= 0 && count > 2 * room; ) {
            Telling old = told.get(times).pollLast();
            if (old == null) {
                times--;
            } else {
                forget(old);
            }
        }
    }

    private void forget(Telling old) {
        count--;
        if (!old.outdated) {
            newest.remove(old.update.name());
        }
    }

    private Deque<Telling> at(int times) {
        while (told.size() <= times) {
            told.add(new ArrayDeque<>());
        }
        return told.get(times);
    }

    /**
     * Fills a datagram; {@code most} times is each told. Without {@code about}, which is in it
     * already.
     */
    void fill(DatagramCodec.Writer out, int most, String about) {
        boolean room = true;
        List<Telling> again = new ArrayList<>();
        for (int times = 0; times < told.size() && room; times++) {
            for (Iterator<Telling> i = told.get(times).iterator(); i.hasNext() && room; ) {
                Telling t = i.next();
                if (t.outdated || times >= most) {
                    i.remove();
                    forget(t);
                } else if (!t.update.name().equals(about)) {
                    room = out.addUpdate(t.update);
                    if (room) {
                        i.remove();
                        t.times = times + 1;
                        again.add(t);
                    }
                }
            }
        }
        again.forEach(t -> at(t.times).addLast(t));
    }

    /** How many changes are being told. */
    int size() {
        return newest.size();
    }
}

package cottonlock.membership;

import cottonlock.decision.Decides;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Changes that ride on what is sent anyway: the least told first, each a bounded number of times. */
@Decides
final class Repeats {
    /** The newest word on each name: one that has been outweighed is not told any more. */
    private final Map<String, Word> newest = new TreeMap<>();
    /** By how often they were told. */
    private final List<Deque<Word>> told = new ArrayList<>();
    private final int room;

    /** Room: names at most, beyond which those that were told most are not told any more. */
    Repeats(int room) {
        this.room = room;
    }

    /** A change; it takes the place of what was told of the same name. */
    void add(Word w) {
        newest.put(w.name(), w);
        at(0).addFirst(w);
        int waiting = told.stream().mapToInt(Deque::size).sum();
        for (int times = told.size() - 1; times >= 0 && waiting > 2 * room;) {
            Word old = told.get(times).pollLast();
            if (old == null) {
                times--;
            } else {
                newest.remove(old.name(), old);
                waiting--;
            }
        }
    }

    private Deque<Word> at(int times) {
        while (told.size() <= times) {
            told.add(new ArrayDeque<>());
        }
        return told.get(times);
    }

    /** Fills a datagram; {@code most} times is each told. Without {@code about}, which is in it already. */
    void fill(Codec.Writer out, int most, String about) {
        boolean room = true;
        Map<Word, Integer> again = new LinkedHashMap<>();
        for (int times = 0; times < told.size() && room; times++) {
            for (Iterator<Word> i = told.get(times).iterator(); i.hasNext() && room;) {
                Word w = i.next();
                if (newest.get(w.name()) != w || times >= most) {
                    i.remove();
                    newest.remove(w.name(), w);
                } else if (!w.name().equals(about)) {
                    room = out.word(w);
                    if (room) {
                        i.remove();
                        again.put(w, times + 1);
                    }
                }
            }
        }
        again.forEach((w, times) -> at(times).addLast(w));
    }

    /** How many changes are being told. */
    int size() {
        return newest.size();
    }
}

package cottonlock.membership;

import cottonlock.decision.Decides;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/** The members that one process knows, itself among them, in the order of their names, and their digest. */
@Decides
final class Table {
    private final int most;
    private final TreeMap<String, Known> others = new TreeMap<>();
    private Word me;
    private long digest;
    private int alive;

    /** Most: members at most, those that are dead but not forgotten among them. */
    Table(Word me, int most) {
        this.me = me;
        this.most = most;
        this.digest = me.mark();
    }

    Word me() {
        return me;
    }

    /** This process says something else of itself. */
    void be(Word w) {
        digest += w.mark() - me.mark();
        me = w;
    }

    /** Of all that may be alive, whatever way they have become known. */
    long digest() {
        return digest;
    }

    /** How many others may be alive. */
    int alive() {
        return alive;
    }

    Known get(String name) {
        return others.get(name);
    }

    Collection<Known> all() {
        return others.values();
    }

    /** Whoever has a name of this hash; null: nobody. */
    Known hashed(int hash) {
        for (Known k : others.values()) {
            if (k.hash == hash) {
                return k;
            }
        }
        return null;
    }

    /** One that was not known; its word counts as soon as it is replaced. */
    Known add(Word w, long now) {
        Known k = new Known(w, now);
        others.put(w.name(), k);
        return k;
    }

    /** Another word on a member; before: whether the old one counted. */
    void replace(Known k, Word w, boolean counted) {
        boolean lived = counted && k.word.state().lives();
        boolean lives = w.state().lives();
        long mark = w.mark();
        digest += (lives ? mark : 0) - (lived ? k.mark : 0);
        alive += (lives ? 1 : 0) - (lived ? 1 : 0);
        k.word = w;
        k.mark = mark;
    }

    boolean full() {
        return others.size() + 1 >= most;
    }

    /** The one that has been dead for longest; null where all may live. */
    Known longestDead() {
        Known oldest = null;
        for (Known k : others.values()) {
            if (!k.word.state().lives() && (oldest == null || k.since < oldest.since)) {
                oldest = k;
            }
        }
        return oldest;
    }

    void drop(Known k) {
        if (k.word.state().lives()) {
            digest -= k.mark;
            alive--;
        }
        others.remove(k.word.name());
        k.gone = true;
    }

    /** A short digest of each of so many parts of the names. */
    int[] marks(int parts) {
        int[] marks = new int[parts];
        for (Known k : others.values()) {
            if (k.word.state().lives()) {
                marks[k.part(parts)] += (int) (k.mark >>> 32);
            }
        }
        marks[myPart(parts)] += (int) (me.mark() >>> 32);
        return marks;
    }

    private int myPart(int parts) {
        return Math.floorMod(Word.hash(me.name()), parts);
    }

    /** The words on all that may live in one part of the names, this process among them, by name. */
    List<Word> words(int parts, int part) {
        List<Word> words = new ArrayList<>();
        boolean mine = myPart(parts) == part;
        for (Known k : others.values()) {
            if (mine && k.word.name().compareTo(me.name()) > 0) {
                words.add(me);
                mine = false;
            }
            if (k.word.state().lives() && k.part(parts) == part) {
                words.add(k.word);
            }
        }
        if (mine) {
            words.add(me);
        }
        return words;
    }

    /** Those of a part behind a name, up to another one; last null: to the end. */
    List<Known> between(int parts, int part, String after, String last) {
        List<Known> some = new ArrayList<>();
        for (Known k : others.tailMap(after, false).values()) {
            if (last != null && k.word.name().compareTo(last) > 0) {
                break;
            }
            if (k.part(parts) == part) {
                some.add(k);
            }
        }
        return some;
    }
}

package cottonlock.membership;

import cottonlock.decision.Deterministic;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The members that one process knows, itself among them, in the order of their names, and their
 * digest.
 */
@Deterministic
final class Table {
    private final int most;
    private final List<Known> others = new ArrayList<>();

    /** Whether they stand in the order of their names just now. */
    private boolean sorted = true;

    /** The same by the hashes of their names. */
    private final Map<Integer, Known> byHash = new HashMap<>();

    /** Whether two names have ever had one hash: then all are looked through. */
    private boolean alike;

    private final Addresses addresses;

    /**
     * By part of the names, each in the order of the names; and the sum of the marks of its living.
     */
    private final List<List<Known>> byPart = new ArrayList<>();

    private final int[] marks = new int[Codec.MOST_PARTS];
    private Word me;
    private long digest;
    private int alive;

    /** Members that may live and whose view differs. */
    private int differing;

    /** Most: members at most, those that are dead but not forgotten among them. */
    Table(Word me, int most, Addresses addresses) {
        this.me = me;
        this.most = most;
        this.addresses = addresses;
        for (int i = 0; i < Codec.MOST_PARTS; i++) {
            byPart.add(new ArrayList<>());
        }
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
        if (alike) {
            for (Known k : others) {
                if (k.word.name().equals(name)) {
                    return k;
                }
            }
            return null;
        }
        // A tree asks a dozen names for each word of each datagram, and none of them is near the
        // processor.
        Known k = byHash.get(Word.hash(name));
        return k != null && k.word.name().equals(name) ? k : null;
    }

    List<Known> all() {
        if (!sorted) {
            others.sort(Comparator.comparing(k -> k.word.name()));
            sorted = true;
        }
        return others;
    }

    /** Whether there is one like that, in whatever order. */
    boolean any(Predicate<Known> wanted) {
        for (Known k : others) {
            if (wanted.test(k)) {
                return true;
            }
        }
        return false;
    }

    /** Where somebody may be found whom nobody here holds for alive. */
    Addresses addresses() {
        return addresses;
    }

    /** Members that may live and whose view differs from this one. */
    int differing() {
        return differing;
    }

    /** Since when a member's view has differed; NEVER: it does not. */
    void differs(Known k, long since) {
        differing -= k.differs() ? 1 : 0;
        k.differsSince = since;
        differing += k.differs() ? 1 : 0;
    }

    /** Whoever has a name of this hash; null: nobody. */
    Known hashed(int hash) {
        return alike ? firstHashed(hash) : byHash.get(hash);
    }

    private Known firstHashed(int hash) {
        for (Known k : all()) {
            if (k.hash == hash) {
                return k;
            }
        }
        return null;
    }

    /** One that was not known; its word counts as soon as it is replaced. */
    Known add(Word w, long now) {
        Known k = new Known(w, now);
        others.add(k);
        sorted = false;
        alike |= byHash.put(k.hash, k) != null;
        List<Known> part = byPart.get(k.part(Codec.MOST_PARTS));
        part.add(place(part, w.name()), k);
        return k;
    }

    /** Where a name is among these, or would be. */
    private static int place(List<Known> part, String name) {
        int from = 0;
        int to = part.size();
        while (from < to) {
            int middle = (from + to) >>> 1;
            if (part.get(middle).word.name().compareTo(name) < 0) {
                from = middle + 1;
            } else {
                to = middle;
            }
        }
        return from;
    }

    /** Another word on a member; before: whether the old one counted. */
    void replace(Known k, Word w, boolean counted) {
        boolean lived = counted && k.word.state().lives();
        boolean lives = w.state().lives();
        long mark = w.mark();
        digest += (lives ? mark : 0) - (lived ? k.mark : 0);
        alive += (lives ? 1 : 0) - (lived ? 1 : 0);
        marks[k.part(Codec.MOST_PARTS)] +=
                (lives ? (int) (mark >>> 32) : 0) - (lived ? (int) (k.mark >>> 32) : 0);
        differing -= k.differs() ? 1 : 0;
        if (counted) {
            addresses.remove(k.word);
        }
        addresses.add(w);
        k.word = w;
        k.mark = mark;
        differing += k.differs() ? 1 : 0;
    }

    boolean full() {
        return others.size() + 1 >= most;
    }

    /** The one that has been dead for longest; null where all may live. */
    Known longestDead() {
        Known oldest = null;
        for (Known k : all()) {
            if (!k.word.state().lives() && (oldest == null || k.since < oldest.since)) {
                oldest = k;
            }
        }
        return oldest;
    }

    void drop(Known k) {
        differs(k, Known.NEVER);
        addresses.remove(k.word);
        List<Known> part = byPart.get(k.part(Codec.MOST_PARTS));
        if (k.word.state().lives()) {
            digest -= k.mark;
            alive--;
            marks[k.part(Codec.MOST_PARTS)] -= (int) (k.mark >>> 32);
        }
        part.remove(place(part, k.word.name()));
        byHash.remove(k.hash, k);
        others.remove(k);
        k.gone = true;
    }

    /** A short digest of each of so many parts of the names. */
    int[] marks(int parts) {
        int[] some = new int[parts];
        if (Codec.MOST_PARTS % parts == 0) {
            for (int i = 0; i < marks.length; i++) {
                some[i % parts] += marks[i];
            }
        } else {
            for (Known k : others) {
                some[k.part(parts)] += k.word.state().lives() ? (int) (k.mark >>> 32) : 0;
            }
        }
        some[myPart(parts)] += (int) (me.mark() >>> 32);
        return some;
    }

    private int myPart(int parts) {
        return Math.floorMod(Word.hash(me.name()), parts);
    }

    /**
     * The words on all that may live in one part of the names, this process among them, by name.
     */
    List<Word> words(int parts, int part) {
        List<Word> words = new ArrayList<>();
        boolean mine = myPart(parts) == part;
        for (Known k : parts == Codec.MOST_PARTS ? byPart.get(part) : all()) {
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
        List<Known> whole = parts == Codec.MOST_PARTS ? byPart.get(part) : all();
        int from = place(whole, after);
        boolean there = from < whole.size() && whole.get(from).word.name().equals(after);
        for (Known k : whole.subList(there ? from + 1 : from, whole.size())) {
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

package cottonlock.membership;

import cottonlock.core.Deterministic;
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
final class MemberTable {
    private final int most;
    private final List<MemberRecord> others = new ArrayList<>();

    /** Whether they stand in the order of their names just now. */
    private boolean sorted = true;

    /** The same by the hashes of their names. */
    private final Map<Integer, MemberRecord> byHash = new HashMap<>();

    /** Whether two names have ever had one hash: then all are looked through. */
    private boolean alike;

    private final ContactAddresses addresses;

    /**
     * By part of the names, each in the order of the names; and the sum of the marks of its living.
     */
    private final List<List<MemberRecord>> byPart = new ArrayList<>();

    private final int[] marks = new int[DatagramCodec.MAX_PARTITIONS];
    private MemberUpdate me;
    private long digest;
    private int alive;

    /** Members that may live and whose view differs. */
    private int differing;

    /** Most: members at most, those that are dead but not forgotten among them. */
    MemberTable(MemberUpdate me, int most, ContactAddresses addresses) {
        this.me = me;
        this.most = most;
        this.addresses = addresses;
        for (int i = 0; i < DatagramCodec.MAX_PARTITIONS; i++) {
            byPart.add(new ArrayList<>());
        }
        this.digest = me.digest();
    }

    MemberUpdate self() {
        return me;
    }

    /** This process says something else of itself. */
    void setSelf(MemberUpdate w) {
        digest += w.digest() - me.digest();
        me = w;
    }

    /** Of all that may be alive, whatever way they have become known. */
    long digest() {
        return digest;
    }

    /** How many others may be alive. */
    int liveCount() {
        return alive;
    }

    MemberRecord get(String name) {
        if (alike) {
            for (MemberRecord k : others) {
                if (k.update.name().equals(name)) {
                    return k;
                }
            }
            return null;
        }
        // A tree asks a dozen names for each word of each datagram, and none of them is near the
        // processor.
        MemberRecord k = byHash.get(MemberUpdate.nameHash(name));
        return k != null && k.update.name().equals(name) ? k : null;
    }

    List<MemberRecord> members() {
        if (!sorted) {
            others.sort(Comparator.comparing(k -> k.update.name()));
            sorted = true;
        }
        return others;
    }

    /** Whether there is one like that, in whatever order. */
    boolean anyMatch(Predicate<MemberRecord> wanted) {
        for (MemberRecord k : others) {
            if (wanted.test(k)) {
                return true;
            }
        }
        return false;
    }

    /** Where somebody may be found whom nobody here holds for alive. */
    ContactAddresses contactAddresses() {
        return addresses;
    }

    /** Members that may live and whose view differs from this one. */
    int divergingCount() {
        return differing;
    }

    /** Since when a member's view has differed; NEVER: it does not. */
    void setDivergedSince(MemberRecord k, long since) {
        differing -= k.diverges() ? 1 : 0;
        k.divergedSinceTicks = since;
        differing += k.diverges() ? 1 : 0;
    }

    /** Whoever has a name of this hash; null: nobody. */
    MemberRecord byNameHash(int hash) {
        return alike ? firstHashed(hash) : byHash.get(hash);
    }

    private MemberRecord firstHashed(int hash) {
        for (MemberRecord k : members()) {
            if (k.nameHash == hash) {
                return k;
            }
        }
        return null;
    }

    /** One that was not known; its word counts as soon as it is replaced. */
    MemberRecord add(MemberUpdate w, long now) {
        MemberRecord k = new MemberRecord(w, now);
        others.add(k);
        sorted = false;
        alike |= byHash.put(k.nameHash, k) != null;
        List<MemberRecord> part = byPart.get(k.partition(DatagramCodec.MAX_PARTITIONS));
        part.add(place(part, w.name()), k);
        return k;
    }

    /** Where a name is among these, or would be. */
    private static int place(List<MemberRecord> part, String name) {
        int from = 0;
        int to = part.size();
        while (from < to) {
            int middle = (from + to) >>> 1;
            if (part.get(middle).update.name().compareTo(name) < 0) {
                from = middle + 1;
            } else {
                to = middle;
            }
        }
        return from;
    }

    /** Another word on a member; before: whether the old one counted. */
    void replace(MemberRecord k, MemberUpdate w, boolean counted) {
        boolean lived = counted && k.update.state().isLive();
        boolean lives = w.state().isLive();
        long mark = w.digest();
        digest += (lives ? mark : 0) - (lived ? k.updateDigest : 0);
        alive += (lives ? 1 : 0) - (lived ? 1 : 0);
        marks[k.partition(DatagramCodec.MAX_PARTITIONS)] +=
                (lives ? (int) (mark >>> 32) : 0) - (lived ? (int) (k.updateDigest >>> 32) : 0);
        differing -= k.diverges() ? 1 : 0;
        if (counted) {
            addresses.remove(k.update);
        }
        addresses.add(w);
        k.update = w;
        k.updateDigest = mark;
        differing += k.diverges() ? 1 : 0;
    }

    boolean isFull() {
        return others.size() + 1 >= most;
    }

    /** The one that has been dead for longest; null where all may live. */
    MemberRecord longestDead() {
        MemberRecord oldest = null;
        for (MemberRecord k : members()) {
            if (!k.update.state().isLive()
                    && (oldest == null || k.stateSinceTicks < oldest.stateSinceTicks)) {
                oldest = k;
            }
        }
        return oldest;
    }

    void remove(MemberRecord k) {
        setDivergedSince(k, MemberRecord.NEVER);
        addresses.remove(k.update);
        List<MemberRecord> part = byPart.get(k.partition(DatagramCodec.MAX_PARTITIONS));
        if (k.update.state().isLive()) {
            digest -= k.updateDigest;
            alive--;
            marks[k.partition(DatagramCodec.MAX_PARTITIONS)] -= (int) (k.updateDigest >>> 32);
        }
        part.remove(place(part, k.update.name()));
        byHash.remove(k.nameHash, k);
        others.remove(k);
        k.removed = true;
    }

    /** A short digest of each of so many parts of the names. */
    int[] partitionDigests(int parts) {
        int[] some = new int[parts];
        if (DatagramCodec.MAX_PARTITIONS % parts == 0) {
            for (int i = 0; i < marks.length; i++) {
                some[i % parts] += marks[i];
            }
        } else {
            for (MemberRecord k : others) {
                some[k.partition(parts)] +=
                        k.update.state().isLive() ? (int) (k.updateDigest >>> 32) : 0;
            }
        }
        some[myPart(parts)] += (int) (me.digest() >>> 32);
        return some;
    }

    private int myPart(int parts) {
        return Math.floorMod(MemberUpdate.nameHash(me.name()), parts);
    }

    /**
     * The words on all that may live in one part of the names, this process among them, by name.
     */
    List<MemberUpdate> liveUpdates(int parts, int part) {
        List<MemberUpdate> words = new ArrayList<>();
        boolean mine = myPart(parts) == part;
        for (MemberRecord k :
                parts == DatagramCodec.MAX_PARTITIONS ? byPart.get(part) : members()) {
            if (mine && k.update.name().compareTo(me.name()) > 0) {
                words.add(me);
                mine = false;
            }
            if (k.update.state().isLive() && k.partition(parts) == part) {
                words.add(k.update);
            }
        }
        if (mine) {
            words.add(me);
        }
        return words;
    }

    /** Those of a part behind a name, up to another one; last null: to the end. */
    List<MemberRecord> membersBetween(int parts, int part, String after, String last) {
        List<MemberRecord> some = new ArrayList<>();
        List<MemberRecord> whole =
                parts == DatagramCodec.MAX_PARTITIONS ? byPart.get(part) : members();
        int from = place(whole, after);
        boolean there = from < whole.size() && whole.get(from).update.name().equals(after);
        for (MemberRecord k : whole.subList(there ? from + 1 : from, whole.size())) {
            if (last != null && k.update.name().compareTo(last) > 0) {
                break;
            }
            if (k.partition(parts) == part) {
                some.add(k);
            }
        }
        return some;
    }
}

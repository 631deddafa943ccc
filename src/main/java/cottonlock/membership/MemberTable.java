package cottonlock.membership;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * All members that one process knows, including itself, and the digest of that view. Counts and
 * digests are maintained with each change, so that reading them takes no iteration over all
 * members. Confined to the thread of its {@link Membership}.
 */
@Deterministic
final class MemberTable {
    private final int maxMembers;

    /** All members but this process. */
    private final List<MemberRecord> others = new ArrayList<>();

    /** Whether {@link #others} is in the order of names. */
    private boolean sorted = true;

    /** The others by the hashes of their names. */
    private final Map<Integer, MemberRecord> byNameHash = new HashMap<>();

    /** Whether two names have ever had the same hash: then members are searched linearly. */
    private boolean hashCollision;

    private final ContactAddresses contactAddresses;

    /** The others by partition, each in the order of names. */
    private final List<List<MemberRecord>> byPartition = new ArrayList<>();

    /** Digest of the live others of each partition. */
    private final int[] digestByPartition = new int[DatagramCodec.MAX_PARTITIONS];

    private MemberUpdate self;
    private long digest;

    /** Number of live others. */
    private int liveCount;

    /** Number of live others whose view differs. */
    private int divergingCount;

    /**
     * Creates a table that holds this process alone.
     *
     * @param maxMembers capacity of the table, counting this process and members that have failed
     *     or left
     */
    MemberTable(MemberUpdate self, int maxMembers, ContactAddresses contactAddresses) {
        this.self = self;
        this.maxMembers = maxMembers;
        this.contactAddresses = contactAddresses;
        for (int i = 0; i < DatagramCodec.MAX_PARTITIONS; i++) {
            byPartition.add(new ArrayList<>());
        }
        this.digest = self.digest();
    }

    /** This process's claim about itself. */
    MemberUpdate self() {
        return self;
    }

    void setSelf(MemberUpdate update) {
        digest += update.digest() - self.digest();
        self = update;
    }

    /** Hash of this process's name. */
    int selfHash() {
        return MemberUpdate.nameHash(self.name());
    }

    /** Digest of all live members; equal views have equal digests. */
    long digest() {
        return digest;
    }

    /** Number of live members besides this process. */
    int liveCount() {
        return liveCount;
    }

    /** The member with a name; null if there is none. */
    MemberRecord get(String name) {
        if (hashCollision) {
            for (MemberRecord member : others) {
                if (member.update.name().equals(name)) {
                    return member;
                }
            }
            return null;
        }
        MemberRecord member = byNameHash.get(MemberUpdate.nameHash(name));
        return member != null && member.update.name().equals(name) ? member : null;
    }

    /** All members but this process, in the order of names. */
    List<MemberRecord> members() {
        if (!sorted) {
            others.sort(Comparator.comparing(member -> member.update.name()));
            sorted = true;
        }
        return others;
    }

    /** Whether any member but this process matches. */
    boolean anyMatch(Predicate<MemberRecord> filter) {
        for (MemberRecord member : others) {
            if (filter.test(member)) {
                return true;
            }
        }
        return false;
    }

    /** Addresses at which a member that is not known to be live may be found. */
    ContactAddresses contactAddresses() {
        return contactAddresses;
    }

    /** Number of live members whose view differs from this one. */
    int divergingCount() {
        return divergingCount;
    }

    /** Sets since when a member's view has differed; {@link MemberRecord#NEVER}: it does not. */
    void setDivergedSince(MemberRecord member, long sinceTicks) {
        divergingCount -= member.diverges() ? 1 : 0;
        member.divergedSinceTicks = sinceTicks;
        divergingCount += member.diverges() ? 1 : 0;
    }

    /** A member whose name has that hash; null if there is none. */
    MemberRecord byNameHash(int hash) {
        return hashCollision ? firstWithNameHash(hash) : byNameHash.get(hash);
    }

    private MemberRecord firstWithNameHash(int hash) {
        for (MemberRecord member : members()) {
            if (member.nameHash == hash) {
                return member;
            }
        }
        return null;
    }

    /** Adds an unknown member. Its update is not counted before {@link #replace} is called. */
    MemberRecord add(MemberUpdate update, long nowTicks) {
        MemberRecord member = new MemberRecord(update, nowTicks);
        others.add(member);
        sorted = false;
        hashCollision |= byNameHash.put(member.nameHash, member) != null;
        List<MemberRecord> partition =
                byPartition.get(member.partition(DatagramCodec.MAX_PARTITIONS));
        partition.add(insertionPoint(partition, update.name()), member);
        return member;
    }

    /** The index of a name in a sorted list, or the index at which it would be inserted. */
    private static int insertionPoint(List<MemberRecord> sortedMembers, String name) {
        int from = 0;
        int to = sortedMembers.size();
        while (from < to) {
            int middle = (from + to) >>> 1;
            if (sortedMembers.get(middle).update.name().compareTo(name) < 0) {
                from = middle + 1;
            } else {
                to = middle;
            }
        }
        return from;
    }

    /**
     * Sets a member's update.
     *
     * @param counted whether the previous update counts already; false for a member just added
     */
    void replace(MemberRecord member, MemberUpdate update, boolean counted) {
        boolean wasLive = counted && member.isLive();
        boolean isLive = update.state().isLive();
        long newDigest = update.digest();
        digest += (isLive ? newDigest : 0) - (wasLive ? member.updateDigest : 0);
        liveCount += (isLive ? 1 : 0) - (wasLive ? 1 : 0);
        digestByPartition[member.partition(DatagramCodec.MAX_PARTITIONS)] +=
                (isLive ? shortDigest(newDigest) : 0)
                        - (wasLive ? shortDigest(member.updateDigest) : 0);
        divergingCount -= member.diverges() ? 1 : 0;
        if (counted) {
            contactAddresses.remove(member.update);
        }
        contactAddresses.add(update);
        member.update = update;
        member.updateDigest = newDigest;
        divergingCount += member.diverges() ? 1 : 0;
    }

    /** The upper half of an update's digest, which is summed in partition digests. */
    private static int shortDigest(long updateDigest) {
        return (int) (updateDigest >>> 32);
    }

    boolean isFull() {
        return others.size() + 1 >= maxMembers;
    }

    /** The member that has not been live for the longest time; null if all are live. */
    MemberRecord longestNotLive() {
        MemberRecord oldest = null;
        for (MemberRecord member : members()) {
            if (!member.isLive()
                    && (oldest == null || member.stateSinceTicks < oldest.stateSinceTicks)) {
                oldest = member;
            }
        }
        return oldest;
    }

    void remove(MemberRecord member) {
        setDivergedSince(member, MemberRecord.NEVER);
        contactAddresses.remove(member.update);
        int partition = member.partition(DatagramCodec.MAX_PARTITIONS);
        if (member.isLive()) {
            digest -= member.updateDigest;
            liveCount--;
            digestByPartition[partition] -= shortDigest(member.updateDigest);
        }
        List<MemberRecord> partitionMembers = byPartition.get(partition);
        partitionMembers.remove(insertionPoint(partitionMembers, member.update.name()));
        byNameHash.remove(member.nameHash, member);
        others.remove(member);
        member.removed = true;
    }

    /** Digest of the live members of each partition, including this process. */
    int[] partitionDigests(int partitions) {
        int[] digests = new int[partitions];
        if (DatagramCodec.MAX_PARTITIONS % partitions == 0) {
            for (int i = 0; i < digestByPartition.length; i++) {
                digests[i % partitions] += digestByPartition[i];
            }
        } else {
            for (MemberRecord member : others) {
                digests[member.partition(partitions)] +=
                        member.isLive() ? shortDigest(member.updateDigest) : 0;
            }
        }
        digests[selfPartition(partitions)] += shortDigest(self.digest());
        return digests;
    }

    private int selfPartition(int partitions) {
        return Math.floorMod(selfHash(), partitions);
    }

    /**
     * Updates of the live members of a partition, in the order of names, including this process.
     */
    List<MemberUpdate> liveUpdates(int partitions, int partition) {
        List<MemberUpdate> updates = new ArrayList<>();
        boolean selfPending = selfPartition(partitions) == partition;
        for (MemberRecord member : candidates(partitions, partition)) {
            if (selfPending && member.update.name().compareTo(self.name()) > 0) {
                updates.add(self);
                selfPending = false;
            }
            if (member.isLive() && member.partition(partitions) == partition) {
                updates.add(member.update);
            }
        }
        if (selfPending) {
            updates.add(self);
        }
        return updates;
    }

    /** Members in the order of names, among which are all of the partition. */
    private List<MemberRecord> candidates(int partitions, int partition) {
        return partitions == DatagramCodec.MAX_PARTITIONS ? byPartition.get(partition) : members();
    }

    /**
     * Members of a partition, in the order of names.
     *
     * @param after the members follow this name
     * @param last the last name included; null: the members extend to the last name
     */
    List<MemberRecord> membersBetween(int partitions, int partition, String after, String last) {
        List<MemberRecord> result = new ArrayList<>();
        List<MemberRecord> candidates = candidates(partitions, partition);
        int from = insertionPoint(candidates, after);
        boolean startsWithAfter =
                from < candidates.size() && candidates.get(from).update.name().equals(after);
        for (MemberRecord member :
                candidates.subList(startsWithAfter ? from + 1 : from, candidates.size())) {
            if (last != null && member.update.name().compareTo(last) > 0) {
                break;
            }
            if (member.partition(partitions) == partition) {
                result.add(member);
            }
        }
        return result;
    }
}

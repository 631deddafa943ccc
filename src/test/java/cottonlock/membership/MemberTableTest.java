package cottonlock.membership;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Maintained counts and digests must equal those computed from all members. */
class MemberTableTest {
    private static final MemberUpdate SELF =
            new MemberUpdate("me", "10.0.0.1:1", 1, 0, MemberState.ALIVE, 0);

    @Property(seed = "20261202", tries = 40)
    void maintainedCountsEqualThoseOfASearch(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Set<String> contacts = new TreeSet<>(List.of("10.0.0.2:1", "10.0.0.3:1", "10.0.0.200:1"));
        MemberTable table = new MemberTable(SELF, 400, new ContactAddresses(contacts));
        for (int step = 0; step < 600; step++) {
            applyRandomChange(table, random);
            if (step % 40 == 0) {
                assertMatchesSearch(table, contacts);
            }
        }
    }

    private static void applyRandomChange(MemberTable table, SplittableRandom random) {
        // Some members share an address, so that removing one may leave another at it.
        String name = "n" + random.nextInt(300);
        MemberUpdate update =
                new MemberUpdate(
                        name,
                        "10.0.0." + random.nextInt(2, 120) + ":1",
                        1 + random.nextInt(3),
                        random.nextInt(4),
                        MemberState.ofWireNumber(random.nextInt(5)),
                        0);
        MemberRecord member = table.get(name);
        int action = random.nextInt(5);
        if (member == null) {
            table.replace(table.add(update, 0), update, false);
        } else if (action == 0) {
            table.remove(member);
        } else if (action == 1) {
            table.setDivergedSince(member, random.nextBoolean() ? MemberRecord.NEVER : 7);
        } else {
            table.replace(member, update, true);
        }
    }

    private static void assertMatchesSearch(MemberTable table, Set<String> contacts) {
        int expectedLiveCount = 0;
        int expectedDivergingCount = 0;
        long digest = SELF.digest();
        Set<String> expectedAddresses = new TreeSet<>(contacts);
        for (MemberRecord member : table.members()) {
            expectedLiveCount += member.update.state().isLive() ? 1 : 0;
            digest += member.update.state().isLive() ? member.update.digest() : 0;
            expectedDivergingCount += member.diverges() ? 1 : 0;
            if (member.update.state() == MemberState.FAILED) {
                expectedAddresses.add(member.update.address());
            }
            assertSame(member, table.get(member.update.name()));
            assertSame(member, table.byNameHash(member.nameHash));
        }
        table.members().stream()
                .filter(member -> member.update.state().isLive())
                .forEach(member -> expectedAddresses.remove(member.update.address()));
        expectedAddresses.remove("10.0.0.7:1");
        assertEquals(
                new ArrayList<>(expectedAddresses),
                table.contactAddresses().candidates("10.0.0.7:1"));
        assertEquals(expectedLiveCount, table.liveCount());
        assertEquals(digest, table.digest());
        assertEquals(expectedDivergingCount, table.divergingCount());
        for (int partitions : new int[] {1, 2, 7, 8, 16, 31, 32}) {
            assertPartitionsMatchSearch(table, partitions);
        }
    }

    private static void assertPartitionsMatchSearch(MemberTable table, int partitions) {
        int[] expectedDigests = new int[partitions];
        for (int partition = 0; partition < partitions; partition++) {
            List<MemberUpdate> expectedUpdates = new ArrayList<>();
            List<MemberRecord> between = new ArrayList<>();
            boolean selfPending =
                    Math.floorMod(MemberUpdate.nameHash("me"), partitions) == partition;
            for (MemberRecord member : table.members()) {
                if (selfPending && member.update.name().compareTo("me") > 0) {
                    expectedUpdates.add(SELF);
                    selfPending = false;
                }
                if (member.partition(partitions) == partition) {
                    if (member.update.state().isLive()) {
                        expectedUpdates.add(member.update);
                    }
                    String name = member.update.name();
                    if (name.compareTo("n150") > 0 && name.compareTo("n27") <= 0) {
                        between.add(member);
                    }
                }
            }
            if (selfPending) {
                expectedUpdates.add(SELF);
            }
            for (MemberUpdate update : expectedUpdates) {
                expectedDigests[partition] += (int) (update.digest() >>> 32);
            }
            assertEquals(
                    expectedUpdates,
                    table.liveUpdates(partitions, partition),
                    "part " + partition + " of " + partitions);
            assertEquals(
                    between,
                    table.membersBetween(partitions, partition, "n150", "n27"),
                    "part " + partition + " of " + partitions);
        }
        assertArrayEquals(
                expectedDigests, table.partitionDigests(partitions), partitions + " parts");
    }

    /**
     * Names with equal hashes are rare by chance, but an attacker can create them. The table must
     * distinguish them.
     */
    @Example
    void namesWithOneHashAreDistinguished() {
        String[] namesWithEqualHash = namesWithEqualHash();
        MemberTable table = new MemberTable(SELF, 400, new ContactAddresses(Set.of()));
        for (String name : namesWithEqualHash) {
            MemberUpdate update = new MemberUpdate(name, "10.0.0.9:1", 1, 0, MemberState.ALIVE, 0);
            table.replace(table.add(update, 0), update, false);
        }
        for (String name : namesWithEqualHash) {
            assertEquals(name, table.get(name).update.name());
        }
        table.remove(table.get(namesWithEqualHash[0]));
        assertEquals(null, table.get(namesWithEqualHash[0]));
        assertEquals(namesWithEqualHash[1], table.get(namesWithEqualHash[1]).update.name());
        assertEquals(
                namesWithEqualHash[1],
                table.byNameHash(MemberUpdate.nameHash(namesWithEqualHash[1])).update.name());
        assertEquals(1, table.liveCount());
    }

    private static String[] namesWithEqualHash() {
        java.util.Map<Integer, String> nameByHash = new java.util.HashMap<>();
        for (int i = 0; ; i++) {
            String name = "x" + i;
            String previous = nameByHash.put(MemberUpdate.nameHash(name), name);
            if (previous != null) {
                return new String[] {previous, name};
            }
        }
    }
}

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

/** The counts and digests that the table maintains are those that a search of all members finds. */
class MemberTableTest {
    private static final MemberUpdate ME =
            new MemberUpdate("me", "10.0.0.1:1", 1, 0, MemberState.ALIVE, 0);

    @Property(seed = "20261202", tries = 40)
    void maintainedCountsEqualThoseOfASearch(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Set<String> contacts = new TreeSet<>(List.of("10.0.0.2:1", "10.0.0.3:1", "10.0.0.200:1"));
        MemberTable table = new MemberTable(ME, 400, new ContactAddresses(contacts));
        for (int step = 0; step < 600; step++) {
            change(table, random);
            if (step % 40 == 0) {
                compare(table, contacts);
            }
        }
    }

    private static void change(MemberTable table, SplittableRandom random) {
        // Addresses are shared by some, so that one that is gone may leave another there.
        String name = "n" + random.nextInt(300);
        MemberUpdate w =
                new MemberUpdate(
                        name,
                        "10.0.0." + random.nextInt(2, 120) + ":1",
                        1 + random.nextInt(3),
                        random.nextInt(4),
                        MemberState.ofWireNumber(random.nextInt(5)),
                        0);
        MemberRecord k = table.get(name);
        int what = random.nextInt(5);
        if (k == null) {
            table.replace(table.add(w, 0), w, false);
        } else if (what == 0) {
            table.remove(k);
        } else if (what == 1) {
            table.setDivergedSince(k, random.nextBoolean() ? MemberRecord.NEVER : 7);
        } else {
            table.replace(k, w, true);
        }
    }

    private static void compare(MemberTable table, Set<String> contacts) {
        int alive = 0;
        int differing = 0;
        long digest = ME.digest();
        Set<String> open = new TreeSet<>(contacts);
        for (MemberRecord k : table.members()) {
            alive += k.update.state().isLive() ? 1 : 0;
            digest += k.update.state().isLive() ? k.update.digest() : 0;
            differing += k.diverges() ? 1 : 0;
            if (k.update.state() == MemberState.FAILED) {
                open.add(k.update.address());
            }
            assertSame(k, table.get(k.update.name()));
            assertSame(k, table.byNameHash(k.nameHash));
        }
        table.members().stream()
                .filter(k -> k.update.state().isLive())
                .forEach(k -> open.remove(k.update.address()));
        open.remove("10.0.0.7:1");
        assertEquals(new ArrayList<>(open), table.contactAddresses().candidates("10.0.0.7:1"));
        assertEquals(alive, table.liveCount());
        assertEquals(digest, table.digest());
        assertEquals(differing, table.divergingCount());
        for (int parts : new int[] {1, 2, 7, 8, 16, 31, 32}) {
            parts(table, parts);
        }
    }

    private static void parts(MemberTable table, int parts) {
        int[] marks = new int[parts];
        for (int part = 0; part < parts; part++) {
            List<MemberUpdate> words = new ArrayList<>();
            List<MemberRecord> between = new ArrayList<>();
            boolean me = Math.floorMod(MemberUpdate.nameHash("me"), parts) == part;
            for (MemberRecord k : table.members()) {
                if (me && k.update.name().compareTo("me") > 0) {
                    words.add(ME);
                    me = false;
                }
                if (k.partition(parts) == part) {
                    if (k.update.state().isLive()) {
                        words.add(k.update);
                    }
                    String name = k.update.name();
                    if (name.compareTo("n150") > 0 && name.compareTo("n27") <= 0) {
                        between.add(k);
                    }
                }
            }
            if (me) {
                words.add(ME);
            }
            for (MemberUpdate w : words) {
                marks[part] += (int) (w.digest() >>> 32);
            }
            assertEquals(words, table.liveUpdates(parts, part), "part " + part + " of " + parts);
            assertEquals(
                    between,
                    table.membersBetween(parts, part, "n150", "n27"),
                    "part " + part + " of " + parts);
        }
        assertArrayEquals(marks, table.partitionDigests(parts), parts + " parts");
    }

    /**
     * Names with one hash are rare by chance, and can be made on purpose: they are distinguished.
     */
    @Example
    void namesWithOneHashAreDistinguished() {
        String[] alike = alike();
        MemberTable table = new MemberTable(ME, 400, new ContactAddresses(Set.of()));
        for (String name : alike) {
            MemberUpdate w = new MemberUpdate(name, "10.0.0.9:1", 1, 0, MemberState.ALIVE, 0);
            table.replace(table.add(w, 0), w, false);
        }
        for (String name : alike) {
            assertEquals(name, table.get(name).update.name());
        }
        table.remove(table.get(alike[0]));
        assertEquals(null, table.get(alike[0]));
        assertEquals(alike[1], table.get(alike[1]).update.name());
        assertEquals(alike[1], table.byNameHash(MemberUpdate.nameHash(alike[1])).update.name());
        assertEquals(1, table.liveCount());
    }

    private static String[] alike() {
        java.util.Map<Integer, String> seen = new java.util.HashMap<>();
        for (int i = 0; ; i++) {
            String name = "x" + i;
            String before = seen.put(MemberUpdate.nameHash(name), name);
            if (before != null) {
                return new String[] {before, name};
            }
        }
    }
}

package cottonlock.membership;

import static cottonlock.membership.MembershipFleets.SECOND;
import static cottonlock.membership.MembershipFleets.advance;
import static cottonlock.membership.MembershipFleets.fleet;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import cottonlock.lab.world.Fleet;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Received bytes that no member has sent. */
class HostileDatagramsTest {
    /** Arbitrary bytes are decoded to a message or to null, and never cause an exception. */
    @Property(seed = "20261201", tries = 2_000)
    void hostileBytesAreDropped(@ForAll int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        MemberUpdate sender =
                new MemberUpdate(
                        "n" + random.nextInt(99),
                        random.nextBoolean() ? "10.0.0.1:7946" : "[::1]:7946",
                        random.nextLong(1L << 46),
                        random.nextInt(1 << 30),
                        MemberState.ALIVE,
                        0);
        Message.Kind kind = Message.Kind.ofWireNumber(random.nextInt(Message.Kind.values().length));
        Message message =
                new Message(
                        kind,
                        sender,
                        random.nextLong(1L << 32),
                        random.nextLong(),
                        random.nextInt(1 << 16));
        message.sequenceNumber = random.nextInt();
        message.target = "n1";
        message.targetAddress = "10.0.0.2:1";
        message.partitions = 4;
        message.partition = random.nextInt(4);
        message.partitionDigests = new int[] {random.nextInt(), 2, 3, 4};
        message.payload = new byte[random.nextInt(20)];
        DatagramWriter out = DatagramCodec.writerFor(message, DatagramCodec.MAX_DATAGRAM_BYTES);
        MemberUpdate update =
                new MemberUpdate(
                        "other",
                        "10.0.0.3:65535",
                        5,
                        6,
                        MemberState.ofWireNumber(random.nextInt(5)),
                        7);
        boolean fits = out.addUpdate(update);
        Message decoded = DatagramCodec.decode(out.toBytes(), out.size());
        assertNotNull(decoded);
        assertEquals(sender, decoded.sender);
        assertEquals(fits ? 1 : 0, decoded.updates.size());
        assertEquals(kind, decoded.kind);
        byte[] bytes = out.toBytes();
        for (int i = 0; i < 1 + random.nextInt(6); i++) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        }
        int length = random.nextInt(bytes.length + 1);
        DatagramCodec.decode(bytes, length);
        Membership receiver = fleet(1, 2).nodes.get(0).machine;
        receiver.datagramReceived(7 * SECOND, "10.0.0.1:7946", bytes, length);
        byte[] noise = new byte[random.nextInt(300)];
        for (int i = 0; i < noise.length; i++) {
            noise[i] = (byte) random.nextInt(256);
        }
        receiver.datagramReceived(7 * SECOND, "127.0.0.1:10001", noise, noise.length);
    }

    /**
     * Datagrams are corrupted in transit, and no key authenticates them. Views must be right again
     * some time after the corruption has ended.
     */
    @Example
    void effectsOfCorruptDatagramsDoNotLast() {
        for (int seed = 0; seed < 3; seed++) {
            Fleet fleet = fleet(seed, 8);
            fleet.world.trouble(0, 0, 0.3);
            advance(fleet, 30);
            fleet.world.trouble(0, 0, 0);
            advance(fleet, 60);
            for (Fleet.Node node : fleet.nodes) {
                for (Fleet.Node other : fleet.nodes) {
                    MemberState state =
                            node == other ? MemberState.ALIVE : node.machine.stateOf(other.name);
                    assertEquals(
                            MemberState.ALIVE,
                            state,
                            node.name + " of " + other.name + ", seed " + seed);
                }
            }
        }
    }
}

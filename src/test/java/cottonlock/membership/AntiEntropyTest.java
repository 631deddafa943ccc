package cottonlock.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import cottonlock.setup.MembershipProtocolConfig;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import net.jqwik.api.Example;

/** Anti-entropy between views that are larger than what one exchange carries. */
class AntiEntropyTest {
    private static final int MEMBERS = 1_200;
    private static final int REQUESTS = 2_500;

    /**
     * A partition of a large membership is longer than one exchange. If each exchange sent it from
     * its beginning, its last members would never be sent.
     */
    @Example
    void repeatedExchangesSendEveryMemberOfALongPartition() {
        assertEquals(MEMBERS, countMembersSent(new ProtocolVariants()));
        assertNotEquals(
                MEMBERS,
                countMembersSent(
                        new ProtocolVariants() {
                            @Override
                            boolean startsPagesAtRandomName() {
                                return false;
                            }
                        }),
                "all members were sent without the random start, so this test shows nothing");
    }

    /**
     * Number of distinct members that a process that knows all of them sends to one that knows none
     * and sends {@link #REQUESTS} requests.
     */
    private static int countMembersSent(ProtocolVariants variants) {
        Set<String> sent = new TreeSet<>();
        Membership membership =
                new Membership(
                        MembershipProtocolConfig.DEFAULTS,
                        new MembershipActions() {
                            @Override
                            public void send(String to, byte[] datagram) {
                                Message message = DatagramCodec.decode(datagram, datagram.length);
                                if (message.kind == Message.Kind.PARTITION_PAGE) {
                                    message.updates.stream()
                                            .filter(update -> update.name().startsWith("x"))
                                            .forEach(update -> sent.add(update.name()));
                                }
                            }

                            @Override
                            public void memberStateChanged(
                                    String name, MemberState state, String reason) {}
                        },
                        new LocalMember("me", "10.0.0.1:1", List.of(), false, 1_000),
                        0,
                        new SplittableRandom(1),
                        variants);
        membership.start(0);
        MemberUpdate requester =
                new MemberUpdate("asker", "10.0.0.2:1", 1_000, 0, MemberState.ALIVE, 0);
        long datagramNumber = 0;
        for (int i = 0; i < MEMBERS; ) {
            DatagramWriter out =
                    DatagramCodec.writerFor(
                            new Message(Message.Kind.UPDATES, requester, ++datagramNumber, 0, 0),
                            DatagramCodec.MAX_DATAGRAM_BYTES);
            while (i < MEMBERS
                    && out.addUpdate(
                            new MemberUpdate(
                                    "x" + i,
                                    "10.1.0.1:" + (1 + i),
                                    1_000,
                                    0,
                                    MemberState.ALIVE,
                                    0))) {
                i++;
            }
            membership.datagramReceived(0, requester.address(), out.toBytes(), out.size());
        }
        for (int i = 1; i <= REQUESTS; i++) {
            Message message =
                    new Message(Message.Kind.PARTITION_DIGESTS, requester, ++datagramNumber, 0, 0);
            message.partitionDigests = new int[DatagramCodec.MAX_PARTITIONS];
            DatagramWriter out = DatagramCodec.writerFor(message, DatagramCodec.MAX_DATAGRAM_BYTES);
            // At intervals of 100 ms the bandwidth limit allows about one page for each request.
            membership.datagramReceived(i * 1_000L, requester.address(), out.toBytes(), out.size());
        }
        return sent.size();
    }
}

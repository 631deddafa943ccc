package cottonlock.membership;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import cottonlock.lab.world.Fleet;
import cottonlock.lab.world.World;
import cottonlock.setup.MembershipProtocolConfig;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import net.jqwik.api.Example;

/**
 * Compares encoded datagrams, and the datagrams that a fleet sends, with bytes recorded at commit
 * 9f2b593.
 */
class DatagramCodecTest {
    private static final long SECOND = 10_000;

    /**
     * The part of each recorded datagram that describes the sender, after magic, kind and flags.
     */
    private static final String SENDER_HEADER =
            "0770726f78792d31040a0000011f0a018bcfe5687b00000003fedcba980123456789abcdef0203";

    /** Five updates, one of each state. */
    private static final String UPDATES =
            "0500026d3004c0a80019ffff0000000000000000000101026d310b5b666538303a3a315d3a31000000000001"
                + "0000000202026d3204c0a80019ffff000000000002000000039abcdef003026d330b5b66653830"
                + "3a3a315d3a31000000000003000000049abcdef004026d3404c0a80019ffff0000000000040000"
                + "0005";

    /**
     * Kind-specific fields, updates and checksum of a datagram of each kind, by the kind's number.
     */
    private static final List<String> RECORDED =
            List.of(
                    "887766550770726f78792d320770726f78792d33" + UPDATES + "a8e7e2f5",
                    "88776655" + UPDATES + "1bd5c625",
                    "887766550770726f78792d320a5b3a3a315d3a37393436" + UPDATES + "a41e24e5",
                    "88776655" + UPDATES + "8b1214f4",
                    "88776655" + UPDATES + "44f00f8e",
                    "0400000001fffffffe7fffffff00000004" + UPDATES + "f40121e2",
                    "201f0770726f78792d34" + UPDATES + "81e68ab8",
                    UPDATES + "f380ee3a",
                    "070300ff64" + UPDATES + "8e1407fc");

    private static String recorded(int kindNumber) {
        return "fb1" + kindNumber + "18" + SENDER_HEADER + RECORDED.get(kindNumber);
    }

    private static Message sample(Message.Kind kind) {
        MemberUpdate sender =
                new MemberUpdate(
                        "proxy-1", "10.0.0.1:7946", 1_700_000_000_123L, 3, MemberState.JOINING, 0);
        Message message = new Message(kind, sender, 0xfedc_ba98L, 0x0123_4567_89ab_cdefL, 515);
        message.sequenceNumber = 0x8877_6655;
        message.target = "proxy-2";
        message.targetAddress = "[::1]:7946";
        message.onBehalfOf = "proxy-3";
        message.heardRecently = true;
        message.partitions = 32;
        message.partition = 31;
        message.afterName = "proxy-4";
        message.lastPage = true;
        message.partitionDigests = new int[] {1, -2, 0x7fff_ffff, 4};
        message.topic = 7;
        message.payload = new byte[] {0, -1, 100};
        return message;
    }

    private static byte[] encoded(Message message) {
        DatagramWriter out = DatagramCodec.writerFor(message, DatagramCodec.MAX_DATAGRAM_BYTES);
        int stateIndex = 0;
        for (MemberState state : MemberState.values()) {
            out.addUpdate(
                    new MemberUpdate(
                            "m" + stateIndex,
                            stateIndex % 2 == 0 ? "192.168.0.25:65535" : "[fe80::1]:1",
                            stateIndex,
                            stateIndex + 1,
                            state,
                            state == MemberState.SUSPECT || state == MemberState.FAILED
                                    ? 0x9abc_def0
                                    : 0));
            stateIndex++;
        }
        return out.toBytes();
    }

    @Example
    void encodesEachKindAsRecorded() {
        int kindNumber = 0;
        for (Message.Kind kind : Message.Kind.values()) {
            assertEquals(
                    recorded(kindNumber),
                    HexFormat.of().formatHex(encoded(sample(kind))),
                    kind.toString());
            kindNumber++;
        }
        assertEquals(RECORDED.size(), kindNumber);
    }

    @Example
    void reencodesRecordedDatagramsUnchanged() {
        for (int kindNumber = 0; kindNumber < RECORDED.size(); kindNumber++) {
            byte[] bytes = HexFormat.of().parseHex(recorded(kindNumber));
            Message decoded = DatagramCodec.decode(bytes, bytes.length);
            assertNotNull(decoded, "kind " + kindNumber);
            DatagramWriter out = DatagramCodec.writerFor(decoded, DatagramCodec.MAX_DATAGRAM_BYTES);
            decoded.updates.forEach(out::addUpdate);
            assertEquals(recorded(kindNumber), HexFormat.of().formatHex(out.toBytes()));
        }
    }

    /** Compares all datagrams of a fleet under faults: time, sender, receiver and content. */
    @Example
    void seededFleetSendsRecordedDatagrams() throws Exception {
        MessageDigest digest = MessageDigest.getInstance("SHA-256");
        Fleet[] fleetHolder = new Fleet[1];
        long[] datagramCount = new long[1];
        fleetHolder[0] =
                new Fleet(
                        new World(20261203),
                        14,
                        MembershipProtocolConfig.DEFAULTS,
                        (config, out, self, reservedBytes, random) ->
                                new Membership(
                                        config,
                                        new MembershipActions() {
                                            @Override
                                            public void send(String to, byte[] datagram) {
                                                digest.update(
                                                        (fleetHolder[0].world.now()
                                                                        + self.name()
                                                                        + to)
                                                                .getBytes(UTF_8));
                                                digest.update(datagram);
                                                datagramCount[0]++;
                                                out.send(to, datagram);
                                            }

                                            @Override
                                            public void memberStateChanged(
                                                    String name, MemberState state, String reason) {
                                                digest.update((name + state).getBytes(UTF_8));
                                                out.memberStateChanged(name, state, reason);
                                            }
                                        },
                                        self,
                                        reservedBytes,
                                        random));
        Fleet fleet = fleetHolder[0];
        fleet.startAll(SECOND);
        fleet.world.until(8 * SECOND);
        fleet.split(2);
        fleet.world.until(30 * SECOND);
        fleet.split(1);
        fleet.world.until(45 * SECOND);
        fleet.world.trouble(0.3, 0.1, 0.02);
        fleet.nodes.get(1).kill();
        fleet.nodes.get(2).pause(12 * SECOND);
        fleet.nodes.get(3).hang(15 * SECOND);
        fleet.nodes.get(4).leave();
        fleet.world.until(75 * SECOND);
        fleet.nodes.get(1).start(-100 * SECOND);
        fleet.nodes.get(4).start(0);
        fleet.world.until(100 * SECOND);
        assertEquals(14_159, datagramCount[0], "datagrams");
        assertEquals(
                "8ed472e911fa7cab9b6303ec1a1fc1d399ec846f6c68031683da5b7be75e7431",
                HexFormat.of().formatHex(digest.digest()));
    }
}

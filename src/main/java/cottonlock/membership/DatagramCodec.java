package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.membership.Message.Kind;
import java.util.zip.CRC32;

/**
 * Maps messages to bytes and back. The first byte can't start a UTF-8 text, so that the load
 * balancer's own datagrams may use the same socket. The last four bytes are a CRC-32 of all bytes
 * before them, because UDP's checksum has only 16 bits. Numbers are big-endian. docs/membership.md
 * describes the layout.
 */
@Deterministic
final class DatagramCodec {
    /** The platform's limit for a datagram, in bytes. */
    static final int MAX_DATAGRAM_BYTES = 256;

    /** The first byte of each datagram. */
    static final int MAGIC = 0xFB;

    /** Version of the layout, raised with each change that an older process would misread. */
    private static final int VERSION = 1;

    /**
     * Maximum length of a member's name: a header and two updates with such names fit into a
     * datagram.
     */
    static final int MAX_NAME_LENGTH = 32;

    /** Maximum number of partitions of the names in a message with partition digests. */
    static final int MAX_PARTITIONS = 32;

    /**
     * Highest valid generation: the year 6429 in milliseconds since 1970. This leaves space to
     * raise the generation of a process.
     */
    static final long MAX_GENERATION = 1L << 47;

    /** Bytes of a generation. */
    static final int GENERATION_BYTES = 6;

    /** Bytes of an incarnation. */
    static final int INCARNATION_BYTES = 4;

    /** Bytes of the checksum. */
    static final int CHECKSUM_BYTES = 4;

    /** Offset of the flags byte. */
    static final int FLAGS_OFFSET = 2;

    /** Precedes an IPv4 address in binary, where other addresses have the length of their text. */
    static final int IPV4_MARKER = 4;

    /** Flag of {@link Message#lastPage}. */
    static final int LAST_PAGE_FLAG = 1 << 4;

    /** Flag of {@link Message#heardRecently}. */
    private static final int HEARD_RECENTLY_FLAG = 1 << 3;

    private static final int STATE_MASK = 7;
    private static final int MAX_FLAGS = 31;
    private static final int KIND_MASK = 15;
    private static final int VERSION_SHIFT = 4;

    private DatagramCodec() {}

    /** Writes a message's header and the fields of its kind; updates may be added afterwards. */
    static DatagramWriter writerFor(Message message, int maxBytes) {
        DatagramWriter out = new DatagramWriter(maxBytes);
        MemberUpdate sender = message.sender;
        out.writeNumber(MAGIC, 1);
        out.writeNumber((VERSION << VERSION_SHIFT) | message.kind.wireNumber(), 1);
        out.writeNumber(
                sender.state().wireNumber()
                        | (message.heardRecently ? HEARD_RECENTLY_FLAG : 0)
                        | (message.lastPage ? LAST_PAGE_FLAG : 0),
                1);
        out.writeText(sender.name());
        out.writeAddress(sender.address());
        out.writeNumber(sender.generation(), GENERATION_BYTES);
        out.writeNumber(sender.incarnation(), INCARNATION_BYTES);
        out.writeNumber(message.datagramNumber, 4);
        out.writeNumber(message.viewDigest, 8);
        out.writeNumber(message.stallCentis, 2);
        writeFields(out, message);
        out.startUpdates();
        return out;
    }

    private static void writeFields(DatagramWriter out, Message message) {
        switch (message.kind) {
            case PING -> {
                out.writeNumber(message.sequenceNumber, 4);
                out.writeText(message.target);
                out.writeText(message.onBehalfOf);
            }
            case PING_REQUEST -> {
                out.writeNumber(message.sequenceNumber, 4);
                out.writeText(message.target);
                out.writeAddress(message.targetAddress);
            }
            case ACK, INDIRECT_ACK, NACK -> out.writeNumber(message.sequenceNumber, 4);
            case PARTITION_DIGESTS -> {
                out.writeNumber(message.partitionDigests.length, 1);
                for (int digest : message.partitionDigests) {
                    out.writeNumber(digest, 4);
                }
            }
            case PARTITION_PAGE -> {
                out.writeNumber(message.partitions, 1);
                out.writeNumber(message.partition, 1);
                out.writeText(message.afterName);
            }
            case PAYLOAD -> {
                out.writeNumber(message.topic, 1);
                out.writeNumber(message.payload.length, 1);
                out.writeBytes(message.payload);
            }
            default -> {} // UPDATES has no fields of its own.
        }
    }

    /** Decodes a datagram; null for bytes that are not a valid datagram of this protocol. */
    static Message decode(byte[] bytes, int length) {
        int contentLength = Math.min(length, bytes.length) - CHECKSUM_BYTES;
        if (length > MAX_DATAGRAM_BYTES
                || contentLength < 1
                || new DatagramReader(bytes, contentLength, CHECKSUM_BYTES)
                                .readNumber(CHECKSUM_BYTES)
                        != checksum(bytes, contentLength)) {
            return null;
        }
        DatagramReader in = new DatagramReader(bytes, 0, contentLength);
        if (in.readByte() != MAGIC) {
            return null;
        }
        int versionAndKind = in.readByte();
        int flags = in.readByte();
        Kind kind = Kind.ofWireNumber(versionAndKind & KIND_MASK);
        MemberState state = MemberState.ofWireNumber(flags & STATE_MASK);
        if (versionAndKind >> VERSION_SHIFT != VERSION
                || kind == null
                || state == null
                || flags > MAX_FLAGS) {
            return null;
        }
        Message message = readHeader(in, kind, state);
        message.heardRecently = (flags & HEARD_RECENTLY_FLAG) != 0;
        message.lastPage = (flags & LAST_PAGE_FLAG) != 0;
        readFields(in, message);
        int updates = in.readByte();
        for (int i = 0; i < updates && in.isValid(); i++) {
            message.updates.add(in.readUpdate());
        }
        // A process never claims to be suspected or failed itself.
        in.expect(!state.isAccusation());
        return in.isValid() && in.atEnd() ? message : null;
    }

    private static Message readHeader(DatagramReader in, Kind kind, MemberState state) {
        MemberUpdate sender =
                new MemberUpdate(
                        in.readName(),
                        in.readAddress(),
                        in.readGeneration(),
                        in.readIncarnation(),
                        state,
                        0);
        return new Message(
                kind, sender, in.readNumber(4), in.readNumber(8), (int) in.readNumber(2));
    }

    private static void readFields(DatagramReader in, Message message) {
        switch (message.kind) {
            case PING -> {
                message.sequenceNumber = (int) in.readNumber(4);
                message.target = in.readOptionalName();
                message.onBehalfOf = in.readOptionalName();
            }
            case PING_REQUEST -> {
                message.sequenceNumber = (int) in.readNumber(4);
                message.target = in.readName();
                message.targetAddress = in.readAddress();
            }
            case ACK, INDIRECT_ACK, NACK -> message.sequenceNumber = (int) in.readNumber(4);
            case PARTITION_DIGESTS -> {
                int partitions = in.readByte();
                boolean valid = in.expect(partitions >= 1 && partitions <= MAX_PARTITIONS);
                message.partitionDigests = new int[valid ? partitions : 1];
                for (int i = 0; i < message.partitionDigests.length; i++) {
                    message.partitionDigests[i] = (int) in.readNumber(4);
                }
            }
            case PARTITION_PAGE -> {
                message.partitions = in.readByte();
                message.partition = in.readByte();
                message.afterName = in.readOptionalName();
                in.expect(
                        message.partitions >= 1
                                && message.partitions <= MAX_PARTITIONS
                                && message.partition < message.partitions);
            }
            case PAYLOAD -> {
                message.topic = in.readByte();
                message.payload = in.readBytes(in.readByte());
            }
            default -> {} // UPDATES has no fields of its own.
        }
    }

    static long checksum(byte[] bytes, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, 0, length);
        return crc.getValue();
    }

    /** Whether a text can be a member's name: printable ASCII without spaces, not too long. */
    static boolean isValidName(String name) {
        boolean valid = !name.isEmpty() && name.length() <= MAX_NAME_LENGTH;
        for (int i = 0; i < name.length() && valid; i++) {
            valid = name.charAt(i) > ' ' && name.charAt(i) < 0x7f;
        }
        return valid;
    }
}

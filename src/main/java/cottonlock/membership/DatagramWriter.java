package cottonlock.membership;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import cottonlock.core.Deterministic;
import java.util.Arrays;

/** Builds the bytes of one datagram. Numbers are big-endian. */
@Deterministic
final class DatagramWriter {
    /** Bytes of an update's fixed fields: state, length of the name, generation, incarnation. */
    private static final int UPDATE_FIXED_BYTES = 1 + 1 + 6 + 4;

    private static final int ACCUSER_BYTES = 4;
    private static final int MAX_UPDATES = 255;

    private final byte[] bytes = new byte[DatagramCodec.MAX_DATAGRAM_BYTES];
    private final int contentLimit;
    private int position;

    /** Offset of the byte that counts the updates. */
    private int updateCountPosition;

    /**
     * Creates an empty datagram.
     *
     * @param maxBytes maximum size of the whole datagram including its checksum
     */
    DatagramWriter(int maxBytes) {
        this.contentLimit = maxBytes - DatagramCodec.CHECKSUM_BYTES;
    }

    void writeNumber(long value, int size) {
        for (int i = size - 1; i >= 0; i--) {
            bytes[position++] = (byte) (value >>> (8 * i));
        }
    }

    void writeBytes(byte[] source) {
        System.arraycopy(source, 0, bytes, position, source.length);
        position += source.length;
    }

    void writeText(String text) {
        writeNumber(text.length(), 1);
        writeBytes(text.getBytes(ISO_8859_1));
    }

    /** Writes an IPv4 address as a marker and six bytes, any other address as text. */
    void writeAddress(String address) {
        AddressFormat.Ipv4 ipv4 = AddressFormat.parseIpv4(address);
        if (ipv4 == null) {
            writeText(address);
            return;
        }
        writeNumber(DatagramCodec.IPV4_MARKER, 1);
        writeNumber(ipv4.host(), 4);
        writeNumber(ipv4.port(), 2);
    }

    /** Starts the list of updates, which is the last part of a datagram. */
    void startUpdates() {
        updateCountPosition = position;
        writeNumber(0, 1);
    }

    /**
     * Adds an update if it fits.
     *
     * @return false if there is no space for it
     */
    boolean addUpdate(MemberUpdate update) {
        if (position + size(update) > contentLimit
                || (bytes[updateCountPosition] & 0xff) == MAX_UPDATES) {
            return false;
        }
        writeNumber(update.state().wireNumber(), 1);
        writeText(update.name());
        writeAddress(update.address());
        writeNumber(update.generation(), DatagramCodec.GENERATION_BYTES);
        writeNumber(update.incarnation(), DatagramCodec.INCARNATION_BYTES);
        if (update.state().isAccusation()) {
            writeNumber(update.accuserHash(), ACCUSER_BYTES);
        }
        bytes[updateCountPosition]++;
        return true;
    }

    private static int size(MemberUpdate update) {
        int addressBytes =
                AddressFormat.parseIpv4(update.address()) == null
                        ? update.address().length()
                        : AddressFormat.IPV4_BYTES;
        return UPDATE_FIXED_BYTES
                + update.name().length()
                + 1
                + addressBytes
                + (update.state().isAccusation() ? ACCUSER_BYTES : 0);
    }

    /** Marks that the page extends to the last name of its partition. */
    void markLastPage() {
        bytes[DatagramCodec.FLAGS_OFFSET] |= DatagramCodec.LAST_PAGE_FLAG;
    }

    /** Size of the whole datagram including its checksum, in bytes. */
    int size() {
        return position + DatagramCodec.CHECKSUM_BYTES;
    }

    /** The datagram with its checksum. More updates may be added afterwards. */
    byte[] toBytes() {
        writeNumber(DatagramCodec.checksum(bytes, position), DatagramCodec.CHECKSUM_BYTES);
        position -= DatagramCodec.CHECKSUM_BYTES;
        return Arrays.copyOf(bytes, size());
    }
}

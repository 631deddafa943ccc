package cottonlock.membership;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import cottonlock.core.Deterministic;
import java.util.Arrays;

/**
 * Reads the fields of a datagram. After a field that is malformed {@link #isValid} is false, and
 * all further fields are empty or 0; nothing is thrown.
 */
@Deterministic
final class DatagramReader {
    private final byte[] bytes;
    private final int limit;
    private int position;
    private boolean malformed;

    DatagramReader(byte[] bytes, int from, int length) {
        this.bytes = bytes;
        this.position = from;
        this.limit = from + length;
    }

    /** Whether all fields read so far were well-formed. */
    boolean isValid() {
        return !malformed;
    }

    /** Whether no bytes are left. */
    boolean atEnd() {
        return position == limit;
    }

    /** Requires a condition: if it is false, the datagram is malformed. Returns the condition. */
    boolean expect(boolean condition) {
        malformed |= !condition;
        return condition;
    }

    long readNumber(int size) {
        if (!expect(!malformed && position + size <= limit)) {
            return 0;
        }
        long value = 0;
        for (int i = 0; i < size; i++) {
            value = (value << 8) | (bytes[position++] & 0xff);
        }
        return value;
    }

    int readByte() {
        return (int) readNumber(1);
    }

    byte[] readBytes(int size) {
        if (!expect(!malformed && position + size <= limit)) {
            return new byte[0];
        }
        position += size;
        return Arrays.copyOfRange(bytes, position - size, position);
    }

    /** A member's name, or an empty text. */
    String readOptionalName() {
        String text = new String(readBytes(readByte()), ISO_8859_1);
        expect(text.isEmpty() || DatagramCodec.isValidName(text));
        return malformed ? "" : text;
    }

    /** A member's name. */
    String readName() {
        String name = readOptionalName();
        expect(!name.isEmpty());
        return name;
    }

    String readAddress() {
        int marker = readByte();
        if (marker == DatagramCodec.IPV4_MARKER) {
            String host = readByte() + "." + readByte() + "." + readByte() + "." + readByte();
            return host + ":" + readNumber(2);
        }
        String address = new String(readBytes(marker), ISO_8859_1);
        // IPv4 as text is rejected: with two forms of one address views could differ permanently.
        expect(
                marker > DatagramCodec.IPV4_MARKER
                        && marker <= AddressFormat.MAX_TEXT_LENGTH
                        && AddressFormat.isBracketed(address)
                        && AddressFormat.parseIpv4(address) == null);
        return address;
    }

    long readGeneration() {
        long generation = readNumber(DatagramCodec.GENERATION_BYTES);
        expect(generation <= DatagramCodec.MAX_GENERATION);
        return generation;
    }

    int readIncarnation() {
        int incarnation = (int) readNumber(DatagramCodec.INCARNATION_BYTES);
        expect(incarnation >= 0 && incarnation < Integer.MAX_VALUE);
        return incarnation;
    }

    /** An update; null if its state is unknown. */
    MemberUpdate readUpdate() {
        MemberState state = MemberState.ofWireNumber(readByte());
        if (!expect(state != null)) {
            return null;
        }
        return new MemberUpdate(
                readName(),
                readAddress(),
                readGeneration(),
                readIncarnation(),
                state,
                state.isAccusation() ? (int) readNumber(4) : 0);
    }
}

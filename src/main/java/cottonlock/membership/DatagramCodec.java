package cottonlock.membership;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import cottonlock.core.Deterministic;
import cottonlock.membership.Message.Kind;
import java.util.Arrays;
import java.util.zip.CRC32;

/**
 * Messages as bytes. The first byte begins no UTF-8 text, so that they are told from the module's
 * own datagrams on the same socket; the last four are a check of all before, as UDP's own is short.
 * Numbers are big-endian. docs/membership.md has the layout.
 */
@Deterministic
final class DatagramCodec {
    /** The platform's limit for a datagram. */
    static final int MAX_DATAGRAM_BYTES = 256;

    static final int MAGIC = 0xFB;

    /** Raised with each change of the layout that an older process would misread. */
    private static final int VERSION = 1;

    /** Characters of a name: two words and a head with such names still fit. */
    static final int MAX_NAME_LENGTH = 32;

    /** An address as text, IPv6 in brackets with a port. */
    static final int MAX_ADDRESS_LENGTH = 47;

    /** Parts of the names that a view in short has at most. */
    static final int MAX_PARTITIONS = 32;

    /** Lives beyond this are nobody's: the year 6429 in milliseconds, with room to raise them. */
    static final long MAX_GENERATION = 1L << 47;

    private static final int HEARD = 1 << 3;
    private static final int END = 1 << 4;

    /** Bytes of the check. */
    private static final int CHECK = 4;

    /** Where the flags stand. */
    private static final int FLAGS = 2;

    private DatagramCodec() {}

    /** Writes a message's head and its own fields; words may follow. */
    static Writer writerFor(Message m, int most) {
        Writer out = new Writer(most);
        out.number(MAGIC, 1);
        out.number(VERSION << 4 | m.kind.ordinal(), 1);
        out.number(
                m.sender.state().ordinal() | (m.heardRecently ? HEARD : 0) | (m.lastPage ? END : 0),
                1);
        out.text(m.sender.name());
        out.address(m.sender.address());
        out.number(m.sender.generation(), 6);
        out.number(m.sender.incarnation(), 4);
        out.number(m.datagramNumber, 4);
        out.number(m.viewDigest, 8);
        out.number(m.stallCentis, 2);
        switch (m.kind) {
            case PING -> {
                out.number(m.sequenceNumber, 4);
                out.text(m.target);
                out.text(m.onBehalfOf);
            }
            case PING_REQUEST -> {
                out.number(m.sequenceNumber, 4);
                out.text(m.target);
                out.address(m.targetAddress);
            }
            case ACK, INDIRECT_ACK, NACK -> out.number(m.sequenceNumber, 4);
            case PARTITION_DIGESTS -> {
                out.number(m.partitionDigests.length, 1);
                for (int mark : m.partitionDigests) {
                    out.number(mark, 4);
                }
            }
            case PARTITION_PAGE -> {
                out.number(m.partitions, 1);
                out.number(m.partition, 1);
                out.text(m.afterName);
            }
            case PAYLOAD -> {
                out.number(m.topic, 1);
                out.number(m.payload.length, 1);
                out.bytes(m.payload);
            }
            default -> {}
        }
        out.words();
        return out;
    }

    /** Reads a datagram; null for bytes that are none of ours, whatever they are. */
    static Message decode(byte[] bytes, int length) {
        int inner = Math.min(length, bytes.length) - CHECK;
        if (length > MAX_DATAGRAM_BYTES
                || inner < 1
                || new Reader(bytes, inner, CHECK).number(CHECK) != check(bytes, inner)) {
            return null;
        }
        Reader in = new Reader(bytes, 0, inner);
        if (in.number(1) != MAGIC) {
            return null;
        }
        int kind = (int) in.number(1);
        int flags = (int) in.number(1);
        if (kind >> 4 != VERSION
                || (kind & 15) >= Kind.values().length
                || (flags & 7) > 4
                || flags > 31) {
            return null;
        }
        MemberState state = MemberState.values()[flags & 7];
        MemberUpdate sender =
                new MemberUpdate(
                        in.name(), in.address(), in.generation(), in.incarnation(), state, 0);
        Message m =
                new Message(
                        Kind.values()[kind & 15],
                        sender,
                        in.number(4),
                        in.number(8),
                        (int) in.number(2));
        m.heardRecently = (flags & HEARD) != 0;
        m.lastPage = (flags & END) != 0;
        switch (m.kind) {
            case PING -> {
                m.sequenceNumber = (int) in.number(4);
                m.target = in.text();
                m.onBehalfOf = in.text();
            }
            case PING_REQUEST -> {
                m.sequenceNumber = (int) in.number(4);
                m.target = in.name();
                m.targetAddress = in.address();
            }
            case ACK, INDIRECT_ACK, NACK -> m.sequenceNumber = (int) in.number(4);
            case PARTITION_DIGESTS -> {
                int n = (int) in.number(1);
                m.partitionDigests = new int[in.expect(n >= 1 && n <= MAX_PARTITIONS) ? n : 1];
                for (int i = 0; i < m.partitionDigests.length; i++) {
                    m.partitionDigests[i] = (int) in.number(4);
                }
            }
            case PARTITION_PAGE -> {
                m.partitions = (int) in.number(1);
                m.partition = (int) in.number(1);
                m.afterName = in.text();
                in.expect(
                        m.partitions >= 1
                                && m.partitions <= MAX_PARTITIONS
                                && m.partition < m.partitions);
            }
            case PAYLOAD -> {
                m.topic = (int) in.number(1);
                m.payload = in.bytes((int) in.number(1));
            }
            default -> {}
        }
        int words = (int) in.number(1);
        for (int i = 0; i < words && in.good(); i++) {
            m.updates.add(in.update());
        }
        // A process that has failed does not say so itself, and one in doubt only others doubt.
        in.expect(state != MemberState.SUSPECT && state != MemberState.FAILED);
        return in.good() && in.over() ? m : null;
    }

    private static long check(byte[] bytes, int length) {
        CRC32 sum = new CRC32();
        sum.update(bytes, 0, length);
        return sum.getValue();
    }

    /** Whether a name can be a member's. */
    static boolean isValidName(String name) {
        boolean right = !name.isEmpty() && name.length() <= MAX_NAME_LENGTH;
        for (int i = 0; i < name.length() && right; i++) {
            right = name.charAt(i) > ' ' && name.charAt(i) < 0x7f;
        }
        return right;
    }

    /** The bytes of a datagram to be. */
    static final class Writer {
        private final byte[] bytes = new byte[MAX_DATAGRAM_BYTES];
        private final int most;
        private int at;

        /** Where the number of words stands. */
        private int count;

        Writer(int most) {
            this.most = most - CHECK;
        }

        void number(long value, int size) {
            for (int i = size - 1; i >= 0; i--) {
                bytes[at++] = (byte) (value >>> 8 * i);
            }
        }

        void bytes(byte[] some) {
            System.arraycopy(some, 0, bytes, at, some.length);
            at += some.length;
        }

        void text(String text) {
            number(text.length(), 1);
            bytes(text.getBytes(ISO_8859_1));
        }

        /** Digits of IPv4 in six bytes behind a 4, all else as text. */
        void address(String address) {
            int[] parts = parts(address);
            if (parts == null) {
                text(address);
                return;
            }
            number(4, 1);
            for (int i = 0; i < 4; i++) {
                number(parts[i], 1);
            }
            number(parts[4], 2);
        }

        private void words() {
            count = at;
            number(0, 1);
        }

        /** Adds a word if there is room for it. */
        boolean addUpdate(MemberUpdate w) {
            int size = size(w);
            if (at + size > most || (bytes[count] & 0xff) == 255) {
                return false;
            }
            number(w.state().ordinal(), 1);
            text(w.name());
            address(w.address());
            number(w.generation(), 6);
            number(w.incarnation(), 4);
            if (accused(w.state())) {
                number(w.accuserHash(), 4);
            }
            bytes[count]++;
            return true;
        }

        private static int size(MemberUpdate w) {
            int address = parts(w.address()) == null ? 1 + w.address().length() : 7;
            return 1 + 1 + w.name().length() + address + 10 + (accused(w.state()) ? 4 : 0);
        }

        /** The page that was begun goes on to the last name of its part. */
        void markLastPage() {
            bytes[FLAGS] |= END;
        }

        /** Bytes of the whole datagram. */
        int size() {
            return at + CHECK;
        }

        byte[] toBytes() {
            long check = check(bytes, at);
            number(check, CHECK);
            at -= CHECK;
            return Arrays.copyOf(bytes, at + CHECK);
        }
    }

    private static boolean accused(MemberState state) {
        return state == MemberState.SUSPECT || state == MemberState.FAILED;
    }

    /** The four bytes and the port of an IPv4 address in its one usual form, or null. */
    private static int[] parts(String address) {
        int[] parts = new int[5];
        int part = 0;
        int digits = 0;
        for (int i = 0; i < address.length(); i++) {
            char c = address.charAt(i);
            if (c >= '0' && c <= '9' && !(digits > 0 && parts[part] == 0) && digits < 5) {
                parts[part] = parts[part] * 10 + c - '0';
                digits++;
            } else if (digits > 0 && (c == '.' && part < 3 || c == ':' && part == 3)) {
                part++;
                digits = 0;
            } else {
                return null;
            }
        }
        boolean right = part == 4 && digits > 0 && parts[4] <= 0xffff;
        for (int i = 0; i < 4; i++) {
            right &= parts[i] <= 255;
        }
        return right ? parts : null;
    }

    /** Reads what was written; once something is not as it should be, all that follows is empty. */
    private static final class Reader {
        private final byte[] bytes;
        private final int length;
        private int at;
        private boolean bad;

        Reader(byte[] bytes, int from, int length) {
            this.bytes = bytes;
            this.at = from;
            this.length = from + length;
        }

        boolean good() {
            return !bad;
        }

        boolean over() {
            return at == length;
        }

        boolean expect(boolean right) {
            bad |= !right;
            return right;
        }

        long number(int size) {
            if (!expect(!bad && at + size <= length)) {
                return 0;
            }
            long value = 0;
            for (int i = 0; i < size; i++) {
                value = value << 8 | bytes[at++] & 0xff;
            }
            return value;
        }

        byte[] bytes(int size) {
            if (!expect(!bad && at + size <= length)) {
                return new byte[0];
            }
            at += size;
            return Arrays.copyOfRange(bytes, at - size, at);
        }

        String text() {
            String text = new String(bytes((int) number(1)), ISO_8859_1);
            expect(text.isEmpty() || isValidName(text));
            return bad ? "" : text;
        }

        String name() {
            String name = text();
            expect(!name.isEmpty());
            return name;
        }

        String address() {
            int kind = (int) number(1);
            if (kind == 4) {
                String address = number(1) + "." + number(1) + "." + number(1) + "." + number(1);
                return address + ":" + number(2);
            }
            String address = new String(bytes(kind), ISO_8859_1);
            // Texts alone that are no IPv4: one address has one form, or views could differ for
            // good.
            expect(
                    kind > 4
                            && kind <= MAX_ADDRESS_LENGTH
                            && isAddress(address)
                            && parts(address) == null);
            return address;
        }

        long generation() {
            long generation = number(6);
            expect(generation <= MAX_GENERATION);
            return generation;
        }

        int incarnation() {
            int incarnation = (int) number(4);
            expect(incarnation >= 0 && incarnation < Integer.MAX_VALUE);
            return incarnation;
        }

        MemberUpdate update() {
            int state = (int) number(1);
            if (!expect(state < MemberState.values().length)) {
                return null;
            }
            MemberState s = MemberState.values()[state];
            return new MemberUpdate(
                    name(),
                    address(),
                    generation(),
                    incarnation(),
                    s,
                    accused(s) ? (int) number(4) : 0);
        }
    }

    private static boolean isAddress(String text) {
        boolean right = text.startsWith("[");
        for (int i = 0; i < text.length() && right; i++) {
            char c = text.charAt(i);
            right = c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || ":[].".indexOf(c) >= 0;
        }
        return right;
    }
}

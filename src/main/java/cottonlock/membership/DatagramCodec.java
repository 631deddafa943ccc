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
    static final int LONGEST = 256;

    static final int MAGIC = 0xFB;

    /** Raised with each change of the layout that an older process would misread. */
    private static final int VERSION = 1;

    /** Characters of a name: two words and a head with such names still fit. */
    static final int LONGEST_NAME = 32;

    /** An address as text, IPv6 in brackets with a port. */
    static final int LONGEST_ADDRESS = 47;

    /** Parts of the names that a view in short has at most. */
    static final int MOST_PARTS = 32;

    /** Lives beyond this are nobody's: the year 6429 in milliseconds, with room to raise them. */
    static final long LAST_LIFE = 1L << 47;

    private static final int HEARD = 1 << 3;
    private static final int END = 1 << 4;

    /** Bytes of the check. */
    private static final int CHECK = 4;

    /** Where the flags stand. */
    private static final int FLAGS = 2;

    private DatagramCodec() {}

    /** Writes a message's head and its own fields; words may follow. */
    static Writer begin(Message m, int most) {
        Writer out = new Writer(most);
        out.number(MAGIC, 1);
        out.number(VERSION << 4 | m.kind.ordinal(), 1);
        out.number(m.sender.state().ordinal() | (m.heard ? HEARD : 0) | (m.end ? END : 0), 1);
        out.text(m.sender.name());
        out.address(m.sender.address());
        out.number(m.sender.life(), 6);
        out.number(m.sender.turn(), 4);
        out.number(m.counter, 4);
        out.number(m.digest, 8);
        out.number(m.lag, 2);
        switch (m.kind) {
            case PING -> {
                out.number(m.seq, 4);
                out.text(m.target);
                out.text(m.behalf);
            }
            case ASK -> {
                out.number(m.seq, 4);
                out.text(m.target);
                out.address(m.address);
            }
            case ACK, RELAY, NACK -> out.number(m.seq, 4);
            case MARKS -> {
                out.number(m.marks.length, 1);
                for (int mark : m.marks) {
                    out.number(mark, 4);
                }
            }
            case PAGE -> {
                out.number(m.parts, 1);
                out.number(m.part, 1);
                out.text(m.after);
            }
            case RIDER -> {
                out.number(m.topic, 1);
                out.number(m.body.length, 1);
                out.bytes(m.body);
            }
            default -> {}
        }
        out.words();
        return out;
    }

    /** Reads a datagram; null for bytes that are none of ours, whatever they are. */
    static Message read(byte[] bytes, int length) {
        int inner = Math.min(length, bytes.length) - CHECK;
        if (length > LONGEST
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
                new MemberUpdate(in.name(), in.address(), in.life(), in.turn(), state, 0);
        Message m =
                new Message(
                        Kind.values()[kind & 15],
                        sender,
                        in.number(4),
                        in.number(8),
                        (int) in.number(2));
        m.heard = (flags & HEARD) != 0;
        m.end = (flags & END) != 0;
        switch (m.kind) {
            case PING -> {
                m.seq = (int) in.number(4);
                m.target = in.text();
                m.behalf = in.text();
            }
            case ASK -> {
                m.seq = (int) in.number(4);
                m.target = in.name();
                m.address = in.address();
            }
            case ACK, RELAY, NACK -> m.seq = (int) in.number(4);
            case MARKS -> {
                int n = (int) in.number(1);
                m.marks = new int[in.expect(n >= 1 && n <= MOST_PARTS) ? n : 1];
                for (int i = 0; i < m.marks.length; i++) {
                    m.marks[i] = (int) in.number(4);
                }
            }
            case PAGE -> {
                m.parts = (int) in.number(1);
                m.part = (int) in.number(1);
                m.after = in.text();
                in.expect(m.parts >= 1 && m.parts <= MOST_PARTS && m.part < m.parts);
            }
            case RIDER -> {
                m.topic = (int) in.number(1);
                m.body = in.bytes((int) in.number(1));
            }
            default -> {}
        }
        int words = (int) in.number(1);
        for (int i = 0; i < words && in.good(); i++) {
            m.words.add(in.word());
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
    static boolean isName(String name) {
        boolean right = !name.isEmpty() && name.length() <= LONGEST_NAME;
        for (int i = 0; i < name.length() && right; i++) {
            right = name.charAt(i) > ' ' && name.charAt(i) < 0x7f;
        }
        return right;
    }

    /** The bytes of a datagram to be. */
    static final class Writer {
        private final byte[] bytes = new byte[LONGEST];
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
        boolean word(MemberUpdate w) {
            int size = size(w);
            if (at + size > most || (bytes[count] & 0xff) == 255) {
                return false;
            }
            number(w.state().ordinal(), 1);
            text(w.name());
            address(w.address());
            number(w.life(), 6);
            number(w.turn(), 4);
            if (accused(w.state())) {
                number(w.by(), 4);
            }
            bytes[count]++;
            return true;
        }

        private static int size(MemberUpdate w) {
            int address = parts(w.address()) == null ? 1 + w.address().length() : 7;
            return 1 + 1 + w.name().length() + address + 10 + (accused(w.state()) ? 4 : 0);
        }

        /** The page that was begun goes on to the last name of its part. */
        void end() {
            bytes[FLAGS] |= END;
        }

        /** Bytes of the whole datagram. */
        int size() {
            return at + CHECK;
        }

        byte[] done() {
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
            expect(text.isEmpty() || isName(text));
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
                            && kind <= LONGEST_ADDRESS
                            && isAddress(address)
                            && parts(address) == null);
            return address;
        }

        long life() {
            long life = number(6);
            expect(life <= LAST_LIFE);
            return life;
        }

        int turn() {
            int turn = (int) number(4);
            expect(turn >= 0 && turn < Integer.MAX_VALUE);
            return turn;
        }

        MemberUpdate word() {
            int state = (int) number(1);
            if (!expect(state < MemberState.values().length)) {
                return null;
            }
            MemberState s = MemberState.values()[state];
            return new MemberUpdate(
                    name(), address(), life(), turn(), s, accused(s) ? (int) number(4) : 0);
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

package cottonlock.membership;

import cottonlock.core.Deterministic;

/**
 * The two forms of addresses in datagrams: an IPv4 address with a port in binary, others as text.
 */
@Deterministic
final class AddressFormat {
    /** Maximum length of an address as text: an IPv6 address in brackets with a port. */
    static final int MAX_TEXT_LENGTH = 47;

    /** Bytes of an IPv4 address with its port, without the marker byte before them. */
    static final int IPV4_BYTES = 6;

    private static final int IPV4_OCTETS = 4;
    private static final int MAX_DIGITS = 5;
    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 0xffff;

    /**
     * An IPv4 address with a port.
     *
     * @param host the four octets, the first one in the highest byte
     */
    record Ipv4(int host, int port) {}

    private AddressFormat() {}

    /** Parses an IPv4 address with a port in its one canonical form; null for any other text. */
    static Ipv4 parseIpv4(String address) {
        int[] numbers = new int[IPV4_OCTETS + 1];
        int index = 0;
        int digits = 0;
        for (int i = 0; i < address.length(); i++) {
            char character = address.charAt(i);
            if (isDigit(character) && !(digits > 0 && numbers[index] == 0) && digits < MAX_DIGITS) {
                numbers[index] = numbers[index] * 10 + character - '0';
                digits++;
            } else if (digits > 0 && isSeparator(character, index)) {
                index++;
                digits = 0;
            } else {
                return null;
            }
        }
        int port = numbers[IPV4_OCTETS];
        boolean valid = index == IPV4_OCTETS && digits > 0 && port <= MAX_PORT;
        int host = 0;
        for (int i = 0; i < IPV4_OCTETS; i++) {
            valid &= numbers[i] <= MAX_OCTET;
            host = (host << 8) | numbers[i];
        }
        return valid ? new Ipv4(host, port) : null;
    }

    /**
     * Whether a character ends the number at an index: a colon after the last octet, else a dot.
     */
    private static boolean isSeparator(char character, int index) {
        if (index == IPV4_OCTETS - 1) {
            return character == ':';
        }
        return index < IPV4_OCTETS - 1 && character == '.';
    }

    /** Whether a text consists of the characters of a bracketed IPv6 address with a port. */
    static boolean isBracketed(String text) {
        boolean valid = text.startsWith("[");
        for (int i = 0; i < text.length() && valid; i++) {
            char character = text.charAt(i);
            valid =
                    isDigit(character)
                            || (character >= 'a' && character <= 'f')
                            || ":[].".indexOf(character) >= 0;
        }
        return valid;
    }

    private static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
    }
}

package cottonlock.proxy.http;

/** Parses start lines and header fields strictly, without regular expressions. */
public final class MessageHeadParser {
    /** Characters that a token may contain besides letters and digits (RFC 9110, section 5.6.2). */
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

    private static final byte DELETE = 127;
    private static final int LINE_END_LENGTH = 2;

    /** The most digits of which every number fits into a long. */
    private static final int MAX_DECIMAL_DIGITS = 18;

    private MessageHeadParser() {}

    /** Parses a head without the line ends that close it. */
    static MessageHead parse(String text) throws MalformedMessageException {
        int end = lineEnd(text, 0);
        MessageHead head = new MessageHead(text.substring(0, end).split(" ", 3));
        while (end < text.length()) {
            int start = end + LINE_END_LENGTH;
            end = lineEnd(text, start);
            int colon = text.indexOf(':', start);
            if (colon <= start || colon >= end || !isToken(text.substring(start, colon))) {
                throw new MalformedMessageException(400, "not a header field");
            }
            head.add(text.substring(start, colon), text.substring(colon + 1, end).trim());
        }
        return head;
    }

    private static int lineEnd(String text, int start) {
        int end = text.indexOf('\r', start);
        return end < 0 ? text.length() : end;
    }

    /** Whether the octet is a control character that is not permitted in a head. */
    static boolean isForbiddenControl(byte octet) {
        boolean permitted = octet == '\t' || octet == '\r' || octet == '\n';
        return octet == DELETE || (octet >= 0 && octet < ' ' && !permitted);
    }

    /** Whether the text can be a request's target in origin form. */
    static boolean isTarget(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) >= DELETE) {
                return false;
            }
        }
        return text.startsWith("/");
    }

    /** Whether the text is an integer without a sign that is short enough for a long. */
    public static boolean isDecimal(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (!isDigit(text.charAt(i))) {
                return false;
            }
        }
        return !text.isEmpty() && text.length() <= MAX_DECIMAL_DIGITS;
    }

    /** Whether the text is a token (RFC 9110, section 5.6.2). */
    static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            boolean letter =
                    (character >= 'a' && character <= 'z')
                            || (character >= 'A' && character <= 'Z');
            if (!letter && !isDigit(character) && TOKEN_PUNCTUATION.indexOf(character) < 0) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
    }
}

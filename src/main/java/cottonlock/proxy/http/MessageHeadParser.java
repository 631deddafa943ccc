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
        String[] startLine = text.substring(0, end).split(" ", 3);
        int firstField = nextLine(text, 0);
        for (int line = firstField; line <= text.length(); line = nextLine(text, line)) {
            int colon = text.indexOf(':', line);
            if (colon < 0 || colon >= lineEnd(text, line) || !isToken(text, line, colon)) {
                throw new MalformedMessageException(400, "not a header field");
            }
        }
        return new MessageHead(startLine, text, firstField);
    }

    /** Where a line ends that begins at the given place or before it. */
    static int lineEnd(String text, int start) {
        int end = text.indexOf('\r', start);
        return end < 0 ? text.length() : end;
    }

    /**
     * Where the line behind the one at the given place begins; behind the text if it is the last.
     */
    static int nextLine(String text, int start) {
        int end = lineEnd(text, start);
        return end == text.length() ? end + 1 : end + LINE_END_LENGTH;
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
        return isToken(text, 0, text.length());
    }

    private static boolean isToken(String text, int start, int end) {
        for (int i = start; i < end; i++) {
            char character = text.charAt(i);
            boolean letter =
                    (character >= 'a' && character <= 'z')
                            || (character >= 'A' && character <= 'Z');
            if (!letter && !isDigit(character) && TOKEN_PUNCTUATION.indexOf(character) < 0) {
                return false;
            }
        }
        return end > start;
    }

    private static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
    }
}

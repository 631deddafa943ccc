package cottonlock.proxy.http;

import java.util.List;

/**
 * The start line and the header fields of one message. The fields are kept as they were received,
 * so that a head takes no more memory than its bytes, however many fields it has. {@link #method},
 * {@link #target} and {@link #requestVersion} apply to requests, {@link #responseVersion} and
 * {@link #status} to responses.
 */
public final class MessageHead {
    private static final String HTTP_1_0 = "HTTP/1.0";
    private static final String HTTP_1_1 = "HTTP/1.1";
    private static final String ABSOLUTE_FORM = "http://";
    private static final int STATUS_DIGITS = 3;

    /** The words of the start line: at most three, of which the last may contain spaces. */
    private final String[] startLine;

    /** The head as it was received; a line end stands behind each line but the last. */
    private final String text;

    /** Where the line of the first field begins; behind the text if there is none. */
    private final int firstField;

    /**
     * A head without fields.
     *
     * @param startLine the words of the start line: at most three, of which the last may contain
     *     spaces
     */
    public MessageHead(String[] startLine) {
        this(startLine, "", 0);
    }

    /** A head with the fields from a place of the given text on, which have been checked. */
    MessageHead(String[] startLine, String text, int firstField) {
        this.startLine = startLine.clone();
        this.text = text;
        this.firstField = firstField;
    }

    /** A request's method. */
    public String method() {
        return startLine[0];
    }

    /** A request's target in origin form. */
    public String target() {
        return startLine[1];
    }

    /** A request's protocol version. */
    public String requestVersion() {
        return startLine[2];
    }

    /** A response's protocol version. */
    public String responseVersion() {
        return startLine[0];
    }

    /** A response's status: three digits. */
    public String status() {
        return startLine[1];
    }

    /** Whether the message is an HTTP/1.0 message. */
    boolean isHttp10() {
        return List.of(startLine).contains(HTTP_1_0);
    }

    /** Checks a request's start line, and converts a target in absolute form to origin form. */
    void checkRequestLine() throws MalformedMessageException {
        boolean complete = startLine.length == 3;
        if (complete && target().startsWith(ABSOLUTE_FORM)) {
            int path = target().indexOf('/', ABSOLUTE_FORM.length());
            startLine[1] = path < 0 ? "/" : target().substring(path);
        }
        if (!complete
                || !MessageHeadParser.isToken(method())
                || !MessageHeadParser.isTarget(target())
                || !requestVersion().startsWith("HTTP/")) {
            throw new MalformedMessageException(400, "not a request line");
        }
        if (!isSupportedVersion(requestVersion())) {
            throw new MalformedMessageException(505, "neither HTTP/1.1 nor HTTP/1.0");
        }
        if (requestVersion().equals(HTTP_1_1) && singleValue("Host") == null) {
            throw new MalformedMessageException(400, "no Host");
        }
    }

    /** Checks a response's start line. */
    void checkStatusLine() throws MalformedMessageException {
        if (startLine.length < 2
                || !isSupportedVersion(responseVersion())
                || status().length() != STATUS_DIGITS
                || !MessageHeadParser.isDecimal(status())) {
            throw new MalformedMessageException(502, "not a status line");
        }
    }

    private static boolean isSupportedVersion(String version) {
        return version.equals(HTTP_1_1) || version.equals(HTTP_1_0);
    }

    /** Whether a response is an interim one, to be followed by the final response. */
    boolean isInterim() {
        return status().startsWith("1");
    }

    /** Whether a response has no body by its status, regardless of its header fields. */
    boolean hasNoBody() {
        return isInterim() || status().equals("204") || status().equals("304");
    }

    /**
     * The value of a field that may occur only once; null if it is absent.
     *
     * @throws MalformedMessageException if it occurs more than once
     */
    public String singleValue(String name) throws MalformedMessageException {
        int line = nextLineOf(name, firstField);
        if (line < 0) {
            return null;
        }
        if (nextLineOf(name, MessageHeadParser.nextLine(text, line)) >= 0) {
            throw new MalformedMessageException(400, "more than one " + name);
        }
        return valueAt(line, name);
    }

    /** Whether a comma-separated list field contains the given element, ignoring case. */
    public boolean hasListElement(String name, String element) {
        for (int line = nextLineOf(name, firstField);
                line >= 0;
                line = nextLineOf(name, MessageHeadParser.nextLine(text, line))) {
            if (containsElement(valueAt(line, name), element)) {
                return true;
            }
        }
        return false;
    }

    /** Where the next line of a field begins, at or behind the given line; -1 if there is none. */
    private int nextLineOf(String name, int firstLine) {
        for (int line = firstLine;
                line < text.length();
                line = MessageHeadParser.nextLine(text, line)) {
            if (text.regionMatches(true, line, name, 0, name.length())
                    && text.startsWith(":", line + name.length())) {
                return line;
            }
        }
        return -1;
    }

    private String valueAt(int line, String name) {
        int end = MessageHeadParser.lineEnd(text, line);
        return text.substring(line + name.length() + 1, end).trim();
    }

    private static boolean containsElement(String value, String element) {
        for (String part : value.split(",", -1)) {
            if (part.trim().equalsIgnoreCase(element)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the sender keeps the connection open, given its protocol version. */
    public boolean keepsAlive(String version) {
        return version.equals(HTTP_1_1) && !hasListElement("Connection", "close");
    }
}

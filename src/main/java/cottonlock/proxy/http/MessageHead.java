package cottonlock.proxy.http;

import java.util.ArrayList;
import java.util.List;

/**
 * The start line and the header fields of one message. {@link #method}, {@link #target} and {@link
 * #requestVersion} apply to requests, {@link #responseVersion} and {@link #status} to responses.
 */
public final class MessageHead {
    private static final String HTTP_1_0 = "HTTP/1.0";
    private static final String HTTP_1_1 = "HTTP/1.1";
    private static final String ABSOLUTE_FORM = "http://";
    private static final int STATUS_DIGITS = 3;

    /** The words of the start line: at most three, of which the last may contain spaces. */
    private final String[] startLine;

    private final List<String> names = new ArrayList<>();
    private final List<String> values = new ArrayList<>();

    /**
     * A head without fields.
     *
     * @param startLine the words of the start line: at most three, of which the last may contain
     *     spaces
     */
    public MessageHead(String[] startLine) {
        this.startLine = startLine.clone();
    }

    /** Appends a field. */
    public void add(String name, String value) {
        names.add(name);
        values.add(value);
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
        String found = null;
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                if (found != null) {
                    throw new MalformedMessageException(400, "more than one " + name);
                }
                found = values.get(i);
            }
        }
        return found;
    }

    /** Whether a comma-separated list field contains the given element, ignoring case. */
    public boolean hasListElement(String name, String element) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name) && containsElement(values.get(i), element)) {
                return true;
            }
        }
        return false;
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

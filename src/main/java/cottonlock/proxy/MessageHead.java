package cottonlock.proxy;

import java.util.ArrayList;
import java.util.List;

/** The start line and the header fields of one message. */
public final class MessageHead {
    /** Method, target and version of a request; version, status and reason of an answer. */
    public final String[] start;

    private final List<String> names = new ArrayList<>();
    private final List<String> values = new ArrayList<>();

    MessageHead(String[] start) {
        this.start = start;
    }

    void add(String name, String value) {
        names.add(name);
        values.add(value);
    }

    /** The value of a field that may stand only once, or null. */
    String only(String name) throws MalformedMessageException {
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

    /** Whether a field that lists words holds the given one. */
    boolean lists(String name, String word) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                for (String part : values.get(i).split(",", -1)) {
                    if (part.trim().equalsIgnoreCase(word)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** Whether the sender keeps the connection, given the version that it speaks. */
    boolean keepsAlive(String version) {
        return version.equals("HTTP/1.1") && !lists("Connection", "close");
    }
}

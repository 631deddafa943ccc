package cottonlock.proxy.io;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON: objects become maps, arrays lists, strings and numbers strings as written. */
public final class JsonReader {
    /** Deeper than any list or settings; the small stacks bear it. */
    private static final int DEEPEST = 32;

    private final String text;
    private int at;

    private JsonReader(String text) {
        this.text = text;
    }

    public static Object read(String text) {
        JsonReader json = new JsonReader(text);
        Object value = json.value(0);
        json.space();
        if (json.at < text.length()) {
            throw json.bad("more than one value");
        }
        return value;
    }

    /**
     * Tells, of a text that comes in lines, whether an object or array goes on behind what has
     * come.
     */
    public static final class Nesting {
        private int depth;
        private boolean quoted;

        public void add(CharSequence line) {
            for (int i = 0; i < line.length(); i++) {
                char c = line.charAt(i);
                if (quoted) {
                    // What stands behind a backslash ends no string.
                    i += c == '\\' ? 1 : 0;
                    quoted = c != '"';
                } else {
                    quoted = c == '"';
                    depth += c == '{' || c == '[' ? 1 : c == '}' || c == ']' ? -1 : 0;
                }
            }
        }

        public boolean goesOn() {
            return depth > 0 || quoted;
        }
    }

    private IllegalArgumentException bad(String fault) {
        return new IllegalArgumentException(fault + " at character " + at);
    }

    private void space() {
        while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
    }

    private char peek() {
        space();
        if (at >= text.length()) {
            throw bad("the text ends early");
        }
        return text.charAt(at);
    }

    private boolean skip(char c) {
        if (peek() == c) {
            at++;
            return true;
        }
        return false;
    }

    private void need(char c) {
        if (!skip(c)) {
            throw bad("no '" + c + "'");
        }
    }

    private Object value(int depth) {
        if (depth > DEEPEST) {
            throw bad("nested too deeply");
        }
        return switch (peek()) {
            case '{' -> object(depth);
            case '[' -> array(depth);
            case '"' -> string();
            default -> word();
        };
    }

    private Map<String, Object> object(int depth) {
        Map<String, Object> map = new LinkedHashMap<>();
        need('{');
        if (skip('}')) {
            return map;
        }
        do {
            if (peek() != '"') {
                throw bad("no name");
            }
            String name = string();
            need(':');
            map.put(name, value(depth + 1));
        } while (skip(','));
        need('}');
        return map;
    }

    private List<Object> array(int depth) {
        List<Object> list = new ArrayList<>();
        need('[');
        if (skip(']')) {
            return list;
        }
        do {
            list.add(value(depth + 1));
        } while (skip(','));
        need(']');
        return list;
    }

    private String string() {
        need('"');
        StringBuilder s = new StringBuilder();
        while (at < text.length()) {
            char c = text.charAt(at++);
            if (c == '"') {
                return s.toString();
            }
            if (c < ' ') {
                throw bad("a control character in a string");
            }
            s.append(c == '\\' ? escaped() : c);
        }
        throw bad("a string without end");
    }

    private char escaped() {
        char c = at < text.length() ? text.charAt(at++) : ' ';
        switch (c) {
            case '"', '\\', '/':
                return c;
            case 'b':
                return '\b';
            case 'f':
                return '\f';
            case 'n':
                return '\n';
            case 'r':
                return '\r';
            case 't':
                return '\t';
            case 'u':
                if (at + 4 <= text.length()
                        && text.substring(at, at + 4).matches("[0-9a-fA-F]{4}")) {
                    at += 4;
                    return (char) Integer.parseInt(text.substring(at - 4, at), 16);
                }
                throw bad("not an escape");
            default:
                throw bad("not an escape");
        }
    }

    /** A number, true, false or null, as it stands; null as null. */
    private String word() {
        int from = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(from, at);
        if (word.equals("null")) {
            return null;
        }
        if (!word.matches("true|false|-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][-+]?[0-9]+)?")) {
            throw bad("not a value: " + word);
        }
        return word;
    }
}

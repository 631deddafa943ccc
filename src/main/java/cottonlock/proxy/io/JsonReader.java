package cottonlock.proxy.io;

import cottonlock.proxy.io.JsonValue.JsonArray;
import cottonlock.proxy.io.JsonValue.JsonNull;
import cottonlock.proxy.io.JsonValue.JsonObject;
import cottonlock.proxy.io.JsonValue.JsonScalar;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Parses JSON texts (RFC 8259). If an object repeats a field name, the last field is used. */
public final class JsonReader {
    /** Limits the recursion, as threads of the proxy have small stacks. */
    private static final int MAX_DEPTH = 32;

    private static final int UNICODE_ESCAPE_DIGITS = 4;
    private static final Pattern UNICODE_ESCAPE = Pattern.compile("[0-9a-fA-F]{4}");
    private static final Pattern LITERAL =
            Pattern.compile("true|false|-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][-+]?[0-9]+)?");

    private final String text;
    private int position;

    private JsonReader(String text) {
        this.text = text;
    }

    /**
     * Parses a text that consists of one value.
     *
     * @throws MalformedJsonException if the text is anything else
     */
    public static JsonValue read(String text) {
        JsonReader json = new JsonReader(text);
        JsonValue value = json.parseValue(0);
        json.skipSpace();
        if (json.position < text.length()) {
            throw json.malformed("more than one value");
        }
        return value;
    }

    private MalformedJsonException malformed(String fault) {
        return new MalformedJsonException(fault, position);
    }

    private void skipSpace() {
        while (position < text.length() && " \t\r\n".indexOf(text.charAt(position)) >= 0) {
            position++;
        }
    }

    private char peek() {
        skipSpace();
        if (position >= text.length()) {
            throw malformed("the text ends early");
        }
        return text.charAt(position);
    }

    private boolean skip(char expected) {
        if (peek() == expected) {
            position++;
            return true;
        }
        return false;
    }

    private void require(char expected) {
        if (!skip(expected)) {
            throw malformed("no '" + expected + "'");
        }
    }

    private JsonValue parseValue(int depth) {
        if (depth > MAX_DEPTH) {
            throw malformed("nested too deeply");
        }
        return switch (peek()) {
            case '{' -> parseObject(depth);
            case '[' -> parseArray(depth);
            case '"' -> new JsonScalar(parseString());
            default -> parseLiteral();
        };
    }

    private JsonObject parseObject(int depth) {
        Map<String, JsonValue> fields = new LinkedHashMap<>();
        require('{');
        if (skip('}')) {
            return new JsonObject(fields);
        }
        do {
            if (peek() != '"') {
                throw malformed("no name");
            }
            String name = parseString();
            require(':');
            fields.put(name, parseValue(depth + 1));
        } while (skip(','));
        require('}');
        return new JsonObject(fields);
    }

    private JsonArray parseArray(int depth) {
        List<JsonValue> elements = new ArrayList<>();
        require('[');
        if (skip(']')) {
            return new JsonArray(elements);
        }
        do {
            elements.add(parseValue(depth + 1));
        } while (skip(','));
        require(']');
        return new JsonArray(elements);
    }

    private String parseString() {
        require('"');
        StringBuilder content = new StringBuilder();
        while (position < text.length()) {
            char character = text.charAt(position++);
            if (character == '"') {
                return content.toString();
            }
            if (character < ' ') {
                throw malformed("a control character in a string");
            }
            content.append(character == '\\' ? parseEscape() : character);
        }
        throw malformed("a string without end");
    }

    private char parseEscape() {
        char character = position < text.length() ? text.charAt(position++) : ' ';
        switch (character) {
            case '"', '\\', '/':
                return character;
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
                return parseUnicodeEscape();
            default:
                throw malformed("not an escape");
        }
    }

    private char parseUnicodeEscape() {
        int end = position + UNICODE_ESCAPE_DIGITS;
        if (end > text.length()) {
            throw malformed("not an escape");
        }
        String digits = text.substring(position, end);
        if (!UNICODE_ESCAPE.matcher(digits).matches()) {
            throw malformed("not an escape");
        }
        position = end;
        return (char) Integer.parseInt(digits, 16);
    }

    /** Parses a number, true, false or null. */
    private JsonValue parseLiteral() {
        int start = position;
        while (position < text.length() && ",]} \t\r\n".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        String word = text.substring(start, position);
        if (word.equals("null")) {
            return JsonNull.NULL;
        }
        if (!LITERAL.matcher(word).matches()) {
            throw malformed("not a value: " + word);
        }
        return new JsonScalar(word);
    }
}

package cottonlock.proxy.io;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An immutable JSON value. Strings, numbers and booleans are all scalars that hold their text, as
 * the messages that the proxy reads allow numbers to be quoted. The result of {@code toString} is
 * the text of a scalar; that of an object or array is meant for messages, and is not JSON.
 */
public sealed interface JsonValue {
    /**
     * An object.
     *
     * @param fields its fields, in the order of the text
     */
    record JsonObject(Map<String, JsonValue> fields) implements JsonValue {
        /** Copies the fields. */
        public JsonObject {
            fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
        }

        /** Whether the object has a field of that name, which may be null. */
        public boolean has(String name) {
            return fields.containsKey(name);
        }

        /** The field's value; {@link JsonNull#NULL} if there is none. */
        public JsonValue get(String name) {
            return fields.getOrDefault(name, JsonNull.NULL);
        }

        /** The text of a scalar field; the fallback, which may be null, for anything else. */
        public String text(String name, String fallback) {
            return get(name) instanceof JsonScalar scalar ? scalar.text() : fallback;
        }

        @Override
        public String toString() {
            return fields.toString();
        }
    }

    /**
     * An array.
     *
     * @param elements its elements, in the order of the text
     */
    record JsonArray(List<JsonValue> elements) implements JsonValue {
        /** Copies the elements. */
        public JsonArray {
            elements = List.copyOf(elements);
        }

        @Override
        public String toString() {
            return elements.toString();
        }
    }

    /**
     * A string, number or boolean.
     *
     * @param text the content of a string; a number or boolean as written
     */
    record JsonScalar(String text) implements JsonValue {
        @Override
        public String toString() {
            return text;
        }
    }

    /** Null; also represents an absent field. */
    enum JsonNull implements JsonValue {
        /** The only instance. */
        NULL;

        @Override
        public String toString() {
            return "null";
        }
    }
}

package cottonlock.proxy.io;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON value, immutable. Strings, numbers and booleans are all scalars with their text: the
 * messages that the proxy reads allow a number to be quoted. The values' {@code toString} is for
 * messages to people.
 */
public sealed interface JsonValue {
    /**
     * An object.
     *
     * @param fields its fields in the order of the text
     */
    record JsonObject(Map<String, JsonValue> fields) implements JsonValue {
        /** Copies the fields. */
        public JsonObject {
            fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
        }

        /** Whether the object has a field of that name, be it null. */
        public boolean has(String name) {
            return fields.containsKey(name);
        }

        /** The field's value; {@link JsonNull} where there is none. */
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
     * @param elements in the order of the text
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
     * @param text a string's content, anything else as written
     */
    record JsonScalar(String text) implements JsonValue {
        @Override
        public String toString() {
            return text;
        }
    }

    /** Null, and what stands for a field that is absent. */
    enum JsonNull implements JsonValue {
        /** The only one. */
        NULL;

        @Override
        public String toString() {
            return "null";
        }
    }
}

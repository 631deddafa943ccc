package cottonlock.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Reads the fields of one table of a configuration file.
 *
 * <p>A fault doesn't stop the reading: the field gets its default, and {@link #throwIfInvalid}
 * reports the faults of all tables of the file together, including unknown keys. Not thread-safe.
 */
public final class Fields {
    /** The format of an address, for error messages. */
    public static final String ADDRESS_FORM =
            "a numeric address with a port, such as 127.0.0.1:5000";

    private static final String BYTE = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
    private static final String ADDRESS =
            "(" + BYTE + "(\\." + BYTE + "){3}|\\[[0-9a-fA-F:.]+\\]):[0-9]{1,5}";
    private static final int MAX_PORT = 0xffff;

    /** Whole numbers below this limit are written without a decimal point. */
    private static final double MAX_EXACT_WHOLE = 1e15;

    /** A fault and its line, by which faults are sorted. */
    private record Fault(int line, String text) {}

    private final ConfigurationDocument document;

    /** The path of this table, with a dot after each key; empty for the top-level table. */
    private final String path;

    /** The faults of the file, shared by all its tables. */
    private final List<Fault> faults;

    /** All tables of the file that have been read. */
    private final List<Fields> tables;

    private final Set<String> requestedKeys = new LinkedHashSet<>();
    private boolean allowsOtherKeys;

    private Fields(
            ConfigurationDocument document, String path, List<Fault> faults, List<Fields> tables) {
        this.document = document;
        this.path = path;
        this.faults = faults;
        this.tables = tables;
        tables.add(this);
    }

    /**
     * Returns the fields of a file's top-level table.
     *
     * @throws InvalidConfigurationException if the document is not a table
     */
    public static Fields of(ConfigurationDocument document) throws InvalidConfigurationException {
        if (!document.isTable()) {
            throw InvalidConfigurationException.of(
                    document.file,
                    document.line,
                    "",
                    "expected a table, found " + document.describe());
        }
        return new Fields(document, "", new ArrayList<>(), new ArrayList<>());
    }

    /**
     * Ends the reading of a file and reports its faults.
     *
     * @throws InvalidConfigurationException if any of its tables has a fault or an unknown key
     */
    public void throwIfInvalid() throws InvalidConfigurationException {
        tables.forEach(Fields::reportUnknownKeys);
        if (!faults.isEmpty()) {
            faults.sort(Comparator.comparingInt(Fault::line));
            throw new InvalidConfigurationException(faults.stream().map(Fault::text).toList());
        }
    }

    private void reportUnknownKeys() {
        if (allowsOtherKeys) {
            return;
        }
        document.entries()
                .forEach(
                        (key, value) -> {
                            if (!requestedKeys.contains(key)) {
                                addFault(key, value, "unknown key" + hint(key));
                            }
                        });
    }

    private String hint(String key) {
        return EditDistance.nearest(key, requestedKeys)
                .map(known -> "; did you mean " + known + "?")
                .orElse("; known keys: " + String.join(", ", requestedKeys));
    }

    /** Accepts unknown keys in this table. */
    public void allowOtherKeys() {
        allowsOtherKeys = true;
    }

    /**
     * Adds a fault that the check of a single field can't find.
     *
     * @param key the key at which the fault is reported; if it is missing, the table's line is used
     * @param expected what was expected and what was found
     */
    public void addFault(String key, String expected) {
        addFault(key, document.entries().getOrDefault(key, document), expected);
    }

    private void addFault(String key, ConfigurationDocument location, String text) {
        faults.add(
                new Fault(
                        location.line,
                        InvalidConfigurationException.formatFault(
                                location.file, location.line, path + key, text)));
    }

    /** Returns whether the table has the key. */
    public boolean has(String key) {
        requestedKeys.add(key);
        return document.has(key);
    }

    /** Returns the value at a key, or null. */
    private ConfigurationDocument get(String key) {
        requestedKeys.add(key);
        return document.entries().get(key);
    }

    /**
     * Returns a string.
     *
     * @param defaultValue null if the key is required
     */
    public String text(String key, String defaultValue) {
        String fallback = defaultValue == null ? "" : defaultValue;
        ConfigurationDocument value = get(key);
        if (value == null) {
            if (defaultValue == null) {
                addFault(key, document, "expected a text, but the key is not there");
            }
            return fallback;
        }
        Optional<String> text = value.text();
        if (text.isEmpty()) {
            addFault(key, value, "expected a text, found " + value.describe());
        }
        return text.orElse(fallback);
    }

    /**
     * Returns one of several words.
     *
     * @param defaultValue null if the key is required
     */
    public String oneOf(String key, String defaultValue, String... words) {
        String text = text(key, defaultValue);
        if (List.of(words).contains(text)) {
            return text;
        }
        ConfigurationDocument value = get(key);
        if (value != null) {
            addFault(
                    key,
                    value,
                    "expected one of " + String.join(", ", words) + ", found " + value.describe());
        }
        return defaultValue == null ? words[0] : defaultValue;
    }

    /**
     * Returns one of several words. A word that was renamed is read as its new name, and a warning
     * is logged.
     *
     * @param defaultValue null if the key is required
     * @param renamed the new names by old names
     */
    public String oneOf(
            String key, String defaultValue, Map<String, String> renamed, String... words) {
        ConfigurationDocument value = document.entries().get(key);
        String newName = value == null ? null : renamed.get(value.plainText());
        if (newName == null) {
            return oneOf(key, defaultValue, words);
        }
        requestedKeys.add(key);
        String warning = "\"" + value.plainText() + "\" has been renamed to \"" + newName + "\"";
        System.getLogger("cottonlock")
                .log(
                        System.Logger.Level.WARNING,
                        InvalidConfigurationException.formatFault(
                                value.file, value.line, path + key, warning));
        return newName;
    }

    /**
     * Returns a string that matches a pattern.
     *
     * @param defaultValue null if the key is required
     * @param description the pattern in words, for the error message
     */
    public String matching(String key, String defaultValue, String pattern, String description) {
        String text = text(key, defaultValue);
        if (hasText(key) && !text.matches(pattern)) {
            addFault(key, "expected " + description + ", found \"" + text + "\"");
        }
        return text;
    }

    private boolean hasText(String key) {
        ConfigurationDocument value = get(key);
        return value != null && value.text().isPresent();
    }

    /** Returns whether a string is a numeric IPv4 or bracketed IPv6 address with a port. */
    public static boolean isAddress(String text) {
        return text.matches(ADDRESS)
                && Integer.parseInt(text.substring(text.lastIndexOf(':') + 1)) <= MAX_PORT;
    }

    /**
     * Returns a numeric address with a port.
     *
     * @param defaultValue null if the key is required; otherwise the value may also be empty
     */
    public String address(String key, String defaultValue) {
        String text = text(key, defaultValue);
        boolean mayBeEmpty = defaultValue != null;
        if (hasText(key) && !isAddress(text) && !(text.isEmpty() && mayBeEmpty)) {
            addFault(key, "expected " + ADDRESS_FORM + ", found \"" + text + "\"");
        }
        return text;
    }

    /** Returns a boolean. */
    public boolean bool(String key, boolean defaultValue) {
        ConfigurationDocument value = get(key);
        if (value == null) {
            return defaultValue;
        }
        Optional<Boolean> flag = value.flag();
        if (flag.isEmpty()) {
            addFault(key, value, "expected true or false, found " + value.describe());
        }
        return flag.orElse(defaultValue);
    }

    /**
     * Returns a number.
     *
     * @param defaultValue NaN if the key is required
     * @param min the minimum
     * @param max the maximum
     */
    public double number(String key, double defaultValue, double min, double max) {
        boolean required = Double.isNaN(defaultValue);
        double fallback = required ? min : defaultValue;
        ConfigurationDocument value = get(key);
        if (value == null) {
            if (required) {
                addFault(key, document, "expected a number, but the key is not there");
            }
            return fallback;
        }
        OptionalDouble number = value.number();
        if (number.isEmpty()) {
            addFault(key, value, "expected a number, found " + value.describe());
            return fallback;
        }
        if (number.getAsDouble() >= min && number.getAsDouble() <= max) {
            return number.getAsDouble();
        }
        addFault(key, value, "expected " + range(min, max) + ", found " + value.describe());
        return fallback;
    }

    /**
     * Returns a whole number.
     *
     * @param min the minimum
     * @param max the maximum
     */
    public int integer(String key, int defaultValue, int min, int max) {
        double value = number(key, defaultValue, min, max);
        if (value != Math.rint(value)) {
            addFault(key, "expected a whole number, found " + get(key).describe());
            return defaultValue;
        }
        return (int) value;
    }

    private static String range(double min, double max) {
        return max == Double.MAX_VALUE
                ? "a number of " + format(min) + " or more"
                : "a number from " + format(min) + " to " + format(max);
    }

    private static String format(double value) {
        return value == Math.rint(value) && Math.abs(value) < MAX_EXACT_WHOLE
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    /** Returns a list of strings. */
    public List<String> texts(String key, List<String> defaultValue) {
        ConfigurationDocument value = get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isList()) {
            addFault(key, value, "expected a list of texts, found " + value.describe());
            return defaultValue;
        }
        List<String> texts = new ArrayList<>();
        for (ConfigurationDocument item : value.items()) {
            if (item.text().isPresent()) {
                texts.add(item.text().get());
            } else {
                addFault(key, item, "expected texts in the list, found " + item.describe());
            }
        }
        return texts;
    }

    /** Returns a table; an empty one if the key is missing. */
    public Fields table(String key) {
        ConfigurationDocument value = get(key);
        if (value != null && !value.isTable()) {
            addFault(key, value, "expected a table, found " + value.describe());
        }
        return new Fields(
                value == null || !value.isTable() ? document.emptyTable() : value,
                path + key + ".",
                faults,
                tables);
    }

    /** Returns a list of tables; an empty one if the key is missing. */
    public List<Fields> tables(String key) {
        ConfigurationDocument value = get(key);
        if (value == null) {
            return new ArrayList<>();
        }
        if (!value.isList()) {
            addFault(key, value, "expected a list of tables, found " + value.describe());
        }
        List<Fields> found = new ArrayList<>();
        for (int i = 0; i < value.items().size(); i++) {
            ConfigurationDocument item = value.items().get(i);
            if (item.isTable()) {
                found.add(new Fields(item, path + key + "." + i + ".", faults, tables));
            } else {
                addFault(key, item, "expected tables in the list, found " + item.describe());
            }
        }
        return found;
    }

    /** Returns the table's keys. */
    public Set<String> keys() {
        return Set.copyOf(document.entries().keySet());
    }

    /** Returns the name of the file. */
    public String file() {
        return document.file;
    }

    /**
     * Returns the table's entries as lines of TOML.
     *
     * @param excludedKeys keys that are left out; must include those of tables
     */
    public String toToml(Set<String> excludedKeys) {
        StringBuilder lines = new StringBuilder();
        document.entries()
                .forEach(
                        (key, value) -> {
                            if (!excludedKeys.contains(key)) {
                                lines.append(key).append(" = ").append(value.toToml()).append('\n');
                            }
                        });
        return lines.toString();
    }

    /** Returns a value as shown in reports; empty if the key is missing. */
    public String plainText(String key) {
        ConfigurationDocument value = document.entries().get(key);
        return value == null ? "" : value.plainText();
    }
}

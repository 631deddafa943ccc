package cottonlock.config;

import cottonlock.config.ConfigurationValue.Array;
import cottonlock.config.ConfigurationValue.Flag;
import cottonlock.config.ConfigurationValue.Table;
import cottonlock.config.ConfigurationValue.Text;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.Collectors;

/**
 * A value of a configuration file with its location; the root is the file's top-level table. Not
 * thread-safe.
 */
public final class ConfigurationDocument {
    private static final String INDEX_FORM = "[0-9]{1,6}";

    /** The file's name, or the command-line option that set this value. */
    final String file;

    /** The line in the file, starting at 1; 0 for a value set on the command line. */
    final int line;

    private final ConfigurationValue value;

    ConfigurationDocument(String file, int line, ConfigurationValue value) {
        this.file = file;
        this.line = line;
        this.value = value;
    }

    /**
     * Reads a TOML 1.0 file.
     *
     * @throws InvalidConfigurationException if the file can't be read or isn't TOML
     */
    public static ConfigurationDocument toml(Path file) throws InvalidConfigurationException {
        return TomlDocumentReader.read(file);
    }

    /**
     * Reads a JSON file (RFC 8259) with unique keys in each object.
     *
     * @throws InvalidConfigurationException if the file can't be read, isn't JSON or repeats a key
     */
    public static ConfigurationDocument json(Path file) throws InvalidConfigurationException {
        return JsonDocumentReader.read(file);
    }

    /**
     * Sets the value at a path, as {@code --set path=value} on the command line does. The path
     * consists of keys and list indexes separated by dots; missing tables are created. A value that
     * is not TOML is read as a string.
     *
     * @param pair the path and the value, separated by an equals sign
     * @throws InvalidConfigurationException if a parent in the path is neither a table nor a list,
     *     or an index is not in its list
     */
    public void set(String pair) throws InvalidConfigurationException {
        int equals = pair.indexOf('=');
        String origin = "--set " + pair;
        if (equals <= 0) {
            throw InvalidConfigurationException.of(origin, 0, "", "expected path=value");
        }
        ConfigurationDocument leaf =
                TomlDocumentReader.readValue(origin, pair.substring(equals + 1));
        String[] names = pair.substring(0, equals).trim().split("\\.", -1);
        ConfigurationDocument parent = this;
        for (int i = 0; i < names.length - 1; i++) {
            parent = parent.child(names[i], origin);
        }
        parent.put(names[names.length - 1], leaf, origin);
    }

    /** Returns the value at a key or an index; creates a missing table. */
    private ConfigurationDocument child(String name, String origin)
            throws InvalidConfigurationException {
        if (value instanceof Table table) {
            return table.entries()
                    .computeIfAbsent(
                            name,
                            n ->
                                    new ConfigurationDocument(
                                            origin, 0, new Table(new LinkedHashMap<>())));
        }
        return items().get(index(name, origin));
    }

    private void put(String name, ConfigurationDocument leaf, String origin)
            throws InvalidConfigurationException {
        if (value instanceof Table table) {
            table.entries().put(name, leaf);
        } else {
            items().set(index(name, origin), leaf);
        }
    }

    private int index(String name, String origin) throws InvalidConfigurationException {
        if (!isList()) {
            throw InvalidConfigurationException.of(
                    origin, 0, name, "leads nowhere: its parent is neither a table nor a list");
        }
        int size = items().size();
        if (!name.matches(INDEX_FORM) || Integer.parseInt(name) >= size) {
            throw InvalidConfigurationException.of(
                    origin, 0, name, "leads nowhere: expected a place below " + size);
        }
        return Integer.parseInt(name);
    }

    /** Returns whether this is a table that has the key. */
    public boolean has(String key) {
        return value instanceof Table table && table.entries().containsKey(key);
    }

    /** Returns an empty table with this value's location. */
    ConfigurationDocument emptyTable() {
        return new ConfigurationDocument(file, line, new Table(new LinkedHashMap<>()));
    }

    boolean isTable() {
        return value instanceof Table;
    }

    boolean isList() {
        return value instanceof Array;
    }

    /** Returns a table's entries; empty if this is not a table. */
    Map<String, ConfigurationDocument> entries() {
        return value instanceof Table table ? table.entries() : Map.of();
    }

    /** Returns a list's items; empty if this is not a list. */
    List<ConfigurationDocument> items() {
        return value instanceof Array array ? array.items() : List.of();
    }

    Optional<String> text() {
        return value instanceof Text text ? Optional.of(text.text()) : Optional.empty();
    }

    Optional<Boolean> flag() {
        return value instanceof Flag flag ? Optional.of(flag.value()) : Optional.empty();
    }

    OptionalDouble number() {
        if (value instanceof ConfigurationValue.WholeNumber whole) {
            return OptionalDouble.of((double) whole.value());
        }
        if (value instanceof ConfigurationValue.DecimalNumber decimal) {
            return OptionalDouble.of(decimal.value());
        }
        return OptionalDouble.empty();
    }

    /** Returns the value as shown in error messages. */
    String describe() {
        return value.describe();
    }

    /** Returns the value as shown in reports. */
    String plainText() {
        return value.plainText();
    }

    /** Returns a scalar, or a list of scalars, as TOML. */
    String toToml() {
        if (isList()) {
            return items().stream()
                    .map(ConfigurationDocument::toToml)
                    .collect(Collectors.joining(", ", "[", "]"));
        }
        return value instanceof Text text
                ? '"' + text.text().replace("\\", "\\\\").replace("\"", "\\\"") + '"'
                : value.plainText();
    }
}

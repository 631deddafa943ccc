package cottonlock.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/**
 * One value of a file with the line it stands on: a table, a list, a text, a truth, a whole or a
 * decimal number. Line 0 is none: the value was given on the command line.
 */
public final class ConfigurationDocument {
    /**
     * How deep values may lie in each other: far more than any file here, less than a stack holds.
     */
    private static final int DEEPEST = 64;

    /** Characters of a file: a scenario or a list of some thousand backends is well below. */
    private static final long LONGEST = 16 << 20;

    final String file;
    final int line;

    /**
     * A {@code Map<String, ConfigurationDocument>}, a {@code List<ConfigurationDocument>}, String,
     * Boolean, Long or Double.
     */
    private Object value;

    private ConfigurationDocument(String file, int line, Object value) {
        this.file = file;
        this.line = line;
        this.value = value;
    }

    /** Reads a TOML 1.0 file. */
    public static ConfigurationDocument toml(Path file) throws InvalidConfigurationException {
        String name = file.toString();
        TomlParseResult result = Toml.parse(text(file));
        if (result.hasErrors()) {
            List<String> faults = new ArrayList<>();
            result.errors()
                    .forEach(
                            e ->
                                    faults.add(
                                            name
                                                    + ":"
                                                    + e.position().line()
                                                    + ": "
                                                    + e.getMessage()));
            throw new InvalidConfigurationException(faults);
        }
        return table(name, 1, result, 0);
    }

    /** Reads a JSON file (RFC 8259); a key that stands twice in one object is a fault. */
    public static ConfigurationDocument json(Path file) throws InvalidConfigurationException {
        String name = file.toString();
        String text = text(file);
        try (JsonParser parser =
                JsonFactory.builder()
                        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                        .build()
                        .createParser(text)) {
            parser.nextToken();
            ConfigurationDocument doc = json(name, parser, 0);
            if (parser.nextToken() != null) {
                throw InvalidConfigurationException.of(
                        name, line(parser), "", "more than one value");
            }
            return doc;
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw InvalidConfigurationException.of(name, line, "", e.getOriginalMessage());
        } catch (IOException e) {
            throw InvalidConfigurationException.of(
                    name, 0, "", "cannot be read: " + e.getMessage());
        }
    }

    private static String text(Path file) throws InvalidConfigurationException {
        try {
            if (Files.size(file) > LONGEST) {
                throw InvalidConfigurationException.of(
                        file.toString(), 0, "", "longer than " + (LONGEST >> 20) + " MiB");
            }
            return Files.readString(file);
        } catch (NoSuchFileException e) {
            throw InvalidConfigurationException.of(file.toString(), 0, "", "there is no such file");
        } catch (MalformedInputException e) {
            throw InvalidConfigurationException.of(file.toString(), 0, "", "is not UTF-8");
        } catch (IOException e) {
            throw InvalidConfigurationException.of(
                    file.toString(), 0, "", "cannot be read: " + e.getMessage());
        }
    }

    private static int line(JsonParser parser) {
        return parser.currentTokenLocation().getLineNr();
    }

    private static ConfigurationDocument json(String file, JsonParser parser, int depth)
            throws IOException, InvalidConfigurationException {
        int line = line(parser);
        JsonToken token = parser.currentToken();
        if (token == null || depth > DEEPEST) {
            throw InvalidConfigurationException.of(
                    file,
                    line,
                    "",
                    token == null ? "is empty" : "values lie too deep in each other");
        }
        switch (token) {
            case START_OBJECT -> {
                Map<String, ConfigurationDocument> map = new LinkedHashMap<>();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String key = parser.currentName();
                    parser.nextToken();
                    map.put(key, json(file, parser, depth + 1));
                }
                return new ConfigurationDocument(file, line, map);
            }
            case START_ARRAY -> {
                List<ConfigurationDocument> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(json(file, parser, depth + 1));
                }
                return new ConfigurationDocument(file, line, list);
            }
            case VALUE_NUMBER_INT -> {
                return new ConfigurationDocument(file, line, number(parser));
            }
            case VALUE_NUMBER_FLOAT -> {
                return new ConfigurationDocument(file, line, parser.getDoubleValue());
            }
            case VALUE_TRUE, VALUE_FALSE -> {
                return new ConfigurationDocument(file, line, parser.getBooleanValue());
            }
            case VALUE_NULL -> {
                return new ConfigurationDocument(file, line, "");
            }
            default -> {
                return new ConfigurationDocument(file, line, parser.getText());
            }
        }
    }

    private static Object number(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT, LONG -> (Object) parser.getLongValue();
            default -> (Object) parser.getDoubleValue();
        };
    }

    private static ConfigurationDocument table(String file, int line, TomlTable table, int depth)
            throws InvalidConfigurationException {
        if (depth > DEEPEST) {
            throw InvalidConfigurationException.of(
                    file, line, "", "values lie too deep in each other");
        }
        Map<String, ConfigurationDocument> map = new LinkedHashMap<>();
        for (String key : table.keySet()) {
            List<String> path = List.of(key);
            map.put(key, of(file, table.inputPositionOf(path).line(), table.get(path), depth));
        }
        return new ConfigurationDocument(file, line, map);
    }

    private static ConfigurationDocument of(String file, int line, Object value, int depth)
            throws InvalidConfigurationException {
        if (value instanceof TomlTable table) {
            return table(file, line, table, depth + 1);
        }
        if (value instanceof TomlArray array) {
            List<ConfigurationDocument> list = new ArrayList<>();
            for (int i = 0; i < array.size(); i++) {
                list.add(of(file, array.inputPositionOf(i).line(), array.get(i), depth + 1));
            }
            return new ConfigurationDocument(file, line, list);
        }
        boolean plain =
                value instanceof String || value instanceof Boolean || value instanceof Number;
        return new ConfigurationDocument(file, line, plain ? value : value.toString());
    }

    /**
     * Sets the value at a path, as {@code --set path=value} on the command line does: names and
     * places in lists joined by dots. Tables on the way that are not there yet are made. The value
     * is read as TOML; what is no TOML value is taken for a text.
     *
     * @throws InvalidConfigurationException where the path leads through a plain value or beyond a
     *     list
     */
    public void set(String pair) throws InvalidConfigurationException {
        int equals = pair.indexOf('=');
        String where = "--set " + pair;
        if (equals <= 0) {
            throw InvalidConfigurationException.of(where, 0, "", "expected path=value");
        }
        TomlParseResult read = Toml.parse("v = " + pair.substring(equals + 1));
        ConfigurationDocument leaf =
                read.hasErrors() || read.size() != 1
                        ? new ConfigurationDocument(where, 0, pair.substring(equals + 1))
                        : of(where, 0, read.get("v"), 0);
        String[] names = pair.substring(0, equals).trim().split("\\.", -1);
        ConfigurationDocument at = this;
        for (int i = 0; i < names.length; i++) {
            boolean last = i == names.length - 1;
            if (at.value instanceof Map<?, ?>) {
                at = at.step(names[i], last ? leaf : null, where);
            } else if (at.value instanceof List<?>
                    && names[i].matches("[0-9]{1,6}")
                    && Integer.parseInt(names[i]) < at.list().size()) {
                int place = Integer.parseInt(names[i]);
                if (last) {
                    at.list().set(place, leaf);
                }
                at = at.list().get(place);
            } else {
                throw InvalidConfigurationException.of(
                        where,
                        0,
                        names[i],
                        "leads nowhere: "
                                + (at.value instanceof List<?>
                                        ? "expected a place below " + at.list().size()
                                        : "what it is looked for in is no table"));
            }
        }
    }

    private ConfigurationDocument step(String name, ConfigurationDocument leaf, String where) {
        if (leaf != null) {
            map().put(name, leaf);
            return leaf;
        }
        return map().computeIfAbsent(
                        name,
                        n ->
                                new ConfigurationDocument(
                                        where,
                                        0,
                                        new LinkedHashMap<String, ConfigurationDocument>()));
    }

    /** Whether it is a table that has the key. */
    public boolean has(String key) {
        return isMap() && map().containsKey(key);
    }

    /** A table without fields that stands where this one does. */
    ConfigurationDocument emptyTable() {
        return new ConfigurationDocument(
                file, line, new LinkedHashMap<String, ConfigurationDocument>());
    }

    boolean isMap() {
        return value instanceof Map<?, ?>;
    }

    boolean isList() {
        return value instanceof List<?>;
    }

    Object plain() {
        return value;
    }

    @SuppressWarnings("unchecked")
    Map<String, ConfigurationDocument> map() {
        return (Map<String, ConfigurationDocument>) value;
    }

    @SuppressWarnings("unchecked")
    List<ConfigurationDocument> list() {
        return (List<ConfigurationDocument>) value;
    }

    /** A plain value, or a list of such, as TOML has it. */
    String toml() {
        if (isList()) {
            return list().stream()
                    .map(ConfigurationDocument::toml)
                    .collect(Collectors.joining(", ", "[", "]"));
        }
        return value instanceof String text
                ? '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"'
                : String.valueOf(value);
    }

    /** What kind of value it is, in words. */
    String kind() {
        if (isMap()) {
            return "a table";
        }
        return isList()
                ? "a list"
                : value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
    }
}

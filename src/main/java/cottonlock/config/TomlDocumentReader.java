package cottonlock.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/** Turns TOML into a {@link ConfigurationDocument}. */
final class TomlDocumentReader {
    private TomlDocumentReader() {}

    static ConfigurationDocument read(Path file) throws InvalidConfigurationException {
        String name = file.toString();
        TomlParseResult result = Toml.parse(ConfigurationFiles.readText(file));
        if (result.hasErrors()) {
            throw new InvalidConfigurationException(
                    result.errors().stream().map(error -> faultLine(name, error)).toList());
        }
        return table(name, 1, result, 0);
    }

    private static String faultLine(String file, TomlParseError error) {
        return file + ":" + error.position().line() + ": " + error.getMessage();
    }

    /** Reads one value; text that is not TOML becomes a string. */
    static ConfigurationDocument readValue(String origin, String text)
            throws InvalidConfigurationException {
        TomlParseResult result = Toml.parse("v = " + text);
        if (result.hasErrors() || result.size() != 1) {
            return new ConfigurationDocument(origin, 0, new ConfigurationValue.Text(text));
        }
        return value(origin, 0, result.get("v"), 0);
    }

    private static ConfigurationDocument table(String file, int line, TomlTable table, int depth)
            throws InvalidConfigurationException {
        if (depth > ConfigurationFiles.MAX_DEPTH) {
            throw ConfigurationFiles.tooDeep(file, line);
        }
        Map<String, ConfigurationDocument> entries = new LinkedHashMap<>();
        for (String key : table.keySet()) {
            List<String> path = List.of(key);
            int entryLine = table.inputPositionOf(path).line();
            entries.put(key, value(file, entryLine, table.get(path), depth));
        }
        return new ConfigurationDocument(file, line, new ConfigurationValue.Table(entries));
    }

    /** Converts a value of the TOML library, in which values have no common type. */
    private static ConfigurationDocument value(String file, int line, Object value, int depth)
            throws InvalidConfigurationException {
        if (value instanceof TomlTable table) {
            return table(file, line, table, depth + 1);
        }
        if (value instanceof TomlArray array) {
            return list(file, line, array, depth + 1);
        }
        return new ConfigurationDocument(file, line, plainValue(value));
    }

    private static ConfigurationDocument list(String file, int line, TomlArray array, int depth)
            throws InvalidConfigurationException {
        List<ConfigurationDocument> items = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            items.add(value(file, array.inputPositionOf(i).line(), array.get(i), depth));
        }
        return new ConfigurationDocument(file, line, new ConfigurationValue.Array(items));
    }

    private static ConfigurationValue plainValue(Object value) {
        if (value instanceof Boolean flag) {
            return new ConfigurationValue.Flag(flag);
        }
        if (value instanceof Long whole) {
            return new ConfigurationValue.WholeNumber(whole);
        }
        if (value instanceof Double decimal) {
            return new ConfigurationValue.DecimalNumber(decimal);
        }
        return new ConfigurationValue.Text(value.toString());
    }
}

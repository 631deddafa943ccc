package cottonlock.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Turns JSON into a {@link ConfigurationDocument}. */
final class JsonDocumentReader {
    private final String file;
    private final JsonParser parser;

    private JsonDocumentReader(String file, JsonParser parser) {
        this.file = file;
        this.parser = parser;
    }

    static ConfigurationDocument read(Path path) throws InvalidConfigurationException {
        String file = path.toString();
        String text = ConfigurationFiles.readText(path);
        try (JsonParser parser =
                JsonFactory.builder()
                        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                        .build()
                        .createParser(text)) {
            return new JsonDocumentReader(file, parser).root();
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw InvalidConfigurationException.of(file, line, "", e.getOriginalMessage());
        } catch (IOException e) {
            throw InvalidConfigurationException.of(
                    file, 0, "", "cannot be read: " + e.getMessage());
        }
    }

    private ConfigurationDocument root() throws IOException, InvalidConfigurationException {
        parser.nextToken();
        ConfigurationDocument root = value(0);
        if (parser.nextToken() != null) {
            throw InvalidConfigurationException.of(file, line(), "", "more than one value");
        }
        return root;
    }

    private int line() {
        return parser.currentTokenLocation().getLineNr();
    }

    /** Reads the value that starts at the current token. */
    private ConfigurationDocument value(int depth)
            throws IOException, InvalidConfigurationException {
        int line = line();
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw InvalidConfigurationException.of(file, line, "", "is empty");
        }
        if (depth > ConfigurationFiles.MAX_DEPTH) {
            throw ConfigurationFiles.tooDeep(file, line);
        }
        ConfigurationValue value =
                switch (token) {
                    case START_OBJECT -> object(depth);
                    case START_ARRAY -> array(depth);
                    case VALUE_NUMBER_INT -> integer();
                    case VALUE_NUMBER_FLOAT ->
                            new ConfigurationValue.DecimalNumber(parser.getDoubleValue());
                    case VALUE_TRUE, VALUE_FALSE ->
                            new ConfigurationValue.Flag(parser.getBooleanValue());
                    case VALUE_NULL -> new ConfigurationValue.Text("");
                    default -> new ConfigurationValue.Text(parser.getText());
                };
        return new ConfigurationDocument(file, line, value);
    }

    private ConfigurationValue object(int depth) throws IOException, InvalidConfigurationException {
        Map<String, ConfigurationDocument> entries = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            parser.nextToken();
            entries.put(key, value(depth + 1));
        }
        return new ConfigurationValue.Table(entries);
    }

    private ConfigurationValue array(int depth) throws IOException, InvalidConfigurationException {
        List<ConfigurationDocument> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(value(depth + 1));
        }
        return new ConfigurationValue.Array(items);
    }

    private ConfigurationValue integer() throws IOException {
        return switch (parser.getNumberType()) {
            case INT, LONG -> new ConfigurationValue.WholeNumber(parser.getLongValue());
            default -> new ConfigurationValue.DecimalNumber(parser.getDoubleValue());
        };
    }
}

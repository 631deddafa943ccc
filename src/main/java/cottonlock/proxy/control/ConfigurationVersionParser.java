package cottonlock.proxy.control;

import cottonlock.proxy.io.JsonReader;
import cottonlock.proxy.io.JsonValue;
import cottonlock.proxy.io.JsonValue.JsonObject;
import cottonlock.proxy.io.JsonValue.JsonScalar;
import cottonlock.proxy.io.MalformedJsonException;
import cottonlock.rollout.ConfigurationVersion;
import cottonlock.setup.InvalidSettingsException;
import java.util.regex.Pattern;

/**
 * Parses a control server's messages, {@code {"seq":43,"digest":"..","base":"..","settings":".."}},
 * or number and digest alone. No other class knows their field names.
 */
final class ConfigurationVersionParser {
    private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{16}");

    private ConfigurationVersionParser() {}

    /**
     * Parses one message.
     *
     * @throws InvalidSettingsException if the message is not an undamaged version: a fault of the
     *     sender, not of the version
     */
    static ConfigurationVersionMessage parse(String message) {
        JsonObject fields = parseObject(message);
        ConfigurationVersion version =
                new ConfigurationVersion(
                        parseNumber(fields),
                        Long.parseUnsignedLong(parseDigest(fields, "digest"), 16));
        if (!fields.has("settings")) {
            return ConfigurationVersionMessage.announcement(version);
        }
        if (!(fields.get("settings") instanceof JsonScalar settings)) {
            throw new InvalidSettingsException("version " + version + " has no settings");
        }
        if (ConfigurationVersionDigest.of(settings.text()) != version.digest()) {
            throw new InvalidSettingsException(
                    "version " + version + " is damaged: the digest of its settings differs");
        }
        return ConfigurationVersionMessage.complete(
                version, parseDigest(fields, "base"), settings.text());
    }

    private static JsonObject parseObject(String message) {
        JsonValue value;
        try {
            value = JsonReader.read(message);
        } catch (MalformedJsonException e) {
            throw new InvalidSettingsException(
                    "the version message is not JSON: " + e.getMessage());
        }
        if (value instanceof JsonObject object) {
            return object;
        }
        throw new InvalidSettingsException("the version message is not a JSON object");
    }

    private static long parseNumber(JsonObject fields) {
        String seq = fields.get("seq").toString();
        if (!Decimals.isUnsigned(seq) || Long.parseLong(seq) > ConfigurationVersion.MAX_NUMBER) {
            throw new InvalidSettingsException(
                    "the version's seq is not an integer from 0 to 2^53: " + seq);
        }
        return Long.parseLong(seq);
    }

    private static String parseDigest(JsonObject fields, String name) {
        String digest = fields.get(name).toString();
        if (!DIGEST.matcher(digest).matches()) {
            throw new InvalidSettingsException(
                    "the version's " + name + " is not 16 hex digits: " + digest);
        }
        return digest;
    }
}

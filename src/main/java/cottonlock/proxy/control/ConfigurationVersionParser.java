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
 * or the number and digest alone; the one place that knows their field names.
 */
final class ConfigurationVersionParser {
    private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{16}");

    private ConfigurationVersionParser() {}

    /**
     * Parses one message.
     *
     * @throws InvalidSettingsException for anything but an undamaged version: the fault of its
     *     sender, not of the version
     */
    static ConfigurationVersionMessage parse(String message) {
        JsonObject fields = object(message);
        ConfigurationVersion version =
                new ConfigurationVersion(
                        number(fields), Long.parseUnsignedLong(digest(fields, "digest"), 16));
        if (!fields.has("settings")) {
            return ConfigurationVersionMessage.announcement(version);
        }
        if (!(fields.get("settings") instanceof JsonScalar settings)) {
            throw new InvalidSettingsException("version " + version + " has no settings");
        }
        if (ConfigurationVersionDigest.of(settings.text()) != version.digest()) {
            throw new InvalidSettingsException(
                    "version " + version + " came damaged: what was told has another digest");
        }
        return ConfigurationVersionMessage.complete(
                version, digest(fields, "base"), settings.text());
    }

    private static JsonObject object(String message) {
        JsonValue value;
        try {
            value = JsonReader.read(message);
        } catch (MalformedJsonException e) {
            throw new InvalidSettingsException(
                    "no version was told, but no JSON: " + e.getMessage());
        }
        if (value instanceof JsonObject object) {
            return object;
        }
        throw new InvalidSettingsException("no version was told, but no object");
    }

    private static long number(JsonObject fields) {
        String seq = fields.get("seq").toString();
        if (!Decimals.isUnsigned(seq) || Long.parseLong(seq) > ConfigurationVersion.MAX_NUMBER) {
            throw new InvalidSettingsException(
                    "the version's seq is no whole number of 2^53 at most: " + seq);
        }
        return Long.parseLong(seq);
    }

    private static String digest(JsonObject fields, String name) {
        String digest = fields.get(name).toString();
        if (!DIGEST.matcher(digest).matches()) {
            throw new InvalidSettingsException(
                    "the version's " + name + " is not 16 hex digits: " + digest);
        }
        return digest;
    }
}

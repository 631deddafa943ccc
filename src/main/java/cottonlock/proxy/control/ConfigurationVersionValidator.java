package cottonlock.proxy.control;

import cottonlock.proxy.io.JsonReader;
import cottonlock.proxy.io.JsonValue;
import cottonlock.proxy.io.JsonValue.JsonObject;
import cottonlock.proxy.io.MalformedJsonException;
import cottonlock.setup.InvalidSettingsException;
import cottonlock.setup.Settings;

/**
 * Validates a version's content. The verdict depends only on the content and the base, which all
 * processes of a service share, so they all reach the same verdict.
 */
final class ConfigurationVersionValidator {
    private static final String REQUEST_CLASSES_PREFIX = "Categories.";

    private ConfigurationVersionValidator() {}

    /**
     * Returns the settings of a valid version.
     *
     * @param processBase the base of this process, see {@link ConfigurationVersionDigest#ofBase}
     * @throws InvalidSettingsException with the fault, if no process of that base can use the
     *     version
     */
    static Settings validate(ConfigurationVersionMessage.Content content, String processBase) {
        JsonObject fields = parseObject(content.settings());
        for (String name : ConfigurationVersionDigest.PER_PROCESS_SETTINGS) {
            if (fields.has(name)) {
                throw new InvalidSettingsException(
                        "settings." + name + " is set for each process on its own");
            }
        }
        Settings settings = ProxyConfiguration.settings(fields);
        ProxyConfiguration.requireServable(settings);
        requireRetryRules(settings);
        requireBase(settings, content.base(), processBase);
        return settings;
    }

    private static JsonObject parseObject(String settings) {
        JsonValue value;
        try {
            value = JsonReader.read(settings);
        } catch (MalformedJsonException e) {
            throw new InvalidSettingsException("its settings are not JSON: " + e.getMessage());
        }
        if (value instanceof JsonObject object) {
            return object;
        }
        throw new InvalidSettingsException("its settings are not a JSON object");
    }

    /**
     * Requires the retry rules to be explicit. A missing key defaults to "safe", by which requests
     * that are not idempotent would be retried.
     */
    private static void requireRetryRules(Settings settings) {
        int requestClasses = settings.count(REQUEST_CLASSES_PREFIX + "count", 0);
        for (int i = 0; i < requestClasses; i++) {
            String path = REQUEST_CLASSES_PREFIX + i;
            requirePresent(settings, path + ".Repeat");
            if (settings.text(path + ".Repeat", "").equals("keyed")) {
                requirePresent(settings, path + ".KeyScope");
                requirePresent(settings, path + ".RepeatWindow");
            }
        }
    }

    private static void requirePresent(Settings settings, String path) {
        if (settings.text(path, "").isEmpty()) {
            throw new InvalidSettingsException("the key settings." + path + " is missing");
        }
    }

    private static void requireBase(Settings settings, String declaredBase, String processBase) {
        String actualBase = ConfigurationVersionDigest.ofBase(settings);
        if (!actualBase.equals(declaredBase)) {
            throw new InvalidSettingsException(
                    "its settings are built on "
                            + actualBase
                            + ", but it names "
                            + declaredBase
                            + " as its base");
        }
        if (!declaredBase.equals(processBase)) {
            throw new InvalidSettingsException(
                    "it is built on other settings than this process ("
                            + declaredBase
                            + ", here "
                            + processBase
                            + "), for which a new process is needed");
        }
    }
}

package cottonlock.proxy.control;

import cottonlock.proxy.HttpReader;
import cottonlock.proxy.io.JsonReader;
import cottonlock.rollout.ConfigurationVersion;
import cottonlock.setup.InvalidSettingsException;
import cottonlock.setup.Settings;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import java.util.Map;

/**
 * One version as a control machine tells it: {@code
 * {"seq":43,"digest":"..","base":"..","settings":".."}}, or its number and digest alone. The
 * verdict on its content hangs on its bytes and on the base, which all processes of a service
 * share, so that all come to the same one.
 */
public final class ConfigurationVersionParser {
    /** What a process can follow: all other settings are the base that it was built on. */
    private static final String CATEGORIES = "Categories.";

    private static final String MOST = "Limits.MaxHandOffs";

    /** A process's own: files of one service differ in them. */
    private static final List<String> OWN = List.of("Me", "FleetSize");

    private static final int DIGEST = 8;
    private static final String HEX = "[0-9a-f]{16}";

    public final ConfigurationVersion version;
    private final String base;

    /** Null where only the number and digest were told. */
    public final String content;

    private ConfigurationVersionParser(ConfigurationVersion version, String base, String content) {
        this.version = version;
        this.base = base;
        this.content = content;
    }

    /**
     * Reads a line.
     *
     * @throws InvalidSettingsException for what is no whole version: the fault of who told it, not
     *     of the version
     */
    public static ConfigurationVersionParser read(String line) {
        Object value;
        try {
            value = JsonReader.read(line);
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException(
                    "no version was told, but no JSON: " + e.getMessage());
        }
        if (!(value instanceof Map<?, ?> map)) {
            throw new InvalidSettingsException("no version was told, but no object");
        }
        String seq = String.valueOf(map.get("seq"));
        if (!HttpReader.digits(seq) || Long.parseLong(seq) > ConfigurationVersion.HIGHEST) {
            throw new InvalidSettingsException(
                    "the version's seq is no whole number of 2^53 at most: " + seq);
        }
        String digest = hex(map, "digest");
        ConfigurationVersion version =
                new ConfigurationVersion(Long.parseLong(seq), Long.parseUnsignedLong(digest, 16));
        if (!map.containsKey("settings")) {
            return new ConfigurationVersionParser(version, null, null);
        }
        if (!(map.get("settings") instanceof String content)) {
            throw new InvalidSettingsException("version " + version + " has no settings");
        }
        if (digest(content) != version.digest()) {
            throw new InvalidSettingsException(
                    "version " + version + " came damaged: what was told has another digest");
        }
        return new ConfigurationVersionParser(version, hex(map, "base"), content);
    }

    private static String hex(Map<?, ?> map, String key) {
        String value = String.valueOf(map.get(key));
        if (!value.matches(HEX)) {
            throw new InvalidSettingsException(
                    "the version's " + key + " is not 16 hex digits: " + value);
        }
        return value;
    }

    /** The line again, as it is kept. */
    public static ConfigurationVersionParser of(
            ConfigurationVersion version, String base, String content) {
        return new ConfigurationVersionParser(version, base, content);
    }

    public String base() {
        return base;
    }

    /**
     * Its settings, for a process of that base.
     *
     * @throws InvalidSettingsException for what no process of the base can use
     */
    public Settings judged(String ofProcess) {
        Object value;
        try {
            value = JsonReader.read(content);
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException("its settings are not JSON: " + e.getMessage());
        }
        if (!(value instanceof Map<?, ?> map)) {
            throw new InvalidSettingsException("its settings are no object");
        }
        for (String own : OWN) {
            if (map.containsKey(own)) {
                throw new InvalidSettingsException("settings." + own + " is each process's own");
            }
        }
        Settings settings = ProxyConfiguration.settings(map);
        ProxyConfiguration.servable(settings);
        for (int i = 0; i < settings.count(CATEGORIES + "count", 0); i++) {
            // Left out, it would read as safe: what must not run twice would run twice.
            told(settings, CATEGORIES + i + ".Repeat");
            if (settings.text(CATEGORIES + i + ".Repeat", "").equals("keyed")) {
                told(settings, CATEGORIES + i + ".KeyScope");
                told(settings, CATEGORIES + i + ".RepeatWindow");
            }
        }
        if (!base(settings).equals(base)) {
            throw new InvalidSettingsException(
                    "its settings are built on "
                            + base(settings)
                            + ", but it names "
                            + base
                            + " as its base");
        }
        if (!base.equals(ofProcess)) {
            throw new InvalidSettingsException(
                    "it is built on other settings than this process ("
                            + base
                            + ", here "
                            + ofProcess
                            + "), for which a new process is needed");
        }
        return settings;
    }

    private static void told(Settings settings, String path) {
        if (settings.text(path, "").isEmpty()) {
            throw new InvalidSettingsException("the key settings." + path + " is missing");
        }
    }

    /** What tells apart the settings that a process can't follow without being started anew. */
    public static String base(Settings settings) {
        StringBuilder text = new StringBuilder();
        settings.sorted()
                .forEach(
                        (path, value) -> {
                            if (!path.startsWith(CATEGORIES)
                                    && !path.equals(MOST)
                                    && !OWN.contains(path)) {
                                text.append(path).append('=').append(value).append('\n');
                            }
                        });
        return new ConfigurationVersion(0, digest(text.toString())).digestHex();
    }

    /** The first eight bytes of the text's SHA-256, as UTF-8. */
    public static long digest(String text) {
        try {
            byte[] hash =
                    MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8));
            long digest = 0;
            for (int i = 0; i < DIGEST; i++) {
                digest = digest << 8 | hash[i] & 0xff;
            }
            return digest;
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}

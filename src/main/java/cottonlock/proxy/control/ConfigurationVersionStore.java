package cottonlock.proxy.control;

import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.rollout.ConfigurationVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * Stores the version in force for the proxy's next process, and attempts to apply versions: an
 * attempt whose process ended meanwhile stays recorded. Stored as lines, {@code version NUMBER
 * DIGEST BASE CONTENT}, with the content in Base64, and {@code tries VERSION COUNT}. Not
 * thread-safe, but other processes of the proxy may share the file.
 */
final class ConfigurationVersionStore {
    /** Attempts that ended their process, after which a version is rejected. */
    static final int MAX_FATAL_ATTEMPTS = 3;

    private static final String SEPARATOR = " ";
    private static final String VERSION_KEYWORD = "version";
    private static final int VERSION_WORD_COUNT = 5;
    private static final String ATTEMPTS_KEYWORD = "tries";
    private static final int HEX_RADIX = 16;

    private final SharedFile file;
    private final String base;
    private final RateLimitedLog log;

    /** A store in that file, for a process of that base. */
    ConfigurationVersionStore(SharedFile file, String base, RateLimitedLog log) {
        this.file = file;
        this.base = base;
        this.log = log;
    }

    /** The stored version, of whatever base; null without one that is intact. */
    ConfigurationVersionMessage load() {
        for (String line : file.read()) {
            List<String> words = List.of(line.split(SEPARATOR, 0));
            boolean isVersion =
                    words.size() == VERSION_WORD_COUNT
                            && words.get(0).equals(VERSION_KEYWORD)
                            && Decimals.isUnsigned(words.get(1));
            if (isVersion) {
                ConfigurationVersionMessage stored = parseIfIntact(words);
                if (stored != null) {
                    return stored;
                }
                log.logEach(
                        System.Logger.Level.WARNING,
                        "version",
                        "the one kept by an earlier process is damaged, and passed over");
            }
        }
        return null;
    }

    private static ConfigurationVersionMessage parseIfIntact(List<String> words) {
        try {
            byte[] content = Base64.getDecoder().decode(words.get(4));
            String settings = new String(content, StandardCharsets.UTF_8);
            ConfigurationVersion version =
                    new ConfigurationVersion(
                            Long.parseLong(words.get(1)),
                            Long.parseUnsignedLong(words.get(2), HEX_RADIX));
            return ConfigurationVersionDigest.of(settings) == version.digest()
                    ? ConfigurationVersionMessage.complete(version, words.get(3), settings)
                    : null;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /**
     * Stores a version and drops all recorded attempts, unless another process of this proxy has
     * stored a higher version of the same base.
     */
    void save(ConfigurationVersion version, ConfigurationVersionMessage.Content content) {
        file.change(lines -> holdsHigherThan(version) ? lines : List.of(versionLine(version, content)));
    }

    private boolean holdsHigherThan(ConfigurationVersion version) {
        ConfigurationVersionMessage stored = load();
        return stored != null
                && stored.content().orElseThrow().base().equals(base)
                && stored.version().compareTo(version) > 0;
    }

    private static String versionLine(
            ConfigurationVersion version, ConfigurationVersionMessage.Content content) {
        byte[] settings = content.settings().getBytes(StandardCharsets.UTF_8);
        return String.join(
                SEPARATOR,
                VERSION_KEYWORD,
                Long.toString(version.number()),
                version.digestHex(),
                content.base(),
                Base64.getEncoder().encodeToString(settings));
    }

    /**
     * Records that a version is about to be applied.
     *
     * @return how many attempts are recorded now, this one included
     */
    int recordAttempt(ConfigurationVersion version) {
        List<String> lines =
                file.change(
                        before -> {
                            List<String> after = new ArrayList<>(before);
                            after.removeIf(line -> isAttempt(line, version));
                            after.add(attemptPrefix(version) + (attemptCount(before, version) + 1));
                            return after;
                        });
        return (int) recordedCount(lines.get(lines.size() - 1), version);
    }

    /** Drops the recorded attempts at a version: it was applied, or rejected with its fault. */
    void clearAttempts(ConfigurationVersion version) {
        file.change(lines -> lines.stream().filter(line -> !isAttempt(line, version)).toList());
    }

    /** Each record counts up to the limit: more does not matter. */
    private static long attemptCount(List<String> lines, ConfigurationVersion version) {
        return lines.stream()
                .filter(line -> isAttempt(line, version))
                .mapToLong(line -> Math.min(MAX_FATAL_ATTEMPTS, recordedCount(line, version)))
                .sum();
    }

    private static long recordedCount(String line, ConfigurationVersion version) {
        String count = line.substring(attemptPrefix(version).length());
        return Decimals.isUnsigned(count) ? Long.parseLong(count) : 0;
    }

    private static boolean isAttempt(String line, ConfigurationVersion version) {
        return line.startsWith(attemptPrefix(version));
    }

    private static String attemptPrefix(ConfigurationVersion version) {
        return ATTEMPTS_KEYWORD + SEPARATOR + version + SEPARATOR;
    }
}

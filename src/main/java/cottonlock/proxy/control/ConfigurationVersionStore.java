package cottonlock.proxy.control;

import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.rollout.ConfigurationVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * Stores the version in force for the proxy's next process, and the number of attempts to apply
 * each version; an attempt during which the process ended stays recorded. Stored as lines, {@code
 * version NUMBER DIGEST BASE CONTENT}, with the content in Base64, and {@code tries VERSION COUNT}.
 * Not thread-safe, but other processes of the proxy may share the file.
 */
final class ConfigurationVersionStore {
    /** A version is rejected after this many attempts during which the process ended. */
    static final int MAX_FATAL_ATTEMPTS = 3;

    private static final String SEPARATOR = " ";
    private static final String VERSION_KEYWORD = "version";
    private static final int VERSION_WORD_COUNT = 5;
    private static final String ATTEMPTS_KEYWORD = "tries";
    private static final int HEX_RADIX = 16;

    private final SharedFile file;
    private final String base;
    private final RateLimitedLog log;

    /** A store in the given file, for a process with the given base. */
    ConfigurationVersionStore(SharedFile file, String base, RateLimitedLog log) {
        this.file = file;
        this.base = base;
        this.log = log;
    }

    /** The stored version, whose base may differ from this process's; null if none is intact. */
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
                        "ignored the one stored by an earlier process, which is damaged");
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
     * Stores a version and deletes all recorded attempts, unless another process of this proxy has
     * stored a higher version with the same base.
     */
    void save(ConfigurationVersion version, ConfigurationVersionMessage.Content content) {
        file.change(
                lines -> holdsHigherThan(version) ? lines : List.of(versionLine(version, content)));
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
     * @return the number of recorded attempts, including this one
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

    /** Deletes the recorded attempts of a version that has been applied, or rejected as faulty. */
    void clearAttempts(ConfigurationVersion version) {
        file.change(lines -> lines.stream().filter(line -> !isAttempt(line, version)).toList());
    }

    /** Each record counts up to the limit; a higher count makes no difference. */
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

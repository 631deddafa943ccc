package cottonlock.proxy.control;

import cottonlock.rollout.ConfigurationVersion;
import cottonlock.setup.Settings;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;

/** Digests of a version's content, and of the base settings that it requires. */
public final class ConfigurationVersionDigest {
    /** Prefix of settings that a running process can change; see {@link #ofBase} for the others. */
    private static final String REQUEST_CLASSES_PREFIX = "Categories.";

    private static final String MAX_ATTEMPTS_PATH = "Limits.MaxHandOffs";

    /** Settings that differ between the processes of one service; not part of the base. */
    static final List<String> PER_PROCESS_SETTINGS = List.of("Me", "FleetSize");

    private ConfigurationVersionDigest() {}

    /**
     * The digest of the base: of the settings that a process cannot change without a restart. A
     * version is usable by a process whose base has the digest that the version names.
     *
     * @return 16 hex digits
     */
    public static String ofBase(Settings settings) {
        StringBuilder text = new StringBuilder();
        settings.sortedByPath()
                .forEach(
                        (path, value) -> {
                            if (isPartOfBase(path)) {
                                text.append(path).append('=').append(value).append('\n');
                            }
                        });
        return new ConfigurationVersion(0, of(text.toString())).digestHex();
    }

    private static boolean isPartOfBase(String path) {
        return !path.startsWith(REQUEST_CLASSES_PREFIX)
                && !path.equals(MAX_ATTEMPTS_PATH)
                && !PER_PROCESS_SETTINGS.contains(path);
    }

    /** The first eight bytes of the SHA-256 of a text in UTF-8. */
    static long of(String text) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return ByteBuffer.wrap(sha256.digest(text.getBytes(StandardCharsets.UTF_8))).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}

package cottonlock.proxy.control;

import cottonlock.rollout.ConfigurationVersion;
import java.util.Optional;

/**
 * A configuration version as a control server announces it and as it is stored.
 *
 * @param version its number and digest
 * @param content what comes with it; empty where only number and digest were announced
 */
record ConfigurationVersionMessage(ConfigurationVersion version, Optional<Content> content) {
    /**
     * What a version holds.
     *
     * @param base the digest of the settings that it is built on, see {@link
     *     ConfigurationVersionDigest#ofBase}; 16 hex digits
     * @param settings the settings, as JSON
     */
    record Content(String base, String settings) {}

    /** A version with its content. */
    static ConfigurationVersionMessage complete(
            ConfigurationVersion version, String base, String settings) {
        return new ConfigurationVersionMessage(version, Optional.of(new Content(base, settings)));
    }

    /** Number and digest alone. */
    static ConfigurationVersionMessage announcement(ConfigurationVersion version) {
        return new ConfigurationVersionMessage(version, Optional.empty());
    }
}

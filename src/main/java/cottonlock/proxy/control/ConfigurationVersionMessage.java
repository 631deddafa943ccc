package cottonlock.proxy.control;

import cottonlock.rollout.ConfigurationVersion;
import java.util.Optional;

/**
 * A configuration version as a control server announces it and as it is stored.
 *
 * @param version its number and digest
 * @param content its content; empty if only number and digest were announced
 */
record ConfigurationVersionMessage(ConfigurationVersion version, Optional<Content> content) {
    /**
     * The content of a version.
     *
     * @param base the digest of the base settings that it requires, see {@link
     *     ConfigurationVersionDigest#ofBase}; 16 hex digits
     * @param settings the settings, as JSON
     */
    record Content(String base, String settings) {}

    /** A version with its content. */
    static ConfigurationVersionMessage complete(
            ConfigurationVersion version, String base, String settings) {
        return new ConfigurationVersionMessage(version, Optional.of(new Content(base, settings)));
    }

    /** A version without its content. */
    static ConfigurationVersionMessage announcement(ConfigurationVersion version) {
        return new ConfigurationVersionMessage(version, Optional.empty());
    }
}

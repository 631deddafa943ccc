package cottonlock.proxy.control;

import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.rollout.ConfigurationVersion;
import cottonlock.setup.InvalidSettingsException;
import cottonlock.setup.Settings;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Validates configuration versions, applies them, and stores them for the next process. Each
 * attempt to apply a version is recorded beforehand, so that a version that has terminated several
 * processes is rejected. Not thread-safe.
 */
final class RolloutVersionApplier {
    private final Consumer<Settings> settingsConsumer;
    private final String base;
    private final ConfigurationVersionStore store;
    private final RateLimitedLog log;

    /**
     * An applier for a process with the given base.
     *
     * @param settingsConsumer applies settings: all of them or, if it throws, none
     */
    RolloutVersionApplier(
            Consumer<Settings> settingsConsumer,
            String base,
            ConfigurationVersionStore store,
            RateLimitedLog log) {
        this.settingsConsumer = settingsConsumer;
        this.base = base;
        this.store = store;
        this.log = log;
    }

    /**
     * Applies the version that an earlier process stored.
     *
     * @return that version, or {@link ConfigurationVersion#NONE} if there is no usable one
     */
    ConfigurationVersion applyStored() {
        ConfigurationVersionMessage stored = store.load();
        if (stored == null) {
            return ConfigurationVersion.NONE;
        }
        ConfigurationVersion version = stored.version();
        ConfigurationVersionMessage.Content content = stored.content().orElseThrow();
        if (!content.base().equals(base)) {
            log.logEach(
                    "version",
                    version
                            + ", stored by an earlier process, has another base than the "
                            + "configuration file; the file's settings are in force");
            return ConfigurationVersion.NONE;
        }
        Optional<String> fault = apply(version, content);
        if (fault.isPresent()) {
            warn(
                    version
                            + ", stored by an earlier process, cannot be used; the configuration "
                            + "file's settings are in force: "
                            + fault.get());
            return ConfigurationVersion.NONE;
        }
        log.logEach("version", version + ", stored by an earlier process, is in force");
        return version;
    }

    /**
     * Applies an announced version and stores it.
     *
     * @param current the version in force so far
     * @param server the server that announced the version, for the log
     * @return whether the version is in force now; if not, no part of it is
     */
    boolean applyAnnounced(
            ConfigurationVersion version,
            ConfigurationVersionMessage.Content content,
            ConfigurationVersion current,
            String server) {
        Optional<String> fault = apply(version, content);
        if (fault.isEmpty()) {
            store.save(version, content);
            log.logEach("version", version + " is in force, announced by " + server);
            return true;
        }
        String kept =
                current.equals(ConfigurationVersion.NONE)
                        ? "the file's settings stay"
                        : current + " stays";
        warn(version + " is refused, " + kept + " in force: " + fault.get());
        return false;
    }

    /** Empty if the version is in force now, else the reason why it cannot be used. */
    private Optional<String> apply(
            ConfigurationVersion version, ConfigurationVersionMessage.Content content) {
        try {
            Settings settings = ConfigurationVersionValidator.validate(content, base);
            int limit = ConfigurationVersionStore.MAX_FATAL_ATTEMPTS;
            if (store.recordAttempt(version) > limit) {
                return Optional.of(limit + " processes ended while applying it");
            }
            settingsConsumer.accept(settings);
            store.clearAttempts(version);
            return Optional.empty();
        } catch (InvalidSettingsException e) {
            store.clearAttempts(version);
            return Optional.of(e.getMessage());
        } catch (RuntimeException e) {
            store.clearAttempts(version);
            return Optional.of(e.toString());
        }
    }

    private void warn(String text) {
        log.logEach(System.Logger.Level.WARNING, "version", text);
    }
}

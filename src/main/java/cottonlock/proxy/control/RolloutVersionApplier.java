package cottonlock.proxy.control;

import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.rollout.ConfigurationVersion;
import cottonlock.setup.InvalidSettingsException;
import cottonlock.setup.Settings;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Validates configuration versions, brings them into force, and stores them for the next process.
 * An attempt is recorded before it is made: a version that ends several processes is rejected. Not
 * thread-safe.
 */
final class RolloutVersionApplier {
    private final Consumer<Settings> settingsConsumer;
    private final String base;
    private final ConfigurationVersionStore store;
    private final RateLimitedLog log;

    /**
     * An applier for a process of that base.
     *
     * @param settingsConsumer brings settings into force, all of them or, by an exception, none
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
     * Brings the version into force that an earlier process stored.
     *
     * @return it, or {@link ConfigurationVersion#NONE} where there is none that can be used
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
                            + " of an earlier process is built on other settings than the "
                            + "file's, which are in force");
            return ConfigurationVersion.NONE;
        }
        Optional<String> fault = apply(version, content);
        if (fault.isPresent()) {
            warn(
                    version
                            + " of an earlier process can't be used, the file's settings "
                            + "are in force: "
                            + fault.get());
            return ConfigurationVersion.NONE;
        }
        log.logEach("version", version + " of an earlier process is in force");
        return version;
    }

    /**
     * Brings an announced version into force and stores it.
     *
     * @param current the version in force
     * @param server names the server that announced it, for the log
     * @return whether it is in force; else nothing of it is
     */
    boolean applyAnnounced(
            ConfigurationVersion version,
            ConfigurationVersionMessage.Content content,
            ConfigurationVersion current,
            String server) {
        Optional<String> fault = apply(version, content);
        if (fault.isEmpty()) {
            store.save(version, content);
            log.logEach("version", version + " is in force, told by " + server);
            return true;
        }
        String kept =
                current.equals(ConfigurationVersion.NONE)
                        ? "the file's settings stay"
                        : current + " stays";
        warn(version + " is refused, " + kept + " in force: " + fault.get());
        return false;
    }

    /** Empty when the version is in force, else why it cannot be. */
    private Optional<String> apply(
            ConfigurationVersion version, ConfigurationVersionMessage.Content content) {
        try {
            Settings settings = ConfigurationVersionValidator.validate(content, base);
            int limit = ConfigurationVersionStore.MAX_FATAL_ATTEMPTS;
            if (store.recordAttempt(version) > limit) {
                return Optional.of(limit + " processes ended while they took it in");
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

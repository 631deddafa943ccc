package cottonlock.config;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Reads the text of configuration files, within limits that protect the process. */
final class ConfigurationFiles {
    /** Maximum nesting of values; low enough that recursion does not overflow a thread's stack. */
    static final int MAX_DEPTH = 64;

    private static final int MAX_MEBIBYTES = 16;

    private ConfigurationFiles() {}

    /**
     * Returns the text of a UTF-8 file.
     *
     * @throws InvalidConfigurationException if it is missing, unreadable, too large or not UTF-8
     */
    static String readText(Path file) throws InvalidConfigurationException {
        String name = file.toString();
        try {
            if (Files.size(file) > (long) MAX_MEBIBYTES << 20) {
                throw InvalidConfigurationException.of(
                        name, 0, "", "longer than " + MAX_MEBIBYTES + " MiB");
            }
            return Files.readString(file);
        } catch (NoSuchFileException e) {
            throw InvalidConfigurationException.of(name, 0, "", "there is no such file");
        } catch (MalformedInputException e) {
            throw InvalidConfigurationException.of(name, 0, "", "is not UTF-8");
        } catch (IOException e) {
            throw InvalidConfigurationException.of(
                    name, 0, "", "cannot be read: " + e.getMessage());
        }
    }

    static InvalidConfigurationException tooDeep(String file, int line) {
        return InvalidConfigurationException.of(file, line, "", "values are nested too deeply");
    }
}

package cottonlock.config;

import java.util.List;

/**
 * A file, or a value given on the command line, that can't be used, with everything that is wrong
 * with it.
 */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<String> faults;

    /** One line a fault, each with the place it was found at. */
    public InvalidConfigurationException(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    static InvalidConfigurationException of(String file, int line, String key, String fault) {
        return new InvalidConfigurationException(List.of(line(file, line, key, fault)));
    }

    static String line(String file, int line, String key, String fault) {
        return file
                + (line > 0 ? ":" + line : "")
                + ": "
                + (key.isEmpty() ? "" : key + ": ")
                + fault;
    }

    /** Each fault as one line: file, line, key, what was expected. */
    public List<String> faults() {
        return faults;
    }
}

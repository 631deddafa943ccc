package cottonlock.config;

import java.util.List;

/** Reports all faults of a configuration file. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<String> faults;

    /**
     * Creates an exception for a file's faults.
     *
     * @param faults one line per fault, each starting with the location of the fault
     */
    public InvalidConfigurationException(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    static InvalidConfigurationException of(String file, int line, String key, String fault) {
        return new InvalidConfigurationException(List.of(formatFault(file, line, key, fault)));
    }

    /** Formats a fault as one line; the line number 0 and an empty key are left out. */
    static String formatFault(String file, int line, String key, String fault) {
        return file
                + (line > 0 ? ":" + line : "")
                + ": "
                + (key.isEmpty() ? "" : key + ": ")
                + fault;
    }

    /** Returns one line per fault: file, line, key, and what was expected. */
    public List<String> faults() {
        return faults;
    }
}

package cottonlock.setup;

/** Thrown for malformed settings or malformed input from the simulator. */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The message must name the fault: the path of the setting, its value and what is expected. */
    public InvalidSettingsException(String message) {
        super(message);
    }
}

package cottonlock.setup;

/** Settings, or input of the simulator, that do not keep to their form. */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The message names what is wrong: the path of the setting, its value and what it must be. */
    public InvalidSettingsException(String message) {
        super(message);
    }
}

package cottonlock.setup;

/** Settings or input that do not keep to their form. */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidSettingsException(String fault) {
        super(fault);
    }
}

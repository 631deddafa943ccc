package cottonlock.setup;

/** Settings or input that do not keep to their form. */
public final class Malformed extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public Malformed(String fault) {
        super(fault);
    }
}

package cottonlock.bench;

/** Input that does not keep to the wire's form. */
final class Malformed extends RuntimeException {
    private static final long serialVersionUID = 1L;

    Malformed(String fault) {
        super(fault);
    }
}

package cottonlock.proxy;

/** A message that does not keep to the protocol, with the status that tells its sender so. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    public final int status;

    MalformedMessageException(int status, String fault) {
        super(fault);
        this.status = status;
    }
}

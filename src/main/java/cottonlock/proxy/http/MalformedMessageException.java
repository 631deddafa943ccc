package cottonlock.proxy.http;

/** A message that violates the protocol, with the status of the response that it earns. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;

    /**
     * A violation.
     *
     * @param status of the response
     * @param fault in words, for the response and the log
     */
    public MalformedMessageException(int status, String fault) {
        super(fault);
        this.status = status;
    }

    /** The status of the response. */
    public int status() {
        return status;
    }
}

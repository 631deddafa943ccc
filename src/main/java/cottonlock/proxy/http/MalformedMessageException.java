package cottonlock.proxy.http;

/** A message that violates the protocol, with the status of the response to it. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;

    /**
     * A protocol violation.
     *
     * @param status the status of the response
     * @param fault a description of the fault, for the body of the response and the log
     */
    public MalformedMessageException(int status, String fault) {
        super(fault);
        this.status = status;
    }

    /** The status of the response to the message. */
    public int status() {
        return status;
    }
}

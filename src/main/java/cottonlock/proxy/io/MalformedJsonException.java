package cottonlock.proxy.io;

/** A text is not JSON; the message names the fault and the character at which it was found. */
public final class MalformedJsonException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * A fault at a place of the text.
     *
     * @param position characters before it
     */
    MalformedJsonException(String fault, int position) {
        super(fault + " at character " + position);
    }
}

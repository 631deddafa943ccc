package cottonlock.proxy.io;

/** A text is not JSON; the message names the fault and its position in characters. */
public final class MalformedJsonException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * A fault at a position in the text.
     *
     * @param position the number of characters before the fault
     */
    MalformedJsonException(String fault, int position) {
        super(fault + " at character " + position);
    }
}

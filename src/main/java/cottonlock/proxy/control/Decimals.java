package cottonlock.proxy.control;

import java.util.regex.Pattern;

/** Decimal numbers in stored files and messages. */
final class Decimals {
    private static final Pattern UNSIGNED = Pattern.compile("[0-9]{1,18}");

    private Decimals() {}

    /** Whether a text is an integer without a sign that is short enough for a long. */
    static boolean isUnsigned(String text) {
        return UNSIGNED.matcher(text).matches();
    }
}

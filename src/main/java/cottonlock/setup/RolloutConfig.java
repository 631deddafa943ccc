package cottonlock.setup;

import java.util.List;

/**
 * Where a proxy learns of changes to its settings. Times are tenths of a millisecond.
 *
 * @param service whose settings these are; 1 to 64 letters, digits, dots, dashes and underscores
 * @param control addresses of the control machines that are near; one at least
 * @param far of those that are asked where no near one answers, and for comparison
 * @param call how long a call may take until it is answered; 500 to 20,000
 * @param compare between two comparisons with another control machine, in the mean; 10,000 to
 *     600,000
 * @param retry the longest wait between two calls while control is lost; 5,000 to 600,000
 */
public record RolloutConfig(
        String service,
        List<String> control,
        List<String> far,
        long call,
        long compare,
        long retry) {
    /** Where the operator's file says nothing else. */
    public static final long CALL = 4_000;

    public static final long COMPARE = 40_000;
    public static final long RETRY = 40_000;
}

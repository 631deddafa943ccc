package cottonlock.decision.api;

/**
 * A category of requests. Times are in tenths of a millisecond.
 *
 * @param number its place among the categories
 * @param dueTime an answer within this time earns the full credit
 * @param lateCredit the part of the credit that an answer after the due time earns
 * @param repeat whether a request may run again
 * @param scope for keyed ones: the backends that drop each other's repeats
 * @param repeatWindow for keyed ones: how long they do
 */
public record RequestClass(
        int number,
        long dueTime,
        double credit,
        double lateCredit,
        Repeat repeat,
        Scope scope,
        long repeatWindow) {

    /** The same with another number. */
    public RequestClass numbered(int other) {
        return new RequestClass(other, dueTime, credit, lateCredit, repeat, scope, repeatWindow);
    }

    /** Whether a request may run again. */
    public enum Repeat {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The backends that know each other's keys. */
    public enum Scope {
        ALL,
        ZONE,
        CELL;

        /** Whether two backends are in the same group. */
        public boolean joins(Endpoint one, Endpoint other) {
            return switch (this) {
                case ALL -> true;
                case ZONE -> one.zone() == other.zone();
                case CELL -> one.cell() == other.cell();
            };
        }
    }
}

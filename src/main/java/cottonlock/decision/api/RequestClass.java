package cottonlock.decision.api;

/**
 * A configured class of requests with its latency objective and retry rules. Durations are in
 * {@link cottonlock.core.Ticks}.
 *
 * @param number the index among the configured request classes
 * @param latencyObjectiveTicks a response within this time earns the full credit
 * @param credit what a response in time is worth, relative to other classes
 * @param lateCredit the fraction of the credit, 0 to 1, for a response after the objective
 * @param idempotency whether a request may be executed more than once
 * @param deduplicationScope for idempotency keys: the backends that share their knowledge of keys
 * @param deduplicationWindowTicks for idempotency keys: how long a backend remembers a key
 */
public record RequestClass(
        int number,
        long latencyObjectiveTicks,
        double credit,
        double lateCredit,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowTicks) {

    /** The same request class at another index. */
    public RequestClass withNumber(int otherNumber) {
        return new RequestClass(
                otherNumber,
                latencyObjectiveTicks,
                credit,
                lateCredit,
                idempotency,
                deduplicationScope,
                deduplicationWindowTicks);
    }

    /**
     * The same request class, whose requests are repeated only where both it and the other class
     * permit it.
     */
    public RequestClass withRepetitionLimitedBy(RequestClass other) {
        boolean thisHasKey = idempotency == Idempotency.WITH_KEY;
        boolean otherHasKey = other.idempotency == Idempotency.WITH_KEY;
        RequestClass stricter = idempotency.compareTo(other.idempotency) >= 0 ? this : other;
        boolean bothHaveKey = thisHasKey && otherHasKey;
        return new RequestClass(
                number,
                latencyObjectiveTicks,
                credit,
                lateCredit,
                stricter.idempotency,
                bothHaveKey
                        ? narrower(deduplicationScope, other.deduplicationScope)
                        : stricter.deduplicationScope,
                bothHaveKey
                        ? Math.min(deduplicationWindowTicks, other.deduplicationWindowTicks)
                        : stricter.deduplicationWindowTicks);
    }

    private static DeduplicationScope narrower(
            DeduplicationScope first, DeduplicationScope second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    /** Whether a request may be executed more than once, from the least strict to the strictest. */
    public enum Idempotency {
        /** Repeated execution has no further effect. */
        IDEMPOTENT,
        /** Backends recognise a repeat by its idempotency key, within a scope and a time. */
        WITH_KEY,
        /** The request must never be executed twice. */
        NOT_IDEMPOTENT
    }

    /** Which backends recognise each other's idempotency keys, from the widest to the narrowest. */
    public enum DeduplicationScope {
        /** All backends. */
        ALL,
        /** The backends of one zone. */
        ZONE,
        /** The backends of one cell. */
        CELL;

        /** Whether one backend recognises the idempotency keys that another has seen. */
        public boolean covers(Endpoint first, Endpoint second) {
            return switch (this) {
                case ALL -> true;
                case ZONE -> first.zone() == second.zone();
                case CELL -> first.cell() == second.cell();
            };
        }
    }
}

package cottonlock.decision.api;

/**
 * One entry of the endpoint list: a backend as discovery describes it.
 *
 * @param id its name, unique in the list
 * @param zone the zone that it runs in
 * @param machineKind the kind of machine, as a number without further meaning
 * @param cell the group of backends, below the zone, that share idempotency keys
 * @param state what the list says of its process
 * @param capacityWeight its capacity against other backends'; 0 where the list gives none
 * @param startedAtTicks when it last started, in {@linkplain cottonlock.core.Ticks ticks}; 0 for
 *     long ago
 */
public record Endpoint(
        String id,
        int zone,
        int machineKind,
        int cell,
        State state,
        double capacityWeight,
        long startedAtTicks) {

    /** What the list says of a backend's process. */
    public enum State {
        /** Takes requests. */
        READY,
        /** Finishes what it has and takes no new requests. */
        DRAINING,
        /** Runs no more. */
        GONE
    }
}

package cottonlock.decision.api;

/**
 * One entry of the endpoint list: a backend as reported by discovery.
 *
 * @param id its identifier, unique in the list
 * @param zone the zone that it runs in
 * @param machineKind the kind of machine, as a number without further meaning
 * @param cell the group of backends within the zone that share idempotency keys
 * @param state the state of its process according to the list
 * @param capacityWeight its capacity relative to other backends; 0 where the list gives none
 * @param startedAtTicks when it last started, in {@linkplain cottonlock.core.Ticks ticks}; 0 if
 *     that was long ago
 */
public record Endpoint(
        String id,
        int zone,
        int machineKind,
        int cell,
        State state,
        double capacityWeight,
        long startedAtTicks) {

    /** The state of a backend's process according to the list. */
    public enum State {
        /** Accepts requests. */
        READY,
        /** Finishes the requests in progress and accepts no new ones. */
        DRAINING,
        /** No longer runs. */
        GONE
    }
}

package cottonlock.decision.api;

/**
 * One line of the list of backends.
 *
 * @param kind the kind of machine, as a number without meaning
 * @param startedAt when it last started; 0 for long ago
 */
public record Endpoint(
        String id, int zone, int kind, int cell, State state, double size, long startedAt) {

    /** What the list says of a backend's process. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }
}

package cottonlock.decision;

/**
 * One line of the list of backends.
 *
 * @param kind      the kind of machine, as a number without meaning
 * @param startedAt when it last started; 0 for long ago
 */
public record Member(String id, int zone, int kind, int cell, State state, double size, long startedAt) {

    /** The part of its capacity that a backend has at least: it grows evenly while cold. */
    double warmth(long now, double coldShare, long coldTime) {
        if (startedAt <= 0 || now - startedAt >= coldTime) {
            return 1;
        }
        return coldShare + (1 - coldShare) * Math.max(0, now - startedAt) / coldTime;
    }

    /** What the list says of a backend's process. */
    public enum State { READY, DRAINING, GONE }
}

package cottonlock.membership;

/**
 * The state of a member. The constants are declared in the order of precedence: of two updates with
 * the same generation and incarnation, the one with the later state supersedes the other.
 */
public enum MemberState {
    /** The process is joining: its view does not yet equal that of a live member. */
    JOINING(0),
    /** The process takes part in the protocol. */
    ALIVE(1),
    /** A member did not get a timely answer; the process may still refute that. */
    SUSPECT(2),
    /** A suspicion was not refuted in time. */
    FAILED(3),
    /** The process has announced that it ends. */
    LEFT(4);

    private static final MemberState[] BY_WIRE_NUMBER = values();

    private final int wireNumber;

    MemberState(int wireNumber) {
        this.wireNumber = wireNumber;
    }

    /** Whether the process may still be running. */
    public boolean isLive() {
        return this == JOINING || this == ALIVE || this == SUSPECT;
    }

    /** Whether the state is an accusation by other members, and not the member's own claim. */
    boolean isAccusation() {
        return this == SUSPECT || this == FAILED;
    }

    /** The number that denotes the state in datagrams. */
    int wireNumber() {
        return wireNumber;
    }

    /** The state with a number on the wire, or null if there is none. */
    static MemberState ofWireNumber(int number) {
        for (MemberState state : BY_WIRE_NUMBER) {
            if (state.wireNumber == number) {
                return state;
            }
        }
        return null;
    }
}

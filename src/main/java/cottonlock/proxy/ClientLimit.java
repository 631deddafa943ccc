package cottonlock.proxy;

/** How many clients may be connected at present. Thread-safe. */
interface ClientLimit {
    int maxClients();

    /** How many may stay connected at present: not fewer than {@link #maxClients}. */
    default int maxOpenClients() {
        return maxClients();
    }

    /**
     * Called when so many are connected and more wait: frees what is held without need.
     *
     * @param count how many wait
     */
    default void makeRoom(int count) {}

    /** Drops what is kept for further connections without need. */
    default void releaseUnused() {}

    /** Whether another process of the proxy needs the memory that this one gives back. */
    default boolean isMemoryShared() {
        return false;
    }
}

package cottonlock.proxy;

/** The memory for connections, of clients and to backends. Thread-safe. */
interface ConnectionMemory {
    /** How many connections there is memory for at present, those included that are open. */
    int maxConnections();

    /** How many connections may stay open at present: not fewer than {@link #maxConnections}. */
    default int maxOpenConnections() {
        return maxConnections();
    }

    /** Whether another process of the proxy needs the memory that this one gives back. */
    default boolean isShared() {
        return false;
    }

    /** Drops what is kept for further connections without need. */
    default void releaseUnused() {}
}

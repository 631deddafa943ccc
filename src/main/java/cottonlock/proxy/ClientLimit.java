package cottonlock.proxy;

/** How many clients may be connected at present. Thread-safe. */
interface ClientLimit {
    int maxClients();

    /** Called when so many are connected and one more waits: frees what is held without need. */
    default void makeRoom() {}
}

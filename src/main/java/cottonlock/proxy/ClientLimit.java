package cottonlock.proxy;

/** How many clients may be connected at present. Thread-safe. */
interface ClientLimit {
    int maxClients();

    /**
     * Called when so many are connected and more wait: frees what is held without need.
     *
     * @param count how many wait
     */
    default void makeRoom(int count) {}
}

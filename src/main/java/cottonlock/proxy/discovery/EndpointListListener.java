package cottonlock.proxy.discovery;

/** Receives the events of a watch, on the watch's thread. */
public interface EndpointListListener {
    /**
     * An endpoint list or a change to it has been received.
     *
     * @param cached whether it is the list that the configuration file held at the start
     */
    void endpointListReceived(EndpointList list, boolean cached);

    /** The watch has ended, and no other one is open. */
    void endpointListWatchEnded();
}

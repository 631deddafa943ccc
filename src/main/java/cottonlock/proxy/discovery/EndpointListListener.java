package cottonlock.proxy.discovery;

/** Receives what a watch brings, on the watch's thread. */
public interface EndpointListListener {
    /**
     * A list or a change to it has come.
     *
     * @param cached whether it is the list that this proxy had before its start
     */
    void endpointListReceived(EndpointList list, boolean cached);

    /** The watch has ended, and none is open. */
    void endpointListWatchEnded();
}

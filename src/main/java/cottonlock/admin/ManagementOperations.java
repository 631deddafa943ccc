package cottonlock.admin;

/**
 * The operations behind the management commands. The threads of {@link ManagementServer} call them
 * concurrently.
 */
public interface ManagementOperations {
    /** Returns whether this process serves requests. */
    boolean isServing();

    /** Returns all metrics as one line of JSON, without a line terminator. */
    String metricsJson();

    /** Returns this process's view of the fleet, one line per member; null if membership is off. */
    String membersReport();

    /**
     * Stops sending new requests to a backend.
     *
     * @param backendId the backend's id in the endpoint list
     * @return null, or why the backend can't be ejected
     */
    String ejectBackend(String backendId);

    /**
     * Sends requests to a manually ejected backend again.
     *
     * @param backendId the backend's id in the endpoint list
     * @return null, or why the ejection can't be ended
     */
    String restoreBackend(String backendId);
}

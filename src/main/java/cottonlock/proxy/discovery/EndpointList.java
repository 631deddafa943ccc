package cottonlock.proxy.discovery;

import cottonlock.decision.api.Endpoint;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * One message of discovery: the list of backends, or a change to it.
 *
 * @param version the list's version at its source; versions of different sources are unrelated
 * @param complete whether the entries are the complete list, not only the changes
 * @param entries the backends that the message names
 */
public record EndpointList(long version, boolean complete, List<Entry> entries) {
    /**
     * One backend.
     *
     * @param endpoint the backend as the load balancer knows it
     * @param address where it listens; null if it is draining or gone and the message names none
     */
    public record Entry(Endpoint endpoint, InetSocketAddress address) {}
}

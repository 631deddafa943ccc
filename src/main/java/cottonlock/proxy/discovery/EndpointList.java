package cottonlock.proxy.discovery;

import cottonlock.decision.api.Endpoint;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * One message of discovery: the list of backends, or a change to it.
 *
 * @param version the list's version at its source; another source's versions are unrelated
 * @param complete whether entries are the whole list, not only what has changed
 * @param entries the backends that the message names
 */
public record EndpointList(long version, boolean complete, List<Entry> entries) {
    /**
     * One backend.
     *
     * @param endpoint the backend as the load balancer knows it
     * @param address where it listens; null for one that drains or is gone without naming any
     */
    public record Entry(Endpoint endpoint, InetSocketAddress address) {}
}

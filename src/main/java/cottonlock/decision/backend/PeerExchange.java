package cottonlock.decision.backend;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.stream.Collectors.joining;

import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.LoadBalancerActions;
import java.util.Collection;
import java.util.List;

/**
 * Messages between load balancers about lost backends: the ids of the backends, separated by
 * spaces. What a peer reports is never passed on. Owned by the load balancer's thread.
 */
final class PeerExchange {
    private static final int MAX_MESSAGE_BYTES = 256;

    private final LoadBalancerActions actions;
    private final DeploymentTopology topology;

    PeerExchange(LoadBalancerActions actions, DeploymentTopology topology) {
        this.actions = actions;
        this.topology = topology;
    }

    /**
     * Notifies peers of the backends found lost since the last call. Not where load balancers
     * outnumber backends, as the false findings of all would make backends suspect everywhere.
     */
    void reportLosses(Collection<Backend> backends, int readyCount) {
        String lostIds =
                backends.stream()
                        .filter(backend -> backend.lossUnreported)
                        .map(backend -> backend.id() + " ")
                        .collect(joining());
        backends.forEach(backend -> backend.lossUnreported = false);
        if (topology.peerMessagesAllowed()
                && topology.loadBalancerCount() <= readyCount
                && !lostIds.isEmpty()) {
            int end = lostIds.lastIndexOf(' ', MAX_MESSAGE_BYTES);
            actions.broadcastToPeers(lostIds.substring(0, end).getBytes(UTF_8));
        }
    }

    /** The ids of the backends that a message names; they may be unknown here. */
    static List<String> lostBackendIds(byte[] message) {
        return List.of(new String(message, UTF_8).split(" ", -1));
    }
}

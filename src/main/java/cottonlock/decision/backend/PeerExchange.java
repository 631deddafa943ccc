package cottonlock.decision.backend;

import static java.nio.charset.StandardCharsets.UTF_8;

import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.LoadBalancerActions;
import java.util.Collection;
import java.util.List;

/**
 * Messages between load balancers about lost backends: the ids of the backends, separated by
 * spaces. Reports from peers are never forwarded. Owned by the load balancer's thread.
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
     * Notifies peers of the backends found lost since the previous call. Nothing is sent where load
     * balancers outnumber backends, as the false detections of all of them would make healthy
     * backends suspected everywhere.
     */
    void reportLosses(Collection<Backend> backends, int readyCount) {
        byte[] message = message(backends);
        backends.forEach(backend -> backend.lossUnreported = false);
        if (topology.peerMessagesAllowed()
                && topology.loadBalancerCount() <= readyCount
                && message.length > 0) {
            actions.broadcastToPeers(message);
        }
    }

    /**
     * The ids of the backends found lost, up to the first that does not fit into the message. An id
     * that is longer than a whole message is skipped: peers have to detect the loss of that backend
     * themselves.
     */
    private static byte[] message(Collection<Backend> backends) {
        StringBuilder ids = new StringBuilder();
        int byteCount = 0;
        for (Backend backend : backends) {
            int idBytes = backend.lossUnreported ? backend.id().getBytes(UTF_8).length : 0;
            if (idBytes == 0 || idBytes > MAX_MESSAGE_BYTES) {
                continue;
            }
            int separatorBytes = ids.length() == 0 ? 0 : 1;
            byteCount += separatorBytes + idBytes;
            if (byteCount > MAX_MESSAGE_BYTES) {
                break;
            }
            ids.append(separatorBytes == 0 ? "" : " ").append(backend.id());
        }
        return ids.toString().getBytes(UTF_8);
    }

    /** The ids of the backends that a message names; they may be unknown here. */
    static List<String> lostBackendIds(byte[] message) {
        return List.of(new String(message, UTF_8).split(" ", -1));
    }
}

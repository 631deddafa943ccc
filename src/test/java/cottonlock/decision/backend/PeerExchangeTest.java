package cottonlock.decision.backend;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.Endpoint;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.SlowStartConfig;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/**
 * Guards against backend ids that do not fit into a message to peers, which stopped the load
 * balancer.
 */
class PeerExchangeTest {
    private static final int MAX_MESSAGE_BYTES = 256;
    private static final String LONGEST_ID = "x".repeat(MAX_MESSAGE_BYTES);

    private final List<String> sent = new ArrayList<>();
    private final PeerExchange exchange =
            new PeerExchange(
                    recordingActions(),
                    new DeploymentTopology(1, 0, true, 0, true, false, 10_000, true, 15_625));

    private LoadBalancerActions recordingActions() {
        return (LoadBalancerActions)
                Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {LoadBalancerActions.class},
                        (self, method, arguments) -> {
                            assertEquals("broadcastToPeers", method.getName());
                            sent.add(new String((byte[]) arguments[0], UTF_8));
                            return null;
                        });
    }

    private void report(String... lostIds) {
        List<Backend> backends = new ArrayList<>();
        for (String id : lostIds) {
            Backend backend =
                    new Backend(
                            new Endpoint(id, 0, 0, 0, Endpoint.State.READY, 1, 0),
                            new SlowStartConfig(0.35, 87_000, 3, 30_000),
                            15_625);
            backend.lossUnreported = true;
            backends.add(backend);
        }
        exchange.reportLosses(backends, backends.size());
    }

    @Example
    void idLongerThanAMessageIsSkipped() {
        report(LONGEST_ID + "y", "b1", "b2");
        report(LONGEST_ID + "y");
        assertEquals(List.of("b1 b2"), sent);
    }

    @Example
    void idAsLongAsAMessageIsSentAlone() {
        report(LONGEST_ID, "b1");
        assertEquals(List.of(LONGEST_ID), sent);
    }

    @Example
    void limitCountsEncodedBytes() {
        String twoBytesEach = "\u00e9".repeat(60);
        report(twoBytesEach, "b".repeat(135), "b2");
        report(twoBytesEach, "b".repeat(136), "b2");
        assertEquals(List.of(twoBytesEach + " " + "b".repeat(135), twoBytesEach), sent);
    }
}

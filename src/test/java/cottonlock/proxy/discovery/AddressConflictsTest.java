package cottonlock.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cottonlock.decision.api.Endpoint;
import cottonlock.decision.api.Endpoint.State;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Example;

/** Backends at the address of one that has gone. */
class AddressConflictsTest {
    private final AddressConflicts conflicts = new AddressConflicts();

    private static EndpointList.Entry entry(String id, int port, State state, long startedAt) {
        return new EndpointList.Entry(
                new Endpoint(id, 0, 0, 0, state, 1, startedAt),
                state == State.GONE ? null : new InetSocketAddress("127.0.0.1", port));
    }

    private Map<String, State> resolve(boolean complete, EndpointList.Entry... entries) {
        Map<String, State> states = new TreeMap<>();
        conflicts
                .resolve(new EndpointList(1, complete, List.of(entries)))
                .entries()
                .forEach(e -> states.put(e.endpoint().id(), e.endpoint().state()));
        return states;
    }

    /**
     * Guards against work for a backend that reached the new process at its address, in another
     * zone: a keyed request ran in both.
     */
    @Example
    void aBackendWhoseAddressAnotherHasTakenDrains() {
        assertEquals(
                Map.of("a", State.READY, "b", State.READY),
                resolve(true, entry("a", 1, State.READY, 0), entry("b", 2, State.READY, 0)));
        assertEquals(
                Map.of("new", State.READY, "a", State.DRAINING),
                resolve(false, entry("new", 1, State.READY, 50)));
        assertEquals(
                Map.of("a", State.DRAINING),
                resolve(false, entry("a", 1, State.READY, 0)),
                "named again as it was");
        assertEquals(
                Map.of("a", State.DRAINING, "new", State.READY),
                resolve(true, entry("new", 1, State.READY, 50), entry("a", 1, State.READY, 0)));
        assertEquals(Map.of("new", State.GONE), resolve(false, entry("new", 1, State.GONE, 50)));
        assertEquals(
                Map.of("a", State.DRAINING),
                resolve(false, entry("a", 1, State.READY, 0)),
                "its process is gone for good");
    }

    @Example
    void aBackendWithAnotherAddressOrStartIsUsedAgain() {
        resolve(true, entry("a", 1, State.READY, 0), entry("new", 1, State.READY, 50));
        assertEquals(Map.of("a", State.READY), resolve(false, entry("a", 3, State.READY, 0)));
        resolve(false, entry("newer", 3, State.READY, 60));
        assertEquals(
                Map.of("a", State.READY, "newer", State.DRAINING),
                resolve(false, entry("a", 3, State.READY, 70)),
                "it has started again");
    }

    @Example
    void backendsThatCanNotBeToldApartAreLeftAlone() {
        assertEquals(
                Map.of("a", State.READY, "b", State.READY),
                resolve(true, entry("a", 1, State.READY, 0), entry("b", 1, State.READY, 0)));
        assertEquals(Map.of("c", State.GONE), resolve(false, entry("c", 1, State.GONE, 0)));
    }
}

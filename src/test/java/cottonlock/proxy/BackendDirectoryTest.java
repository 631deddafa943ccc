package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cottonlock.decision.api.Endpoint;
import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.control.ManualEjections;
import cottonlock.proxy.control.SharedFile;
import cottonlock.proxy.discovery.EndpointList;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;

/** What other threads see of the endpoint list. */
class BackendDirectoryTest {
    private static final int LISTS = 100_000;

    private final RateLimitedLog log = new RateLimitedLog(System.getLogger("test"));
    private final BackendDirectory directory =
            new BackendDirectory(
                    entry -> null,
                    new ManualEjections(
                            new SharedFile(null, "p", "bans", log), new TickClock(), () -> {}));

    private static EndpointList whole(int version, String id) {
        Endpoint endpoint = new Endpoint(id, 0, 0, 0, Endpoint.State.READY, 1, 0);
        return new EndpointList(version, true, List.of(new EndpointList.Entry(endpoint, null)));
    }

    /** Guards against a backend that is still listed beside those of a list that lacks it. */
    @Example
    void aCompleteListIsSeenAsAWhole() throws InterruptedException {
        directory.update(whole(1, "a"));
        AtomicBoolean over = new AtomicBoolean();
        AtomicInteger mixed = new AtomicInteger();
        Thread reader =
                Sockets.start(
                        "reader",
                        () -> {
                            while (!over.get()) {
                                mixed.addAndGet(directory.listedCount() == 1 ? 0 : 1);
                            }
                        });
        for (int i = 0; i < LISTS; i++) {
            directory.update(whole(2 + i, i % 2 == 0 ? "b" : "a"));
        }
        over.set(true);
        reader.join(4_000);
        assertEquals(0, mixed.get(), "lists of one backend were seen with another number");
    }
}

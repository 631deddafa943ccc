package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.FutureTask;
import net.jqwik.api.Example;

/** A backend's thread is started with its first attempt, and not by the load balancer's thread. */
class BackendThreadsTest extends ProxyFixture {
    private static final int BACKENDS = 60;

    /**
     * The creator of each thread of the proxy; recorded as the threads inherit the thread-local.
     */
    private static final List<String> CREATORS = new CopyOnWriteArrayList<>();

    private static final InheritableThreadLocal<Boolean> TRACKED =
            new InheritableThreadLocal<>() {
                @Override
                protected Boolean childValue(Boolean parent) {
                    if (parent) {
                        CREATORS.add(Thread.currentThread().getName());
                    }
                    return parent;
                }
            };

    private final ThreadGroup group = new ThreadGroup("proxy of this test");

    /** Starts the proxy in a thread from which all its threads descend. */
    private void startInGroup(String... hosts) throws Exception {
        CREATORS.clear();
        FutureTask<Void> building =
                new FutureTask<>(
                        () -> {
                            TRACKED.set(true);
                            start(256, 1, "", hosts);
                            return null;
                        });
        new Thread(group, building, "builder").start();
        building.get();
    }

    private long threads(String name) {
        Thread[] all = new Thread[4 * BACKENDS];
        return Arrays.stream(all, 0, group.enumerate(all))
                .filter(t -> t.getName().equals(name))
                .count();
    }

    private static long createdBy(String name) {
        return Collections.frequency(CREATORS, name);
    }

    /** The first response shows that the list has been processed. */
    @Example
    void aBackendsThreadStartsWithItsFirstAttempt() throws Exception {
        StandIn backend = new StandIn(request -> OK);
        String[] hosts = new String[BACKENDS];
        for (int i = 0; i < BACKENDS; i++) {
            hosts[i] = backend.host("b" + i);
        }
        startInGroup(hosts);
        assertEquals(200, status(call(request("once", "first", "", "body"))));
        assertEquals(1, threads("backend"), "the other backends have no thread");
        for (int i = 0; i < BACKENDS; i++) {
            assertEquals(200, status(call(request("once", "next" + i, "", "body"))));
        }
        long started = threads("backend");
        assertTrue(
                started > 1 && started <= BACKENDS,
                started + " of " + BACKENDS + " backends have a thread");
        assertEquals(started, createdBy("starter"), "each started once");
        assertEquals(2, createdBy("module"), "only the threads for I/O and for starting threads");
    }
}

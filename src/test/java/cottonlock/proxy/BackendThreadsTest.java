package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.FutureTask;
import net.jqwik.api.Example;

/** Backends have threads while they have work, which the load balancer's thread never starts. */
class BackendThreadsTest extends ProxyFixture {
    private static final int BACKENDS = 200;
    private static final int USED_BACKENDS = 100;
    private static final int MAX_REQUESTS = 2_000;
    private static final int MAX_THREADS = 1_000;
    private static final int SOCKETS = 64;

    /** Connections to backends that so many sockets allow at most. */
    private static final int BACKEND_CONNECTIONS = SOCKETS * 3 / 8;

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
                            start(SOCKETS, 1, "", hosts);
                            return null;
                        });
        new Thread(group, building, "builder").start();
        building.get();
    }

    private int threads() {
        return group.enumerate(new Thread[MAX_THREADS]);
    }

    private static long createdBy(String name) {
        return Collections.frequency(CREATORS, name);
    }

    /**
     * Guards against a thread that each backend keeps from its first attempt on. The threads that
     * are left are those of idle connections, of which there are sockets for a few only.
     */
    @Example
    void backendsWithoutWorkHaveNoThread() throws Exception {
        ManyBackends backends = new ManyBackends();
        open.add(backends);
        startInGroup(backends.hosts(BACKENDS));
        int threadsWithoutWork = threads();
        for (int i = 0; backends.used() < USED_BACKENDS && i < MAX_REQUESTS; i++) {
            assertEquals(200, status(call(request("once", "next" + i, "", "body"))));
        }
        assertTrue(backends.used() >= USED_BACKENDS, backends.used() + " backends were used");
        int threadsLeft = threadsWithoutWork + BACKEND_CONNECTIONS + 1;
        eventually(() -> threads() <= threadsLeft, "only idle connections and timers have threads");
        assertEquals(1, createdBy("module"), "only the thread for I/O");
    }
}

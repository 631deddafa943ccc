package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.FutureTask;
import net.jqwik.api.Example;

/** When a backend's thread begins, and that the module's thread waits for none. */
class BackendThreadsTest extends ProxyFixture {
    private static final int BACKENDS = 60;

    /**
     * What each thread of the proxy was made by, told by the threads themselves: they inherit this.
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

    /** All of the proxy's threads come from the one that it is built by. */
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

    /** The first answer shows that the list has been taken in. */
    @Example
    void aBackendsThreadStartsWithItsFirstAttempt() throws Exception {
        StandIn backend = new StandIn(request -> OK);
        String[] hosts = new String[BACKENDS];
        for (int i = 0; i < BACKENDS; i++) {
            hosts[i] = backend.host("b" + i);
        }
        startInGroup(hosts);
        assertEquals(200, status(call(request("once", "first", "", "body"))));
        assertEquals(1, threads("backend"), "the others have none");
        for (int i = 0; i < BACKENDS; i++) {
            assertEquals(200, status(call(request("once", "next" + i, "", "body"))));
        }
        long started = threads("backend");
        assertTrue(started > 1 && started <= BACKENDS, started + " of " + BACKENDS + " have been used");
        assertEquals(started, createdBy("starter"), "each begun once");
        assertEquals(2, createdBy("module"), "those that write and start for it, and no other");
    }
}

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A calm minute: no backend fails, no client misbehaves. With TROUBLE=0 the tier has 200 backends,
 * else sixteen times as many. The platform kills the proxy when it is over its memory limit.
 */
final class LargeFleet {
    private static final int USUAL_BACKENDS = 200;
    private static final int TIMES = 16;
    private static final int MEMORY_MB = 192;
    private static final int CLIENTS = 12;
    private static final long PAUSE_MILLIS = 100;
    private static final long PLAY_MILLIS = 45_000;

    public static void main(String[] args) {
        Rig.main(LargeFleet::play, args);
    }

    private static int play(Rig rig) throws Exception {
        ManyBackends backends =
                new ManyBackends(rig.trouble ? USUAL_BACKENDS * TIMES : USUAL_BACKENDS);
        Discovery discovery = new Discovery(backends::list);
        Deployment deployment = new Deployment();
        deployment.memoryMb = MEMORY_MB;
        deployment.discovery = discovery.port();
        deployment.list = backends.list();
        Process proxy =
                rig.startProxy(
                        "n0", deployment.write(rig.temporary.resolve("n0.json")), rig.temporary);
        rig.awaitReady(proxy, deployment.port);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger others = new AtomicInteger();
        AtomicInteger cutOff = new AtomicInteger();
        long end = rig.millis() + PLAY_MILLIS;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String name = "c" + i;
            threads.add(
                    rig.thread(
                            name,
                            r -> client(r, deployment.port, name, end, served, others, cutOff)));
        }
        Platform platform = new Platform(rig, List.of(proxy), MEMORY_MB);
        boolean over = false;
        for (int i = 0; rig.millis() < end && proxy.isAlive() && !over; i++) {
            over = platform.isOverLimit();
            if (i % 20 == 0) {
                rig.note("%d backends used, %d requests served", backends.used(), served.get());
            }
            Thread.sleep(100);
        }
        if (over) {
            rig.say(
                    "over the limit %d s after the start, with %d backends used: the platform kills"
                            + " the proxy",
                    rig.millis() / 1_000, backends.used());
            proxy.destroyForcibly();
            Thread.sleep(1_000);
        }
        rig.say(
                "%d served, %d refused or failed, %d cut off; the most in use: %d MB of %d MB",
                served.get(), others.get(), cutOff.get(), platform.worstMb(), MEMORY_MB);
        return over || !proxy.isAlive() ? Rig.BROKEN : Rig.HELD;
    }

    private static int client(
            Rig rig,
            int port,
            String name,
            long end,
            AtomicInteger served,
            AtomicInteger others,
            AtomicInteger cutOff)
            throws Exception {
        String tenant = Math.floorMod(name.hashCode(), 5) < 3 ? "malopolska" : "slask";
        boolean open = false;
        for (int i = 0; rig.millis() < end; ) {
            try (Client client = new Client(port)) {
                client.socket.setSoTimeout(5_000);
                while (rig.millis() < end) {
                    client.send(Client.get("limit-check", "/c", name + "-" + i++, tenant, 4_000));
                    open = true;
                    Client.Answer answer = client.readAnswer();
                    open = false;
                    (answer.status == 200 ? served : others).incrementAndGet();
                    Thread.sleep(PAUSE_MILLIS);
                }
            } catch (IOException e) {
                if (open) {
                    cutOff.incrementAndGet();
                    open = false;
                }
                Thread.sleep(500);
            }
        }
        return 0;
    }
}

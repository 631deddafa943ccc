import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The proxy's process is replaced under load, with a memory limit of 96 MB. The platform measures
 * what its processes use together and kills the proxy when that is over the limit.
 */
final class ReplacementMemory {
    private static final int MEMORY_MB = 96;
    private static final int SOCKETS = 512;
    private static final int CLIENTS = 150;
    private static final int BODY_BYTES = 20_000;
    private static final long REPLACE_AT_MILLIS = 15_000;
    private static final long PLAY_MILLIS = 30_000;

    /** The longest deadline, 3 s at most, and 0.7 s. */
    private static final long KILL_AFTER_MILLIS = 3_700;

    public static void main(String[] args) {
        Rig.main(ReplacementMemory::play);
    }

    private static void work(Backend.Request request, OutputStream out) throws Exception {
        Thread.sleep(150);
        Backend.answer(out, 200, new byte[BODY_BYTES]);
    }

    private static int play(Rig rig) throws Exception {
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            String zone = List.of("krakow-a", "krakow-b", "katowice").get(i % 3);
            backends.add(new Backend("b" + i, zone, ReplacementMemory::work));
        }
        Discovery discovery = new Discovery(backends);
        Deployment deployment = new Deployment();
        deployment.memoryMb = MEMORY_MB;
        deployment.sockets = SOCKETS;
        deployment.discovery = discovery.port();
        deployment.list = discovery.list();
        Process old =
                rig.startProxy(
                        "old", deployment.write(rig.temporary.resolve("old.json")), rig.temporary);
        rig.awaitReady(old, deployment.port);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger cutOff = new AtomicInteger();
        long end = rig.millis() + PLAY_MILLIS;
        for (int i = 0; i < CLIENTS; i++) {
            String name = "c" + i;
            rig.thread(
                    name,
                    r -> client(r, deployment.port, name, end, served, refused, cutOff));
        }
        List<Process> processes = new ArrayList<>(List.of(old));
        Platform platform = new Platform(rig, processes, MEMORY_MB);
        int managementPort = Rig.freePort();
        long replaceAt = rig.millis() + REPLACE_AT_MILLIS;
        long termAt = Long.MAX_VALUE;
        boolean killed = false;
        while (rig.millis() < end && !killed) {
            killed = platform.isOverLimit();
            if (rig.trouble && processes.size() == 1 && rig.millis() > replaceAt) {
                Path file = deployment.write(rig.temporary.resolve("new.json"), managementPort);
                processes.add(rig.startProxy("new", file, rig.temporary));
            }
            if (processes.size() == 2 && termAt == Long.MAX_VALUE && saysYes(managementPort)) {
                rig.note("the new process says yes");
                rig.signal(old, "TERM");
                termAt = rig.millis();
            }
            if (termAt < Long.MAX_VALUE
                    && old.isAlive()
                    && rig.millis() - termAt > KILL_AFTER_MILLIS) {
                rig.signal(old, "KILL");
            }
            Thread.sleep(50);
        }
        if (killed) {
            int before = cutOff.get();
            rig.note("over the limit: the platform kills the proxy");
            for (Process process : processes) {
                process.destroyForcibly();
            }
            Thread.sleep(1_000);
            rig.say("requests cut off by the kill: %d", cutOff.get() - before);
        }
        boolean runs = processes.get(processes.size() - 1).isAlive();
        rig.say(
                "%d served, %d refused or failed; the most that the processes used together: %d MB"
                        + " of %d MB",
                served.get(), refused.get(), platform.worstMb(), MEMORY_MB);
        return killed || !runs ? Rig.BROKEN : Rig.HELD;
    }

    private static boolean saysYes(int port) {
        try {
            return Rig.call(port, "HEALTH").startsWith("ACK");
        } catch (IOException e) {
            return false;
        }
    }

    private static int client(
            Rig rig,
            int port,
            String name,
            long end,
            AtomicInteger served,
            AtomicInteger refused,
            AtomicInteger cutOff)
            throws Exception {
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        boolean open = false;
        for (int i = 0; rig.millis() < end; ) {
            try (Client client = new Client(port)) {
                client.socket.setSoTimeout(7_000);
                while (rig.millis() < end) {
                    client.send(
                            "POST /exchange-record/book HTTP/1.1\r\nHost: origin.svc\r\n"
                                    + "X-Request-ID: "
                                    + name
                                    + "-"
                                    + i++
                                    + "\r\nX-Priority-Class: exchange-record\r\n"
                                    + "X-Tenant-Id: malopolska\r\nX-Timeout-Ms: 6000\r\n"
                                    + "Idempotency-Key: "
                                    + name
                                    + "k"
                                    + i
                                    + "\r\nContent-Length: "
                                    + BODY_BYTES
                                    + "\r\n\r\n");
                    client.socket.getOutputStream().write(body);
                    open = true;
                    Client.Answer answer = client.readAnswer();
                    open = false;
                    (answer.status == 200 ? served : refused).incrementAndGet();
                    Thread.sleep(300);
                    if ("close".equals(answer.fields.get("connection"))) {
                        break;
                    }
                }
            } catch (IOException e) {
                if (open) {
                    cutOff.incrementAndGet();
                    open = false;
                }
                Thread.sleep(100);
            }
        }
        return 0;
    }
}

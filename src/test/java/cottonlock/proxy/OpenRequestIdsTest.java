package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.proxy.control.SharedIdTable;
import cottonlock.proxy.io.RateLimitedLog;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/** Requests with the id of one that may still be executed. */
class OpenRequestIdsTest extends ProxyFixture {
    private static final String LONG_TIMEOUT = "X-Timeout-Ms: 1400\r\n";

    /**
     * Guards against an id that ran twice: its client left while the backend was working on it, and
     * the id was taken again while the first attempt was still out.
     */
    @Example
    void anIdStaysOpenWhileAnAttemptOfAClientThatLeftIsOut() throws Exception {
        CountDownLatch proceed = new CountDownLatch(1);
        StandIn backend = backendThatWaits(proceed);
        StandIn other = new StandIn(request -> OK);
        start(backend, other);
        String request = request("once", "same", LONG_TIMEOUT, "body");
        while (backend.requests.isEmpty()) {
            int before = other.requests.size();
            Socket first = connect();
            send(first, request);
            eventually(
                    () -> !backend.requests.isEmpty() || other.requests.size() > before, "it runs");
            if (!backend.requests.isEmpty()) {
                first.close();
                eventually(() -> proxy.listener().clients().isEmpty(), "its disconnect is noticed");
            } else {
                assertEquals(200, status(receive(first)));
                first.close();
                eventually(() -> proxy.listener().clients().isEmpty(), "the connection has ended");
            }
        }
        int ranElsewhere = other.requests.size();
        assertEquals(409, status(call(request)), "while the attempt is out");
        assertEquals(ranElsewhere, other.requests.size());
        assertEquals(1, backend.requests.size());
        proceed.countDown();
        eventually(() -> status(call(request)) == 200, "the id is free when it has ended");
    }

    private int listenPort;

    private Process launchProcess(Path folder, int management, StandIn backend) throws Exception {
        String settings =
                settings(256, 1, "\"mgmt\":\"127.0.0.1:" + management + "\",", backend.host("b"))
                        .replace("127.0.0.1:0", "127.0.0.1:" + listenPort);
        return launch(folder, config(settings), management);
    }

    private Socket connectTo(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(8_000);
        open.add(socket);
        return socket;
    }

    private static String answer(Socket socket, String request) throws IOException {
        send(socket, request);
        return receive(socket);
    }

    /**
     * Guards against an id that ran twice across a replacement of the process: it was open at the
     * old one, and the new one took it. When the old one has been killed, the id is free.
     */
    @Example
    void anIdThatIsOpenAtTheOldProcessIsRefusedByTheNewOne() throws Exception {
        StandIn backend =
                new StandIn(
                        request -> {
                            Thread.sleep(request.get(0).startsWith("POST /once") ? 900 : 0);
                            return OK;
                        });
        for (boolean killed : new boolean[] {false, true}) {
            int[] ports = freePorts(3);
            listenPort = ports[0];
            Path folder = Files.createTempDirectory("ids");
            int before = executions(backend);
            Process old = launchProcess(folder, ports[1], backend);
            Socket usual = connectTo(listenPort);
            assertEquals(200, status(answer(usual, request("read", "first", "", ""))));
            Process replacement = launchProcess(folder, ports[2], backend);
            if (status(answer(usual, request("read", "second", "", ""))) != 200) {
                usual = connectTo(listenPort);
            }
            String request = request("once", "same" + killed, LONG_TIMEOUT, "body");
            send(usual, request);
            eventually(() -> executions(backend) == before + 1, "it runs");
            if (killed) {
                old.destroyForcibly().waitFor();
            } else {
                old.destroy();
                Thread.sleep(300);
            }
            String second = answer(connectTo(listenPort), request);
            assertEquals(killed ? 200 : 409, status(second));
            assertEquals(before + (killed ? 2 : 1), executions(backend));
            if (!killed) {
                assertEquals(200, status(receive(usual)));
            }
            old.destroyForcibly().waitFor();
            replacement.destroyForcibly().waitFor();
        }
    }

    private static int executions(StandIn backend) {
        return (int)
                backend.requests.stream()
                        .filter(request -> request.get(0).startsWith("POST /once"))
                        .count();
    }

    /** Guards against ids of a process that has ended, or that shows them no longer. */
    @Example
    void onlyTheIdsOfProcessesThatRunAreFound() throws Exception {
        Path folder = Files.createTempDirectory("table");
        RateLimitedLog log = new RateLimitedLog(System.getLogger("test"));
        SharedIdTable one = new SharedIdTable(folder, "p", 2, log);
        SharedIdTable two = new SharedIdTable(folder, "p", 2, log);
        SharedIdTable otherProxy = new SharedIdTable(folder, "q", 2, log);
        int slot = one.add("id");
        one.add("second");
        assertEquals(SharedIdTable.NO_SLOT, one.add("third"), "no slot is left");
        assertTrue(two.isInOtherProcess("id"));
        assertTrue(two.isInOtherProcess("second"));
        assertFalse(one.isInOtherProcess("id"), "its own id");
        assertFalse(otherProxy.isInOtherProcess("id"), "of another proxy");
        one.remove(slot);
        assertFalse(two.isInOtherProcess("id"));
        one.close();
        assertFalse(two.isInOtherProcess("second"), "it has ended");
        two.close();
        otherProxy.close();
        try (Stream<Path> files = Files.list(folder)) {
            assertEquals(0, files.count(), "files left behind");
        }
    }
}

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Usual clients send ten requests a second. For ten seconds bad clients send the same request again
 * as soon as it is turned away. Each usual client has to have its final answer.
 */
final class TurnedAwayAgain {
    private static final int BAD_CLIENTS = 150;
    private static final long BAD_FROM_MILLIS = 5_000;
    private static final long BAD_UNTIL_MILLIS = 15_000;
    private static final long PLAY_MILLIS = 30_000;
    private static final long TIMEOUT_MILLIS = 2_000;

    /** Half a second after its time a request without an answer is lost; on sockets 50 ms later. */
    private static final long SLACK_MILLIS = 550;

    private static final int QUERY_CHARS = 3_000;

    public static void main(String[] args) {
        Rig.main(TurnedAwayAgain::play, args);
    }

    private static void work(Backend.Request request, OutputStream out) throws Exception {
        Thread.sleep(request.target.startsWith("/rate-quote") ? 20 : 300);
        Backend.answer(out, 200, request.id());
    }

    private static int play(Rig rig) throws Exception {
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            String zone = List.of("krakow-a", "krakow-b", "katowice").get(i % 3);
            backends.add(new Backend("b" + i, zone, TurnedAwayAgain::work));
        }
        Discovery discovery = new Discovery(backends);
        Deployment deployment = new Deployment();
        deployment.discovery = discovery.port();
        deployment.list = discovery.list();
        Process proxy =
                rig.startProxy(
                        "n0", deployment.write(rig.temporary.resolve("n0.json")), rig.temporary);
        rig.awaitReady(proxy, deployment.port);
        long start = rig.millis();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        if (rig.trouble) {
            for (int i = 0; i < BAD_CLIENTS; i++) {
                String name = "bad" + i;
                rig.thread(
                        name,
                        r -> badClient(r, deployment.port, name, start, refused, served));
            }
        }
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger answeredAtTheEnd = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; rig.millis() - start < PLAY_MILLIS; i++) {
            String id = "u" + i;
            boolean atTheEnd = rig.millis() - start > PLAY_MILLIS - 10_000;
            threads.add(
                    rig.thread(
                            id,
                            r -> {
                                sent.incrementAndGet();
                                String answer = usualClient(r, deployment.port, id);
                                if (answer.startsWith("answered")) {
                                    answered.incrementAndGet();
                                    answeredAtTheEnd.addAndGet(atTheEnd ? 1 : 0);
                                }
                                if (answer.startsWith("lost")) {
                                    lost.incrementAndGet();
                                }
                                r.note("%s %s", id, answer);
                                return 0;
                            }));
            Thread.sleep(100);
        }
        for (Thread thread : threads) {
            thread.join(5_000);
        }
        rig.say("the proxy %s", proxy.isAlive() ? "still runs" : "has ended");
        rig.say("bad clients: %d turned away, %d served", refused.get(), served.get());
        rig.say(
                "usual clients: %d sent, %d answered, of the last ten seconds %d; %d lost",
                sent.get(), answered.get(), answeredAtTheEnd.get(), lost.get());
        return lost.get() > 0 || !proxy.isAlive() ? Rig.BROKEN : Rig.HELD;
    }

    /** A request is lost if it was taken and got no answer by half a second after its time. */
    private static String usualClient(Rig rig, int port, String id) {
        long from = System.nanoTime();
        boolean taken = false;
        try (Client client = new Client(port)) {
            client.socket.setSoTimeout((int) (TIMEOUT_MILLIS + SLACK_MILLIS));
            client.send(Client.get("rate-quote", "/eur", id, "slask", TIMEOUT_MILLIS));
            taken = true;
            Client.Answer answer = client.readAnswer();
            return "answered " + answer.status + " after " + (System.nanoTime() - from) / 1_000_000;
        } catch (java.net.SocketTimeoutException e) {
            return (taken ? "lost: " : "not taken: ") + e.getMessage();
        } catch (IOException e) {
            // A connection that ends unread is no loss on days with bad clients.
            return "not taken or closed: " + e;
        }
    }

    private static int badClient(
            Rig rig, int port, String name, long start, AtomicInteger refused, AtomicInteger served)
            throws Exception {
        String query = "?q=" + "a".repeat(QUERY_CHARS);
        Thread.sleep(BAD_FROM_MILLIS);
        int request = 0;
        for (int i = 0; rig.millis() - start < BAD_UNTIL_MILLIS; ) {
            try (Client client = new Client(port)) {
                client.socket.setSoTimeout(8_000);
                while (rig.millis() - start < BAD_UNTIL_MILLIS) {
                    client.send(
                            "POST /exchange-record/book"
                                    + query
                                    + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: "
                                    + name
                                    + "-"
                                    + i++
                                    + "\r\nX-Priority-Class: exchange-record\r\nX-Tenant-Id: malopolska"
                                    + "\r\nX-Timeout-Ms: 6000\r\nIdempotency-Key: "
                                    + name
                                    + "k"
                                    + request
                                    + "\r\nContent-Length: 2\r\n\r\nok");
                    Client.Answer answer = client.readAnswer();
                    (answer.status == 200 ? served : refused).incrementAndGet();
                    // What was turned away is sent again; only its id is new, as with any retry.
                    request += answer.status == 200 ? 1 : 0;
                    if ("close".equals(answer.fields.get("connection"))) {
                        break;
                    }
                }
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
        return 0;
    }
}

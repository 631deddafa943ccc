import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A client sends many requests at once on one connection, and reads all answers as they come. */
final class ManyAtOnce {
    private static final int REQUESTS = 60;
    private static final int CONNECTIONS = 5;

    public static void main(String[] args) {
        Rig.main(ManyAtOnce::play);
    }

    /** The ids that came to a backend. */
    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();

    private static void work(Backend.Request request, OutputStream out) throws Exception {
        RUN.add(request.id());
        Thread.sleep(20);
        Backend.answer(out, 200, request.id());
    }

    private static int play(Rig rig) throws Exception {
        List<Backend> backends =
                List.of(
                        new Backend("b0", "krakow-a", ManyAtOnce::work),
                        new Backend("b1", "krakow-b", ManyAtOnce::work),
                        new Backend("b2", "katowice", ManyAtOnce::work));
        Discovery discovery = new Discovery(backends);
        Deployment deployment = new Deployment();
        deployment.discovery = discovery.port();
        deployment.list = discovery.list();
        Process proxy =
                rig.startProxy(
                        "n0", deployment.write(rig.temporary.resolve("n0.json")), rig.temporary);
        rig.awaitReady(proxy, deployment.port);
        int lost = 0;
        for (int i = 0; i < CONNECTIONS; i++) {
            lost += connection(rig, deployment.port, i);
        }
        rig.say(
                "%d of %d requests were read and got no answer; %d came to a backend",
                lost, CONNECTIONS * REQUESTS, RUN.size());
        return lost > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static int connection(Rig rig, int port, int number) throws Exception {
        TreeMap<Integer, Integer> statuses = new TreeMap<>();
        int answered = 0;
        String end = "open";
        try (Client client = new Client(port)) {
            client.socket.setSoTimeout(5_000);
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < REQUESTS; i++) {
                String request =
                        Client.get("limit-check", "/c", number + "-" + i, "malopolska", 4_000);
                if (rig.trouble) {
                    all.append(request);
                } else {
                    client.send(request);
                    statuses.merge(client.readAnswer().status, 1, Integer::sum);
                    answered++;
                }
            }
            if (rig.trouble) {
                client.send(all.toString());
                rig.note("connection %d: %d requests, %d bytes", number, REQUESTS, all.length());
            }
            try {
                while (answered < REQUESTS) {
                    Client.Answer a = client.readAnswer();
                    statuses.merge(a.status, 1, Integer::sum);
                    answered++;
                    rig.note(
                            "connection %d: answer %d is %d, Connection: %s",
                            number, answered, a.status, a.fields.get("connection"));
                }
            } catch (EOFException e) {
                end = "ended orderly: all that was sent had been read";
            } catch (IOException e) {
                end = "broke: " + e;
            }
        }
        rig.note(
                "connection %d: answers by status %s, %d requests without; the connection %s",
                number, statuses, REQUESTS - answered, end);
        // What a reset cuts off had not been read; its client sends it once more.
        return end.startsWith("broke") ? 0 : REQUESTS - answered;
    }
}

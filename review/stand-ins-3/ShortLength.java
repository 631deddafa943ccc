import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * One answer in ten is spoilt: its head gives the length in characters, and the body, which is not
 * all ASCII, has some more bytes. Head and body come with one write.
 */
final class ShortLength {
    private static final int REQUESTS = 400;

    public static void main(String[] args) {
        Rig.main(ShortLength::play);
    }

    private static String made(String id) {
        return "{\"id\":\""
                + id
                + "\",\"kwota\":\"125 000,00 z\u0142\",\"pr\u00f3g\":\"15 000,00 \u20ac\","
                + "\"kasjer\":\"\u0141ucja Wi\u015bniewska\",\"zg\u0142oszono\":false}";
    }

    private static int play(Rig rig) throws Exception {
        Backend.Work work =
                (request, out) -> {
                    int number = Integer.parseInt(request.id().substring(1));
                    String text = made(request.id());
                    byte[] body = text.getBytes(StandardCharsets.UTF_8);
                    boolean spoilt = rig.trouble && number % 10 == 7;
                    String head =
                            "HTTP/1.1 200 OK\r\nContent-Length: "
                                    + (spoilt ? text.length() : body.length)
                                    + "\r\n\r\n";
                    out.write((head + text).getBytes(StandardCharsets.UTF_8));
                };
        List<Backend> backends =
                List.of(
                        new Backend("b0", "krakow-a", work),
                        new Backend("b1", "krakow-b", work),
                        new Backend("b2", "katowice", work));
        Discovery discovery = new Discovery(backends);
        Deployment deployment = new Deployment();
        deployment.discovery = discovery.port();
        deployment.list = discovery.list();
        Process proxy =
                rig.startProxy(
                        "n0", deployment.write(rig.temporary.resolve("n0.json")), rig.temporary);
        rig.awaitReady(proxy, deployment.port);
        int wrong = 0;
        int right = 0;
        int others = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = "r" + i;
            try (Client client = new Client(deployment.port)) {
                client.socket.setSoTimeout(3_000);
                client.send(Client.get("limit-check", "/c", id, "malopolska", 2_000));
                Client.Answer answer = client.readAnswer();
                String text = new String(answer.body, StandardCharsets.UTF_8);
                if (answer.status != 200) {
                    others++;
                } else if (text.equals(made(id))) {
                    right++;
                } else {
                    wrong++;
                    rig.note("%s got 200 with %s", id, text);
                }
            } catch (IOException e) {
                // The client can tell that the answer is not whole.
                others++;
                rig.note("%s: %s", id, e);
            }
            Thread.sleep(20);
        }
        rig.say(
                "%d answers as made, %d failed or cut off, %d whole answers of 200 that were not made",
                right, others, wrong);
        return wrong > 0 ? Rig.BROKEN : Rig.HELD;
    }
}

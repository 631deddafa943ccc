import java.io.EOFException;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** A client sends many requests at once on a connection and reads all the answers. */
final class ManyCommandsAtOnce {
    private static final int CLIENTS = 4;
    private static final int COMMANDS = 100;
    private static final long TIMEOUT_MILLIS = 4_000;

    private static int answered;
    private static int lost;
    private static int resent;

    private ManyCommandsAtOnce() {}

    public static void main(String[] args) {
        Rig.play(args, ManyCommandsAtOnce::run);
    }

    private static boolean run() throws Exception {
        Discovery discovery = new Discovery();
        for (String id : List.of("s-1", "s-2", "s-3", "s-4")) {
            Backend backend = new Backend(id, ManyCommandsAtOnce::handle);
            discovery.set(id, backend.dial(), "a", "active", 0);
        }
        Rig.Proxy proxy = new Rig.Proxy("n0");
        String category = Settings.category("limit-check", 1_500, 4_000, "safe", "");
        proxy.configure(
                discovery.port(),
                discovery.whole(),
                Settings.of(category, 1, 1_000, "subscribe", Settings.KANTOR));
        proxy.start();
        proxy.awaitHealth(30_000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Rig.thread(() -> client(number, proxy.port)));
        }
        for (Thread client : clients) {
            client.join();
        }
        Rig.note("answered " + answered + ", sent once more " + resent + ", lost " + lost);
        proxy.noteLog();
        if (answered + lost != CLIENTS * COMMANDS) {
            throw new IOException("the clients did not end");
        }
        return lost == 0;
    }

    private static void handle(Backend.Exchange exchange) throws IOException {
        Rig.sleep(10);
        exchange.answer(200, "made for " + exchange.id());
    }

    private static void client(int number, int port) {
        List<String> owed = new ArrayList<>();
        for (int i = 0; i < COMMANDS; i++) {
            owed.add(String.format("%02d%06d", number, i));
        }
        if (!Rig.TROUBLE) {
            // One after the other, each when the one before has its answer.
            owed.forEach(id -> send(number, port, List.of(id)));
            return;
        }
        List<String> unread = send(number, port, owed);
        if (!unread.isEmpty()) {
            synchronized (ManyCommandsAtOnce.class) {
                resent += unread.size();
            }
            unread.forEach(id -> send(number, port, List.of(id)));
        }
    }

    /** Sends requests at once; returns those that the proxy may not have read before it closed. */
    private static List<String> send(int number, int port, List<String> ids) {
        int got = 0;
        try (Rig.Client client = new Rig.Client(port)) {
            client.socket.setSoTimeout((int) TIMEOUT_MILLIS + 1_000);
            StringBuilder text = new StringBuilder();
            for (String id : ids) {
                text.append(Rig.get("limit-check", id, "acme", TIMEOUT_MILLIS));
            }
            client.write(text.toString());
            if (ids.size() > 1) {
                Rig.note("client " + number + " sent " + ids.size() + " requests at once, "
                        + text.length() + " bytes");
            }
            for (String id : ids) {
                Rig.Answer answer = client.read();
                got++;
                if (answer.status == 200 && !answer.text().equals("made for " + id)) {
                    throw new IOException("an answer to another request");
                }
                if (ids.size() > 1) {
                    Rig.note("client " + number + ": " + id + " got " + answer.status
                            + (answer.close ? ", the last one" : ""));
                }
                count(1, 0);
            }
            return List.of();
        } catch (EOFException e) {
            // The connection was closed in an orderly way. Closed over unread bytes it would have
            // been reset, so the proxy had read all of them.
            Rig.note("client " + number + ": " + (ids.size() - got)
                    + " requests were read and their connection was closed with no answer: " + e);
            count(0, ids.size() - got);
            return List.of();
        } catch (SocketTimeoutException e) {
            Rig.note("client " + number + ": no answer in time");
            count(0, ids.size() - got);
            return List.of();
        } catch (IOException e) {
            Rig.note("client " + number + ": " + e);
            if (ids.size() == 1) {
                count(0, 1);
                return List.of();
            }
            return ids.subList(got, ids.size());
        }
    }

    private static synchronized void count(int moreAnswered, int moreLost) {
        answered += moreAnswered;
        lost += moreLost;
    }
}

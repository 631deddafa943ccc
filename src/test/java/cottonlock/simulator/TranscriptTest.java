package cottonlock.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.Example;

/**
 * A day on the wire for each kind of site, made from a seed: arrivals, answers that depend on what
 * was sent, a list that changes, standstills. The same input gives the same actions. What was said
 * is left in target/transcripts, so that a change which is to decide nothing else can be compared
 * with the state before it, line by line.
 */
class TranscriptTest {
    private static final int TICKS = 4_000;
    private static final Map<String, String> SITES =
            new TreeMap<>(
                    Map.of(
                            "few",
                            "FleetSize=3 Stage=0 Limits.Cancel=true Limits.RetryAfter=true"
                                    + " Limits.MaxRetryAfter=2000000 Limits.PeerMessages=true"
                                    + " Limits.MaxHandOffs=4",
                            "many",
                            "FleetSize=40 Stage=0 Limits.Cancel=true Limits.MaxHandOffs=3",
                            "behind",
                            "FleetSize=15 Stage=1 Limits.MaxHandOffs=2",
                            "apart",
                            "FleetSize=60 Me=7 Stage=0 Workload=mesh Fees.Connection=0.05"
                                    + " Fees.Handshake=0.00001 Limits.MaxHandOffs=3"
                                    + " Limits.Cancel=true"));
    private static final String COMMON =
            " Categories.count=3 Categories.0.DueTime=750000 Categories.0.Repeat=safe"
                + " Categories.1.DueTime=1500000 Categories.1.Repeat=keyed"
                + " Categories.1.KeyScope=zone Categories.1.RepeatWindow=3000000"
                + " Categories.2.DueTime=2500000 Categories.2.Repeat=unsafe Projects.count=2"
                + " Projects.0.Share=0.6 Projects.0.QuotaRps=60 Projects.1.Share=0.4"
                + " Projects.1.QuotaRps=30 MembershipMode=subscribe Obligations.AskWithin=10000000"
                + " Obligations.ColdShare=0.4 Obligations.Cold=8000000 Obligations.FallMultiple=3"
                + " Obligations.Fall=3000000";

    /** The world around the adapter: each batch follows from the replies to those before. */
    private static final class World extends InputStream {
        private final SplittableRandom random;
        private final ByteArrayOutputStream replies;
        private final Deque<Byte> batch = new ArrayDeque<>();
        private final PriorityQueue<long[]> timers =
                new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));

        /** When, which request, which of its attempts; what is said of it. */
        private final Map<Long, List<String>> due = new TreeMap<>();

        private final Map<Long, Integer> attempts = new TreeMap<>();
        private final String settings;
        private int tick;
        private int seen;
        private long clock;
        private long lastId;

        World(long seed, String settings, ByteArrayOutputStream replies) {
            this.random = new SplittableRandom(seed);
            this.settings = settings;
            this.replies = replies;
        }

        @Override
        public int read() {
            if (batch.isEmpty() && tick <= TICKS) {
                String text = next();
                for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
                    batch.add(b);
                }
            }
            return batch.isEmpty() ? -1 : batch.poll();
        }

        @Override
        public int read(byte[] to, int from, int most) {
            int n = 0;
            for (int b = read(); b >= 0; b = n < most && !batch.isEmpty() ? read() : -1) {
                to[from + n++] = (byte) b;
            }
            return n == 0 ? -1 : n;
        }

        private String next() {
            heed();
            // A standstill now and then.
            clock += random.nextInt(700) == 0 ? 900_000 : 5_000;
            StringBuilder out = new StringBuilder("tick " + clock + " " + ++tick + "\n");
            if (tick == 1) {
                out.append("init p 5 ").append(settings).append(COMMON).append('\n');
                list(out, "cached", 0, 12, "ready");
            } else if (tick % 500 == 0) {
                int from = random.nextInt(10);
                String state = List.of("draining", "gone", "ready").get(random.nextInt(3));
                list(out, "delta", from, from + 2, state);
            }
            while (!timers.isEmpty() && timers.peek()[0] <= clock) {
                out.append("timer p ").append(timers.poll()[1]).append('\n');
            }
            while (!due.isEmpty() && due.keySet().iterator().next() <= clock) {
                due.remove(due.keySet().iterator().next())
                        .forEach(line -> out.append(line).append('\n'));
            }
            boolean burst = tick > TICKS / 2 && tick < TICKS * 3 / 4;
            for (int i = random.nextInt(burst ? 4 : 2); i > 0; i--) {
                out.append("inbound p ")
                        .append(++lastId)
                        .append(' ')
                        .append(random.nextInt(3))
                        .append(' ')
                        .append(random.nextInt(2))
                        .append(" - ")
                        .append(500_000 + random.nextInt(4_000_000))
                        .append(" - ")
                        .append(random.nextInt(8) == 0 ? 2 : 0)
                        .append('\n');
            }
            return out.append("eob\n").toString();
        }

        private void list(StringBuilder out, String scope, int from, int to, String state) {
            out.append("register 0 ").append(to - from).append('\n');
            for (int n = from; n < to; n++) {
                out.append("item b")
                        .append(n)
                        .append(' ')
                        .append(n % 3)
                        .append(' ')
                        .append(n % 2)
                        .append(' ')
                        .append(n / 4)
                        .append(' ')
                        .append(state)
                        .append(" 1 ")
                        .append(state.equals("ready") && tick > 1 ? clock : 0)
                        .append('\n');
            }
            out.append("endpoints p ").append(scope).append(' ').append(tick).append(" 0\n");
        }

        /** What the adapter has asked for since. */
        private void heed() {
            String[] lines =
                    replies.toString(StandardCharsets.UTF_8).substring(seen).split("\n", 0);
            seen = replies.size();
            for (String line : lines) {
                String[] words = line.split(" ", 0);
                if (words[0].equals("set_timer")) {
                    timers.add(new long[] {Long.parseLong(words[2]), Long.parseLong(words[3])});
                } else if (words[0].equals("dispatch")) {
                    long id = Long.parseLong(words[2]);
                    int number = attempts.merge(id, 1, Integer::sum) - 1;
                    int kind = random.nextInt(40);
                    String how =
                            kind == 0
                                    ? "errored"
                                    : kind == 1
                                            ? "saturated"
                                            : kind == 2
                                                    ? "refused_conn"
                                                    : kind == 3
                                                            ? "severed"
                                                            : kind == 4 ? "overdue" : "completed";
                    long took = (long) (-120_000 * Math.log(1 - random.nextDouble())) + 20_000;
                    due.computeIfAbsent(clock + took, at -> new ArrayList<>())
                            .add(
                                    "settled p "
                                            + id
                                            + " "
                                            + how
                                            + " "
                                            + number
                                            + " "
                                            + took
                                            + " "
                                            + (how.equals("completed") ? 1 : 0)
                                            + " "
                                            + words[3]
                                            + " -");
                }
            }
        }
    }

    private static String play(String site, long seed) throws IOException {
        ByteArrayOutputStream replies = new ByteArrayOutputStream();
        ByteArrayOutputStream complaints = new ByteArrayOutputStream();
        int code =
                new WireHost(
                                new World(seed, SITES.get(site), replies),
                                replies,
                                new PrintStream(complaints, true, StandardCharsets.UTF_8))
                        .run();
        assertEquals(0, code, complaints::toString);
        return replies.toString(StandardCharsets.UTF_8);
    }

    @Example
    void theSameInputGivesTheSameActions() throws IOException {
        Path folder = Files.createDirectories(Path.of("target", "transcripts"));
        for (String site : SITES.keySet()) {
            for (long seed = 1; seed <= 3; seed++) {
                String said = play(site, seed);
                assertEquals(said, play(site, seed));
                for (String action :
                        List.of("dispatch ", "overload_reply ", "give_up ", "listen ")) {
                    assertTrue(
                            said.contains("\n" + action),
                            site + " " + seed + " never says " + action);
                }
                Files.writeString(folder.resolve(site + "-" + seed + ".txt"), said);
            }
        }
    }
}

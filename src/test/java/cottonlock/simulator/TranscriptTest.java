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
 * Simulates each kind of deployment from a seed, at the level of the wire protocol: requests that
 * arrive, responses that depend on the attempts sent, changes of the endpoint list, and stalls. The
 * same input must give the same actions. Transcripts of the replies are written to
 * target/transcripts, so that a change that must not alter decisions can be compared with the
 * previous state line by line.
 */
class TranscriptTest {
    private static final int BATCHES = 4_000;
    private static final Map<String, String> SETTINGS_BY_DEPLOYMENT =
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
    private static final String COMMON_SETTINGS =
            " Categories.count=3 Categories.0.DueTime=750000 Categories.0.Repeat=safe"
                + " Categories.1.DueTime=1500000 Categories.1.Repeat=keyed"
                + " Categories.1.KeyScope=zone Categories.1.RepeatWindow=3000000"
                + " Categories.2.DueTime=2500000 Categories.2.Repeat=unsafe Projects.count=2"
                + " Projects.0.Share=0.6 Projects.0.QuotaRps=60 Projects.1.Share=0.4"
                + " Projects.1.QuotaRps=30 MembershipMode=subscribe Obligations.AskWithin=10000000"
                + " Obligations.ColdShare=0.4 Obligations.Cold=8000000 Obligations.FallMultiple=3"
                + " Obligations.Fall=3000000";

    /** The environment of the adapter: each batch depends on the replies to the previous ones. */
    private static final class SimulatedEnvironment extends InputStream {
        private final SplittableRandom random;
        private final ByteArrayOutputStream replies;
        private final Deque<Byte> batch = new ArrayDeque<>();
        private final PriorityQueue<long[]> timers =
                new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));

        /** Messages to send, by the time at which they are due. */
        private final Map<Long, List<String>> dueMessages = new TreeMap<>();

        private final Map<Long, Integer> attemptCounts = new TreeMap<>();
        private final String settings;
        private int batchNumber;
        private int processedBytes;
        private long clockMicros;
        private long lastId;

        SimulatedEnvironment(long seed, String settings, ByteArrayOutputStream replies) {
            this.random = new SplittableRandom(seed);
            this.settings = settings;
            this.replies = replies;
        }

        @Override
        public int read() {
            if (batch.isEmpty() && batchNumber <= BATCHES) {
                String text = nextBatch();
                for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
                    batch.add(b);
                }
            }
            return batch.isEmpty() ? -1 : batch.poll();
        }

        @Override
        public int read(byte[] target, int offset, int maxLength) {
            int length = 0;
            for (int b = read(); b >= 0; b = length < maxLength && !batch.isEmpty() ? read() : -1) {
                target[offset + length++] = (byte) b;
            }
            return length == 0 ? -1 : length;
        }

        private String nextBatch() {
            handleReplies();
            // An occasional stall.
            clockMicros += random.nextInt(700) == 0 ? 900_000 : 5_000;
            StringBuilder out =
                    new StringBuilder("tick " + clockMicros + " " + ++batchNumber + "\n");
            if (batchNumber == 1) {
                out.append("init p 5 ").append(settings).append(COMMON_SETTINGS).append('\n');
                appendEndpointList(out, "cached", 0, 12, "ready");
            } else if (batchNumber % 500 == 0) {
                int from = random.nextInt(10);
                String state = List.of("draining", "gone", "ready").get(random.nextInt(3));
                appendEndpointList(out, "delta", from, from + 2, state);
            }
            while (!timers.isEmpty() && timers.peek()[0] <= clockMicros) {
                out.append("timer p ").append(timers.poll()[1]).append('\n');
            }
            while (!dueMessages.isEmpty()
                    && dueMessages.keySet().iterator().next() <= clockMicros) {
                dueMessages
                        .remove(dueMessages.keySet().iterator().next())
                        .forEach(line -> out.append(line).append('\n'));
            }
            boolean burst = batchNumber > BATCHES / 2 && batchNumber < BATCHES * 3 / 4;
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

        private void appendEndpointList(
                StringBuilder out, String scope, int from, int to, String state) {
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
                        .append(state.equals("ready") && batchNumber > 1 ? clockMicros : 0)
                        .append('\n');
            }
            out.append("endpoints p ").append(scope).append(' ').append(batchNumber).append(" 0\n");
        }

        /** Handles the actions in the replies since the last call. */
        private void handleReplies() {
            String[] lines =
                    replies.toString(StandardCharsets.UTF_8)
                            .substring(processedBytes)
                            .split("\n", 0);
            processedBytes = replies.size();
            for (String line : lines) {
                String[] words = line.split(" ", 0);
                if (words[0].equals("set_timer")) {
                    timers.add(new long[] {Long.parseLong(words[2]), Long.parseLong(words[3])});
                } else if (words[0].equals("dispatch")) {
                    long id = Long.parseLong(words[2]);
                    int attemptNumber = attemptCounts.merge(id, 1, Integer::sum) - 1;
                    int kind = random.nextInt(40);
                    String outcome =
                            kind == 0
                                    ? "errored"
                                    : kind == 1
                                            ? "saturated"
                                            : kind == 2
                                                    ? "refused_conn"
                                                    : kind == 3
                                                            ? "severed"
                                                            : kind == 4 ? "overdue" : "completed";
                    long latencyMicros =
                            (long) (-120_000 * Math.log(1 - random.nextDouble())) + 20_000;
                    dueMessages
                            .computeIfAbsent(clockMicros + latencyMicros, at -> new ArrayList<>())
                            .add(
                                    "settled p "
                                            + id
                                            + " "
                                            + outcome
                                            + " "
                                            + attemptNumber
                                            + " "
                                            + latencyMicros
                                            + " "
                                            + (outcome.equals("completed") ? 1 : 0)
                                            + " "
                                            + words[3]
                                            + " -");
                }
            }
        }
    }

    private static String run(String deployment, long seed) throws IOException {
        ByteArrayOutputStream replies = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        int exitCode =
                new WireHost(
                                new SimulatedEnvironment(
                                        seed, SETTINGS_BY_DEPLOYMENT.get(deployment), replies),
                                replies,
                                new PrintStream(errors, true, StandardCharsets.UTF_8))
                        .run();
        assertEquals(0, exitCode, errors::toString);
        return replies.toString(StandardCharsets.UTF_8);
    }

    @Example
    void theSameInputGivesTheSameActions() throws IOException {
        Path folder = Files.createDirectories(Path.of("target", "transcripts"));
        for (String deployment : SETTINGS_BY_DEPLOYMENT.keySet()) {
            for (long seed = 1; seed <= 3; seed++) {
                String transcript = run(deployment, seed);
                assertEquals(transcript, run(deployment, seed));
                for (String action :
                        List.of("dispatch ", "overload_reply ", "give_up ", "listen ")) {
                    assertTrue(
                            transcript.contains("\n" + action),
                            deployment + " " + seed + " has no action " + action);
                }
                Files.writeString(folder.resolve(deployment + "-" + seed + ".txt"), transcript);
            }
        }
    }
}

package cottonlock.simulator;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;

/**
 * Tests the order of the messages in replies, and the error for input that does not follow the
 * protocol.
 */
class WireHostTest {
    private static final String START =
            "tick 1000 1\ninit proxy/0 5 Categories.count=1"
                    + " Categories.0.DueTime=1000000 Limits.MaxHandOffs=3 Unknown.Key=7\n"
                    + "register 0 1\nitem backend.a 0 0 0 ready 1 -\n"
                    + "endpoints proxy/0 cached 1 0\neob\n";

    private final ByteArrayOutputStream replies = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private int run(String input) throws IOException {
        return new WireHost(
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        replies,
                        new PrintStream(errors, true))
                .run();
    }

    private void assertRejected(String input, String error) throws IOException {
        errors.reset();
        assertEquals(1, run(input));
        String output = errors.toString(UTF_8).trim();
        assertTrue(output.contains(error) && output.lines().count() == 1, output);
    }

    @Example
    void requestIsSentAndCompleted() throws IOException {
        assertEquals(
                0,
                run(
                        START
                                + "tick 6000 2\n"
                                + "inbound proxy/0 77 0 - - 500000 - 0\n"
                                + "eob\n"
                                + "tick 9000 3\n"
                                + "settled proxy/0 77 completed 0 3000 1 backend.a -\n"
                                + "left proxy/0 77\n"
                                + "eob\n"));
        assertEquals(
                """
                set_timer proxy/0 26000 0
                yield 1
                dispatch proxy/0 77 backend.a 0
                yield 2
                yield 3
                """,
                replies.toString(UTF_8));
    }

    @Example
    void instanceCanStopAndStartInOneBatch() throws IOException {
        assertEquals(
                0,
                run(
                        START
                                + "tick 6000 2\nretire proxy/0\n"
                                + START.substring(START.indexOf("init"))));
        assertTrue(replies.toString(UTF_8).endsWith("yield 2\n"));
    }

    @Example
    void malformedInputIsReportedInOneLine() throws IOException {
        assertRejected("tock 1 1\n", "line 1: a batch must start with 'tick'");
        assertRejected(
                "tick 1 1\ninbound proxy/9 1 0 0 - 5 0 0\n", "line 2: unknown instance: proxy/9");
        assertRejected("tick 1 1\nsing proxy/9\n", "line 2: unknown message: sing");
        assertRejected("tick x 1\n", "line 1: clock is not a whole number: x");
        assertRejected("tick 1 1\n", "line 1: the input ends within a batch");
        assertRejected("tick 1 1", "line 1: the input ends within a line");
        assertRejected(
                "tick 1 1\nregister 0 2\nitem b 0 0 0 ready 1 -\neob\n",
                "an endpoint list of 2 ends after 1");
        assertRejected("tick 1 1\nregister 16 0\n", "Buffer is out of range: 16");
        assertRejected(
                "tick 1 1\ninit proxy/0 5 Limits.Cancel=perhaps\n",
                "Limits.Cancel is neither true nor false");
        assertRejected(
                START + "tick 2000 2\nendpoints proxy/0 full 2 9\n", "no list has been registered");
        assertRejected(
                START + "tick 2000 2\ninbound proxy/0 1 4 0 - 5 0 0\n",
                "Service is out of range: 4");
        assertRejected(
                START + "tick 2000 2\nsettled proxy/0 1 vanished 0 1 0 b -\n",
                "unknown Outcome: vanished");
    }
}

package cottonlock.lab;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/**
 * Membership of five real processes under faults: their views are compared with the truth. With a
 * safeguard switched off a bound must be exceeded. Bounds are several protocol periods of 250 ms,
 * with a margin. A run on a machine that was late has no verdict and is repeated.
 */
class MembersProcessesTest {
    private static final String FIVE =
            ScenarioTest.PLAIN
                            .replace("seconds = 2", "seconds = 12")
                            .replace("rate = 100", "rate = 40")
                            .replace("count = 2", "count = 5\nprocesses = true")
                            .replace("expiry_ms = 1500", "expiry_ms = 1000")
                    + """
                    [membership]
                    enabled = true
                    keyed = true
                    period_ms = 250
                    hung_ms = 1000
                    watch_limit_ms = 120
                    [clients]
                    notice_s = 0.3
                    """;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final Lab lab = new Lab(new PrintStream(out, true), new PrintStream(err, true), false);

    private static String fault(String kind, double at, double length, String more) {
        return "[[fault]]\nkind = \""
                + kind
                + "\"\nat = "
                + at
                + "\nfor = "
                + length
                + "\n"
                + more
                + "\n";
    }

    private int run(String text, String... sets) throws Exception {
        List<String> all = new ArrayList<>(List.of("late_limit_ms=100"));
        all.addAll(List.of(sets));
        int status = 3;
        for (int tries = 0; status == 3 && tries < 3; tries++) {
            out.reset();
            status = lab.run(ScenarioTest.file(text), null, all, null, false);
        }
        return status;
    }

    private double figure(String key) {
        String[] lines = out.toString(UTF_8).strip().split("\n", 0);
        return Double.parseDouble(
                lines[lines.length - 1].replaceAll(".* " + key + "=([0-9.]+).*", "$1"));
    }

    /**
     * Processes that are killed, hung, suspended, partitioned, or cut off in one direction are
     * detected in time, and recover.
     */
    @Example
    void lostMembersAreDetectedAndRejoin() throws Exception {
        int status =
                run(
                        FIVE
                                + fault("proxy-kill", 1, 5, "proxies = \"1\"")
                                + fault("proxy-hang", 1, 6, "proxies = \"3\"")
                                + fault("proxy-pause", 10, 5, "proxies = \"2\"")
                                + fault("proxy-term", 10, 0.5, "proxies = \"4\"")
                                + fault("proxy-replace", 14, 1, "proxies = \"0\"")
                                + fault("peer-split", 18, 5, "groups = \"0-1/2-4\"")
                                + fault("peer-cut", 26, 6, "groups = \"0/1\"\none_way = true")
                                + fault("peer-loss", 18, 14, "chance = 0.1")
                                + fault("peer-forge", 1, 30, "per_second = 20")
                                + "[expect]\n"
                                + "false_failed = \"= 0\"\n"
                                + "found_ms = \"<= 4500\"\n"
                                + "found_all_ms = \"<= 5000\"\n"
                                + "agree_ms = \"<= 3000\"\n"
                                + "peer_bytes_s = \"<= 4096\"\n"
                                + "unheard = \"= 0\"\n",
                        "seconds=34");
        assertEquals(0, status, out + " " + err);
        assertTrue(figure("found_all_ms") > 500, "deaths were there to be found: " + out);
    }

    /**
     * After a split, halves that have called each other failed merge only if failed members are
     * still contacted.
     */
    @Example
    void halvesDoNotMergeIfFailedMembersAreNotContacted() throws Exception {
        assertEquals(
                1,
                run(
                        FIVE
                                + fault("peer-split", 0.5, 5, "groups = \"0-1/2-4\"")
                                + "[expect]\nagree_ms = \"<= 3000\"\n",
                        "membership.contact_periods=100"),
                out + " " + err);
        assertTrue(figure("agree_ms") > 3_000, out.toString(UTF_8));
    }

    /** A stalled load balancer is not detected by whether its process answers. */
    @Example
    void aStalledLoadBalancerIsNotDetectedByAnswersAlone() throws Exception {
        assertEquals(
                1,
                run(
                        FIVE
                                + fault("proxy-hang", 1, 8, "proxies = \"3\"")
                                + "[expect]\nfound_all_ms = \"<= 5000\"\n",
                        "membership.hung_ms=600000"),
                out + " " + err);
        assertTrue(figure("found_all_ms") > 5_000, out.toString(UTF_8));
    }
}

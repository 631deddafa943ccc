package cottonlock.lab.soak;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;

/** Guards against requests that are lost or executed twice during restarts of real processes. */
class SoakTest {
    private static final Path SCENARIO = Path.of("scenarios", "soak.toml");

    /** A run on a machine that was late has no verdict and is repeated. */
    private static final int NO_VERDICT = 3;

    private static final int MAX_PLAYS = 3;

    @Example
    void restartsBySeriesOfSignalsKeepTheFourRules() throws Exception {
        for (long seed = 1; seed <= 6; seed += 2) {
            assertPass(seed, seed + 1);
        }
    }

    private static void assertPass(long firstSeed, long lastSeed) throws Exception {
        Path folder = Files.createTempDirectory("soak");
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(output, true, UTF_8);
        int status = NO_VERDICT;
        for (int plays = 0; status == NO_VERDICT && plays < MAX_PLAYS; plays++) {
            status = new Soak(SCENARIO, folder, out).play(firstSeed, lastSeed, 2);
        }
        assertEquals(0, status, output.toString(UTF_8));
    }

    @Example
    void theSeedAloneDeterminesThePlan() {
        assertEquals(new SoakPlan(7).toToml(), new SoakPlan(7).toToml());
        assertNotEquals(new SoakPlan(7).toToml(), new SoakPlan(8).toToml());
    }
}

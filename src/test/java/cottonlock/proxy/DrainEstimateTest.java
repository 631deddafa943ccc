package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;

/** How long a peer takes to read what has been written. */
class DrainEstimateTest {
    private static final int WRITE_BYTES = 8_192;
    private static final long MILLIS = 1_000_000;

    private final DrainEstimate estimate = new DrainEstimate();
    private long nowNanos = 5;

    private void write(int times, long millisEach) {
        for (int i = 0; i < times; i++) {
            nowNanos += millisEach * MILLIS;
            estimate.written(WRITE_BYTES, nowNanos);
        }
    }

    private long remainingMillis() {
        return estimate.remainingNanos() / MILLIS;
    }

    /**
     * Guards against a pause of this process that passed for the point at which the buffers were
     * full: the estimate was a tenth of the time that the peer needed.
     */
    @Example
    void aPauseBeforeTheBuffersAreFullDoesNotShortenTheEstimate() {
        write(1, 0);
        write(1, 20);
        write(18, 0);
        // From here on the peer reads 8 KiB each 70 ms, with 160 KiB before it.
        write(40, 70);
        assertTrue(remainingMillis() >= 20 * 70, "it needs 1,400 ms: " + remainingMillis());
    }

    @Example
    void aPeerThatReadsInLargePiecesIsNotTakenForAFastOne() {
        write(20, 0);
        for (int piece = 0; piece < 4; piece++) {
            write(1, 800);
            write(11, 0);
        }
        assertTrue(remainingMillis() >= 20 / 12.0 * 800, "it needs that: " + remainingMillis());
    }

    /**
     * Guards against giving up a body of 488 KiB that its backend reads steadily within 600 ms, as
     * its system makes space for 72 KiB at a time: 720 ms more were estimated after 460 ms.
     */
    @Example
    void stepsInWhichAPeerMakesSpaceDoNotMultiplyTheEstimate() {
        write(19, 0);
        write(1, 90);
        write(8, 0);
        write(1, 100);
        write(3, 0);
        write(1, 100);
        write(8, 0);
        write(1, 130);
        write(3, 0);
        write(1, 40);
        write(15, 0);
        assertTrue(remainingMillis() >= 140, "it needs that: " + remainingMillis());
        assertTrue(remainingMillis() <= 600, "a steady peer: " + remainingMillis());
    }

    /** Guards against an average that hides how slowly a peer has read in the end. */
    @Example
    void aPeerThatHasBecomeSlowIsNotTakenForAFastOne() {
        write(50, 0);
        write(16, 100);
        assertTrue(remainingMillis() >= 20 * 100, "160 KiB at its pace: " + remainingMillis());
    }

    @Example
    void aPeerThatReadsAtOnceIsNotWaitedFor() {
        write(60, 0);
        assertEquals(0, remainingMillis());
    }

    @Example
    void nothingIsKnownOfAFewWrites() {
        write(8, 100);
        assertEquals(0, remainingMillis());
    }
}

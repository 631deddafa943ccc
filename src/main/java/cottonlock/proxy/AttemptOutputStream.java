package cottonlock.proxy;

import cottonlock.core.Ticks;
import cottonlock.proxy.concurrent.TickClock;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Writes the request of an attempt within the attempt's time bounds. It fails before it writes
 * anything too late: a request without its last byte is never executed. Used by one thread.
 *
 * <p>A long request whose last byte must reach the backend in time is also written so that it does:
 * systems take in far more than a slow backend has read, so the last part is held back until the
 * backend has probably read what comes before it. If that will not be in time, the attempt is given
 * up at once.
 */
final class AttemptOutputStream extends FilterOutputStream {
    /** Milliseconds of one part of a wait, after which it is checked whether it has an end. */
    private static final long WAIT_STEP_MILLIS = 20;

    private static final byte[] NOTHING = {};

    /** The attempt was given up before its last byte was written. */
    static final class GivenUpException extends IOException {
        private static final long serialVersionUID = 1L;

        GivenUpException(String message) {
            super(message);
        }
    }

    private final ClientRequest.Attempt attempt;
    private final TickClock clock;

    /** Whether the last part is held back. */
    private final boolean holdsBack;

    private final DrainEstimate drain = new DrainEstimate();
    private byte[] heldBack = NOTHING;
    private boolean started;

    AttemptOutputStream(
            OutputStream out, ClientRequest.Attempt attempt, TickClock clock, boolean holdsBack) {
        super(out);
        this.attempt = attempt;
        this.clock = clock;
        this.holdsBack = holdsBack;
    }

    @Override
    public void write(byte[] bytes, int from, int count) throws IOException {
        checkTime();
        started = true;
        if (!holdsBack) {
            out.write(bytes, from, count);
            return;
        }
        writeHeldBack();
        heldBack = Arrays.copyOfRange(bytes, from, from + count);
    }

    /** Writes what has been held back; called after the whole request has been written. */
    void finish() throws IOException {
        if (holdsBack) {
            awaitDrained();
            writeHeldBack();
        }
    }

    private void writeHeldBack() throws IOException {
        out.write(heldBack, 0, heldBack.length);
        drain.written(heldBack.length, System.nanoTime());
    }

    private void awaitDrained() throws IOException {
        long drainedNanos = System.nanoTime() + drain.remainingNanos();
        for (long remaining = drainedNanos - System.nanoTime();
                remaining > 0;
                remaining = drainedNanos - System.nanoTime()) {
            if (clock.now() + remaining / Ticks.NANOSECONDS_PER_TICK >= attempt.sendByTicks) {
                throw new GivenUpException("the backend reads too slowly to have it all in time");
            }
            if (attempt.isSettled() || attempt.req.claimed()) {
                throw new GivenUpException("the attempt has ended");
            }
            pause(Math.min(remaining, TimeUnit.MILLISECONDS.toNanos(WAIT_STEP_MILLIS)));
            // The wait is progress as well.
            out.write(NOTHING, 0, 0);
        }
        checkTime();
    }

    private static void pause(long nanos) throws IOException {
        try {
            TimeUnit.NANOSECONDS.sleep(nanos);
        } catch (InterruptedException e) {
            throw new IOException("interrupted while a backend was reading", e);
        }
    }

    private void checkTime() throws IOException {
        long now = clock.now();
        if (now >= attempt.sendByTicks || (!started && !attempt.mayStart(now))) {
            throw new GivenUpException(
                    "the deadline for sending has passed, or the client has left");
        }
    }
}

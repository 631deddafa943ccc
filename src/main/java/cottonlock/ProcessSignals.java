package cottonlock;

import cottonlock.proxy.Proxy;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Maps the process's signals to the proxy's life cycle: SIGTERM drains it, SIGHUP reloads its
 * configuration.
 *
 * <p>Created before any other class of the program is loaded, since Java's own reaction to either
 * signal ends the process. A signal that arrives during the start waits for {@link #startCompleted(Proxy)}
 * on the signal's or the shutdown hook's thread. Signals that come before the JVM has started the
 * program can't be held: docs/operators.md says what to wait for.
 *
 * <p>Java has no public interface for signals: this is the only class that uses {@code sun.misc}.
 */
final class ProcessSignals {
    /** A process manager kills a process that has not stopped after little more. */
    private static final long MAX_DRAIN_DELAY_SECONDS = 3;

    private final CountDownLatch startLatch = new CountDownLatch(1);
    private final AtomicBoolean reloadPending = new AtomicBoolean();
    private final boolean hangUpIgnored;

    /** Written once, by the starting thread, before {@link #startLatch} opens; null if none serves. */
    private Proxy proxy;

    /** Installs the handler of SIGHUP, then the shutdown hook. */
    ProcessSignals() {
        // Java leaves a signal alone that the parent process ignores, as nohup does with SIGHUP,
        // and returns SIG_IGN here.
        hangUpIgnored =
                sun.misc.Signal.handle(new sun.misc.Signal("HUP"), new HangUpHandler())
                        == sun.misc.SignalHandler.SIG_IGN;
        Runtime.getRuntime().addShutdownHook(new Thread(this::drain));
    }

    /** A class, as a lambda would take milliseconds to link before the handler is installed. */
    private final class HangUpHandler implements sun.misc.SignalHandler {
        /** Runs on a thread of its own for each signal. */
        @Override
        public void handle(sun.misc.Signal signal) {
            reload();
        }
    }

    /**
     * Carries out the signals that arrived during the start, and those that follow.
     *
     * @param startedProxy the proxy that serves, or null if the start failed
     */
    void startCompleted(Proxy startedProxy) {
        proxy = startedProxy;
        ServiceLogManager.keepOpen();
        startLatch.countDown();
        if (hangUpIgnored && startedProxy != null) {
            warnOfIgnoredHangUp();
        }
    }

    /**
     * However long the start takes, the file is read again after it: it may have been replaced
     * since the start read it. One reload serves all signals that have come before it begins.
     */
    private void reload() {
        if (!reloadPending.compareAndSet(false, true)) {
            return;
        }
        try {
            startLatch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        } finally {
            reloadPending.set(false);
        }
        if (proxy != null) {
            proxy.reload();
        }
    }

    private void drain() {
        long signalledAtNanos = System.nanoTime();
        try {
            if (startLatch.await(MAX_DRAIN_DELAY_SECONDS, TimeUnit.SECONDS) && proxy != null) {
                proxy.drain(signalledAtNanos);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void warnOfIgnoredHangUp() {
        System.getLogger("cottonlock")
                .log(
                        System.Logger.Level.WARNING,
                        "signals: SIGHUP was ignored before the start, as under nohup: a new"
                                + " configuration will never be taken in");
    }
}

package cottonlock;

import cottonlock.proxy.Proxy;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Maps the process's signals to the proxy's life cycle: SIGTERM drains it, SIGHUP reloads its
 * configuration.
 *
 * <p>Created before any other class of the program is loaded, since Java's default handling of
 * either signal ends the process. A signal that arrives during the start waits for {@link
 * #startCompleted(Proxy)} on the thread of the signal or of the shutdown hook. Signals that arrive
 * before the JVM has started the program can't be handled: docs/operators.md says what to wait for.
 *
 * <p>Java has no public interface for signals: this is the only class that uses {@code sun.misc}.
 */
final class ProcessSignals {
    /** Process managers kill a process that has not stopped after slightly more than this time. */
    private static final long MAX_DRAIN_DELAY_SECONDS = 3;

    private final CountDownLatch startLatch = new CountDownLatch(1);
    private final AtomicBoolean reloadPending = new AtomicBoolean();
    private final boolean hangUpIgnored;

    /**
     * Null if the start failed. Written once, by the starting thread, before {@link #startLatch}
     * opens.
     */
    private Proxy proxy;

    /** Installs the handler of SIGHUP, then the shutdown hook. */
    ProcessSignals() {
        // Java installs no handler for a signal that the parent process ignores, as nohup does with
        // SIGHUP, and returns SIG_IGN here.
        hangUpIgnored =
                sun.misc.Signal.handle(new sun.misc.Signal("HUP"), new HangUpHandler())
                        == sun.misc.SignalHandler.SIG_IGN;
        Runtime.getRuntime().addShutdownHook(new Thread(this::drain));
    }

    /** Not a lambda: linking one would delay the installation of the handler by milliseconds. */
    private final class HangUpHandler implements sun.misc.SignalHandler {
        /** Java calls this method on a new thread for each signal. */
        @Override
        public void handle(sun.misc.Signal signal) {
            reload();
        }
    }

    /**
     * Called when the start has ended. Signals that arrived during the start are handled now, later
     * ones when they arrive.
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
     * Reloads the configuration after the start, however long the start takes: the file may have
     * been replaced since the start read it. Signals that arrive before a pending reload begins are
     * merged into it.
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

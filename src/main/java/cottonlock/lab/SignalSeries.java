package cottonlock.lab;

import java.util.List;

/** The sequences of signals by which a process manager or an operator ends a proxy's process. */
enum SignalSeries {
    /** One SIGTERM. */
    TERM(false, new Step("TERM", 0)),

    /** A second SIGTERM while the process shuts down because of the first. */
    TERM_TWICE(false, new Step("TERM", 0), new Step("TERM", 50)),

    /** Two reloads (SIGHUP) in a row, then two SIGTERMs. */
    RELOADS_THEN_TERMS(
            false,
            new Step("HUP", 0),
            new Step("HUP", 5),
            new Step("TERM", 10),
            new Step("TERM", 300)),

    /** Reloads while the process shuts down. */
    RELOADS_IN_SHUTDOWN(false, new Step("TERM", 0), new Step("HUP", 200), new Step("HUP", 900)),

    /** One SIGTERM, and another to the next process as soon as it is ready. */
    TERM_JUST_AFTER_READY(true, new Step("TERM", 0));

    /**
     * One signal.
     *
     * @param name the signal's name as an argument of {@code kill}
     * @param afterMillis when it is sent, in milliseconds from the start of the series
     */
    record Step(String name, long afterMillis) {
        boolean isTerm() {
            return name.equals("TERM");
        }
    }

    private final boolean termsNextWhenReady;
    private final List<Step> steps;

    SignalSeries(boolean termsNextWhenReady, Step... steps) {
        this.termsNextWhenReady = termsNextWhenReady;
        this.steps = List.of(steps);
    }

    List<Step> steps() {
        return steps;
    }

    /** Returns whether the next process gets one SIGTERM as soon as it is ready. */
    boolean termsNextWhenReady() {
        return termsNextWhenReady;
    }
}

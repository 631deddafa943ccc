package cottonlock.lab;

import java.util.List;

/** The signals by which a process manager or an operator ends a proxy's process, in their order. */
enum SignalSeries {
    /** One SIGTERM. */
    TERM(false, new Step("TERM", 0)),

    /** A second SIGTERM while the first is being carried out. */
    TERM_TWICE(false, new Step("TERM", 0), new Step("TERM", 50)),

    /** Two reloads in a row, then two stops. */
    RELOADS_THEN_TERMS(
            false,
            new Step("HUP", 0),
            new Step("HUP", 5),
            new Step("TERM", 10),
            new Step("TERM", 300)),

    /** Reloads while the process shuts down. */
    RELOADS_IN_SHUTDOWN(false, new Step("TERM", 0), new Step("HUP", 200), new Step("HUP", 900)),

    /** A stop, and another one as soon as the process that follows is ready. */
    TERM_JUST_AFTER_READY(true, new Step("TERM", 0));

    /**
     * One signal.
     *
     * @param name as {@code kill} takes it
     * @param afterMillis when it is sent, from the beginning of the series
     */
    record Step(String name, long afterMillis) {
        boolean isTerm() {
            return name.equals("TERM");
        }
    }

    private final boolean againWhenReady;
    private final List<Step> steps;

    SignalSeries(boolean againWhenReady, Step... steps) {
        this.againWhenReady = againWhenReady;
        this.steps = List.of(steps);
    }

    List<Step> steps() {
        return steps;
    }

    /** Whether the process that is started next gets one SIGTERM as soon as it is ready. */
    boolean againWhenReady() {
        return againWhenReady;
    }
}

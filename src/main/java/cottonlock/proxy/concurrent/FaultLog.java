package cottonlock.proxy.concurrent;

import cottonlock.proxy.io.RateLimitedLog;

/** Runs tasks whose faults must not end the thread or the actor that runs them. */
public final class FaultLog {
    private FaultLog() {}

    /** Runs a task and logs any exception or error that it throws. */
    public static void guard(Runnable task, RateLimitedLog log) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            StackTraceElement[] trace = e.getStackTrace();
            log.warn("fault", e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}

package cottonlock.membership;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * What a {@link MembershipService} requires from the process it runs in.
 *
 * @param clock the time in ticks of 0.1 ms, which never decreases; called by any thread
 * @param workerProgress when the thread that serves requests last made progress, by that clock;
 *     called by any thread
 * @param replaced whether another process of this proxy has taken over; null if processes never
 *     hand over
 * @param foreignDatagrams handles datagrams of other protocols on the same socket
 * @param log receives log lines; called by any thread
 */
public record MembershipHost(
        LongSupplier clock,
        LongSupplier workerProgress,
        BooleanSupplier replaced,
        ForeignDatagramHandler foreignDatagrams,
        Consumer<String> log) {}

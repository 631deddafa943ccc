package cottonlock.membership;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * What a {@link MembershipService} needs of the process it runs in.
 *
 * @param clock the time in ticks of 0.1 ms, never going back; for any thread
 * @param workerProgress when the thread that serves requests last made progress, by that clock; for
 *     any thread
 * @param replaced whether another process of this proxy has taken over; null if that can't happen
 * @param foreignDatagrams takes datagrams of other protocols on the same socket
 * @param log takes lines for people; called by any thread
 */
public record MembershipHost(
        LongSupplier clock,
        LongSupplier workerProgress,
        BooleanSupplier replaced,
        ForeignDatagramHandler foreignDatagrams,
        Consumer<String> log) {}

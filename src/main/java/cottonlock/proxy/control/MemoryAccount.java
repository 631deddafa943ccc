package cottonlock.proxy.control;

import cottonlock.proxy.io.RateLimitedLog;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * The account of the memory that all processes of a proxy use together, asked before more is used:
 * by the listener for a client, by a backend's actor for a connection, by a body for buffers.
 *
 * <p>What this process uses is the larger of two figures: an estimate by the uses that the {@link
 * MemoryBudget} names, which includes what they have not touched yet, and what the system says,
 * which includes what the estimate misses. What other processes use the system says alone, so that
 * a process that hangs or was killed needs no say in it. Thread-safe.
 */
public final class MemoryAccount {
    /** What the system says is asked for again after this time. */
    private static final long SAMPLE_INTERVAL_NANOS = 20_000_000;

    private static final int BYTES_PER_KILOBYTE = 1 << 10;

    private static final long CHECK_MILLIS = 20;

    /** What this process uses at present. */
    public interface Uses {
        /** The threads of connections, idle ones included. */
        int connectionThreads();

        /** The bytes that bodies have in buffers, beyond the one buffer of each connection. */
        long bodyBufferBytes();

        /** The bytes of the files of bodies. */
        long bodyFileBytes();

        /** The backends that the list names. */
        int listedBackends();
    }

    /** What the operating system says. */
    public interface OperatingSystem {
        /** The bytes of this process; empty if unknown, or if other programs run in it. */
        OptionalLong ownBytes();

        /** The bytes of another process; empty if it has ended. */
        OptionalLong bytesOf(long processId);

        /** The monotonic clock. */
        long nanoTime();
    }

    /** Another process of the proxy that is alive, and what it claims for files of bodies. */
    public record OtherProcess(long id, long claimedBytes) {}

    /**
     * What the operating system said.
     *
     * @param ownBytes 0 if unknown
     * @param othersBytes 0 if there are no others
     * @param threads the threads of connections at that time
     */
    private record Sample(long ownBytes, long othersBytes, int threads, long atNanos) {}

    private final MemoryBudget budget;
    private final Uses uses;
    private final OperatingSystem system;
    private final Supplier<List<OtherProcess>> otherProcesses;
    private final RateLimitedLog log;
    private Sample sample;

    /** Whether the last answer was that there is no memory for a further connection. */
    private boolean exhausted;

    /**
     * An account.
     *
     * @param otherProcesses the other processes of the proxy that are alive
     */
    public MemoryAccount(
            MemoryBudget budget,
            Uses uses,
            OperatingSystem system,
            Supplier<List<OtherProcess>> otherProcesses,
            RateLimitedLog log) {
        this.budget = budget;
        this.uses = uses;
        this.system = system;
        this.otherProcesses = otherProcesses;
        this.log = log;
    }

    /** The connections, of clients and to backends, that there is memory for at present. */
    public synchronized int maxConnections() {
        int threads = uses.connectionThreads();
        long freeBytes = freeBytes(threads);
        recordState(freeBytes < MemoryBudget.BYTES_PER_CONNECTION);
        return connectionsIn(threads, freeBytes);
    }

    /**
     * The connections that may stay open at present: a few more than may be opened, so that none is
     * opened only to be ended, unless another process needs the memory.
     */
    public synchronized int maxOpenConnections() {
        int threads = uses.connectionThreads();
        long toleratedBytes = isShared() ? 0 : budget.marginBytes() / 2;
        return connectionsIn(threads, freeBytes(threads) + toleratedBytes);
    }

    private static int connectionsIn(int threads, long freeBytes) {
        long further = Math.floorDiv(freeBytes, MemoryBudget.BYTES_PER_CONNECTION);
        long max = Math.max(MemoryBudget.MIN_CONNECTIONS, threads + further);
        return (int) Math.min(Integer.MAX_VALUE, max);
    }

    /** Whether bodies may use more buffers: they have their part, and what else is free. */
    public synchronized boolean hasRoomForBodies() {
        return uses.bodyBufferBytes() + uses.bodyFileBytes() < budget.bodyBytes()
                || freeBytes(uses.connectionThreads()) > 0;
    }

    /** Whether another process of the proxy is alive, which needs what this one gives back. */
    public synchronized boolean isShared() {
        return currentSample().othersBytes() > 0;
    }

    /**
     * Waits until other processes leave what this one needs to serve, for a limited time: they give
     * it back as soon as they see that this one has started.
     */
    public void awaitRoomForProcess(long maxMillis) throws InterruptedException {
        for (long waited = 0; !hasRoomForProcess() && waited < maxMillis; waited += CHECK_MILLIS) {
            Thread.sleep(CHECK_MILLIS);
        }
    }

    /** Whether others leave what this process needs, or as much as the limit allows two of them. */
    private synchronized boolean hasRoomForProcess() {
        long othersBytes = currentSample().othersBytes();
        long neededBytes = budget.startedProcessBytes();
        long besideAnotherBytes = budget.ownUsableBytes(neededBytes);
        return othersBytes == 0
                || budget.ownUsableBytes(othersBytes) >= Math.min(neededBytes, besideAnotherBytes);
    }

    /** The account as JSON fields, each preceded by a comma. */
    public synchronized String metricsJson() {
        int threads = uses.connectionThreads();
        Sample last = currentSample();
        return ",\"memory_limit_kb\":"
                + budget.limitBytes() / BYTES_PER_KILOBYTE
                + ",\"memory_own_kb\":"
                + ownBytes(last, threads) / BYTES_PER_KILOBYTE
                + ",\"memory_other_processes_kb\":"
                + last.othersBytes() / BYTES_PER_KILOBYTE
                + ",\"memory_free_kb\":"
                + freeBytes(threads) / BYTES_PER_KILOBYTE
                + ",\"connection_threads\":"
                + threads;
    }

    /** What the uses leave; negative if they have more than they may. */
    private long freeBytes(int threads) {
        Sample last = currentSample();
        return budget.ownUsableBytes(last.othersBytes()) - ownBytes(last, threads);
    }

    private long ownBytes(Sample last, int threads) {
        long startedSince = Math.max(0, threads - last.threads());
        long bufferBytes = uses.bodyBufferBytes();
        long fileBytes = uses.bodyFileBytes();
        long unusedBodyBytes = Math.max(0, budget.bodyBytes() - bufferBytes - fileBytes);
        // Buffers are part of the heap, which is measured.
        long measured = last.ownBytes() + startedSince * MemoryBudget.BYTES_PER_CONNECTION;
        long estimated =
                budget.processBytes(uses.listedBackends())
                        + threads * MemoryBudget.BYTES_PER_CONNECTION
                        + bufferBytes;
        return Math.max(measured, estimated) + fileBytes + unusedBodyBytes;
    }

    private Sample currentSample() {
        long now = system.nanoTime();
        if (sample == null || now - sample.atNanos() > SAMPLE_INTERVAL_NANOS) {
            int threads = uses.connectionThreads();
            sample = new Sample(system.ownBytes().orElse(0), othersBytes(), threads, now);
        }
        return sample;
    }

    /** What the others use, and what those that have just started will soon use. */
    private long othersBytes() {
        long bytes = 0;
        for (OtherProcess process : otherProcesses.get()) {
            OptionalLong measured = system.bytesOf(process.id());
            if (measured.isPresent()) {
                bytes += Math.max(measured.getAsLong(), budget.startedProcessBytes());
                bytes += process.claimedBytes();
            }
        }
        return bytes;
    }

    private void recordState(boolean isExhausted) {
        if (isExhausted == exhausted) {
            return;
        }
        exhausted = isExhausted;
        String figures =
                sample.ownBytes() / BYTES_PER_KILOBYTE
                        + " kB of "
                        + budget.limitBytes() / BYTES_PER_KILOBYTE
                        + " are in use, "
                        + sample.othersBytes() / BYTES_PER_KILOBYTE
                        + " kB by other processes, with "
                        + sample.threads()
                        + " threads of connections";
        if (isExhausted) {
            log.info("memory exhausted", "further connections wait; " + figures);
        } else {
            log.info("memory free", "further connections are served again; " + figures);
        }
    }
}

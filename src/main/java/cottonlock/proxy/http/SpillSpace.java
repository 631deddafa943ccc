package cottonlock.proxy.http;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Allocates the space of the spill files, which counts as memory, to the bodies that need it. A
 * body for which there is no space waits; its sender is not read meanwhile. Thread-safe.
 *
 * <p>A body of known length gets the space for all of it at once, in the order of arrival, so that
 * those that have begun need not wait again; so does one of unknown length once it is long. Before
 * that, and if the sender is slow, a body gets space in steps, and only as long as all bodies that
 * have some can still be completed one after the other, each with the space that those before it
 * return (the banker's algorithm): bodies can't block each other for good.
 */
public final class SpillSpace {
    /** Bytes by which the space of a body grows if it does not get all of it at once. */
    static final long STEP_BYTES = 256 << 10;

    /** From this length on, a body of unknown length gets the space for the longest one. */
    private static final long LONG_BODY_BYTES = 1 << 20;

    /** After this time, the space that a sender has not used is available to others. */
    static final long UNUSED_SPACE_NANOS = 5_000_000_000L;

    /** Milliseconds between two checks of a body that waits: the limit may have changed. */
    private static final long CHECK_MILLIS = 20;

    /** A body that needs less than this part of all space does not wait for longer ones. */
    private static final int SMALL_PART_DIVISOR = 16;

    /** How much space this process may use; called by one thread at a time. */
    public interface Limit {
        /**
         * Changes how many bytes this process uses in all.
         *
         * @return whether it may use so many; if not, it uses as many as before
         */
        boolean tryUse(long totalBytes);

        /** The most bytes that this process may use at present. */
        long usableBytes();

        /** The most bytes that this process could use at present if no other process used any. */
        long maxBytes();

        /** The most bytes that this process could ever use. */
        long maxBytesWhenIdle();
    }

    /** Decides whether a body goes on waiting for space. */
    public interface WaitPolicy {
        /** Called before each part of the wait. */
        boolean mayWait();
    }

    /** The space of one body: used by the thread that reads the body. */
    final class Allocation {
        /** The length of the body, or the most that it may have. */
        private final long maxBytes;

        private final boolean lengthKnown;
        private long allocatedBytes;
        private long usedBytes;

        /** Whether unused space has been taken from it, as its sender is slow. */
        private boolean reclaimed;

        private long allocatedAtNanos;

        private Allocation(long maxBytes, boolean lengthKnown) {
            this.maxBytes = maxBytes;
            this.lengthKnown = lengthKnown;
        }

        /**
         * Makes space for so many bytes in all, waiting if necessary.
         *
         * @throws BufferPool.ExhaustedException if the policy ended the wait, or if there can't be
         *     so much space
         */
        void use(long totalBytes, WaitPolicy policy) throws IOException {
            makeSpace(this, totalBytes, policy);
        }

        /** Returns the space. */
        void release() {
            returnSpace(this);
        }

        /** Whether the next space is for all of the body; otherwise it is one more step. */
        private boolean takesAll(long totalBytes) {
            return !reclaimed && (lengthKnown ? allocatedBytes == 0 : totalBytes > LONG_BODY_BYTES);
        }

        /** The space that the body gets when it needs at least so many bytes. */
        private long neededBytes(long totalBytes) {
            if (!takesAll(totalBytes)) {
                return Math.max(totalBytes, Math.min(maxBytes, totalBytes + STEP_BYTES));
            }
            long all = lengthKnown ? maxBytes : Math.min(maxBytes, limit.maxBytes());
            return Math.max(totalBytes, all);
        }

        private long missingBytes() {
            return Math.max(0, Math.min(maxBytes, limit.maxBytes()) - allocatedBytes);
        }
    }

    private final Limit limit;
    private final int maxAllocations;
    private final LongSupplier nanoClock;
    private final Set<Allocation> allocations = new HashSet<>();

    /** The bodies that wait for their first space, in the order of arrival. */
    private final Deque<Allocation> waiting = new ArrayDeque<>();

    /** Written with the lock held; readable without it. */
    private final AtomicLong totalAllocatedBytes = new AtomicLong();

    /**
     * Space without any allocation.
     *
     * @param maxAllocations how many bodies may have space at a time
     */
    public SpillSpace(Limit limit, int maxAllocations) {
        this(limit, maxAllocations, System::nanoTime);
    }

    SpillSpace(Limit limit, int maxAllocations, LongSupplier nanoClock) {
        this.limit = limit;
        this.maxAllocations = maxAllocations;
        this.nanoClock = nanoClock;
    }

    /** An allocation without space for a body of that length, or of that length at most. */
    Allocation allocation(long maxBytes, boolean lengthKnown) {
        return new Allocation(maxBytes, lengthKnown);
    }

    /** The bytes that are allocated to bodies; does not wait for the lock. */
    public long allocatedBytes() {
        return totalAllocatedBytes.get();
    }

    /** How many bodies wait for their first space. */
    synchronized int waitingCount() {
        return waiting.size();
    }

    private synchronized void makeSpace(Allocation allocation, long totalBytes, WaitPolicy policy)
            throws IOException {
        allocation.usedBytes = totalBytes;
        if (totalBytes <= allocation.allocatedBytes) {
            return;
        }
        boolean isFirst = allocation.allocatedBytes == 0;
        if (isFirst) {
            waiting.addLast(allocation);
        }
        try {
            while (!tryGrow(allocation, totalBytes)) {
                if (allocation.neededBytes(totalBytes) > limit.maxBytesWhenIdle()
                        || !policy.mayWait()) {
                    throw new BufferPool.ExhaustedException("no space is free for a long body");
                }
                wait(CHECK_MILLIS);
            }
        } catch (InterruptedException e) {
            throw new IOException("interrupted while waiting for space", e);
        } finally {
            if (isFirst) {
                waiting.remove(allocation);
                notifyAll();
            }
        }
    }

    private boolean tryGrow(Allocation allocation, long totalBytes) {
        reclaimUnusedSpace();
        boolean isFirst = allocation.allocatedBytes == 0;
        long needed = allocation.neededBytes(totalBytes);
        if (isFirst && (allocations.size() >= maxAllocations || !isNext(allocation, needed))) {
            return false;
        }
        long growth = needed - allocation.allocatedBytes;
        boolean safe =
                allocation.takesAll(totalBytes)
                        || isSmall(totalAllocatedBytes.get() + growth)
                        || canCompleteAllAfter(allocation, growth);
        if (!safe || !limit.tryUse(totalAllocatedBytes.get() + growth)) {
            return false;
        }
        allocations.add(allocation);
        allocation.allocatedBytes = needed;
        allocation.allocatedAtNanos = nanoClock.getAsLong();
        totalAllocatedBytes.addAndGet(growth);
        return true;
    }

    /** Whether no body that arrived before has to go first. */
    private boolean isNext(Allocation allocation, long needed) {
        return waiting.peekFirst() == allocation || isSmall(needed);
    }

    private boolean isSmall(long bytes) {
        return bytes <= limit.maxBytes() / SMALL_PART_DIVISOR;
    }

    /**
     * Whether each body that has space can still be completed if the given one grows: in the order
     * of what they lack, each with the space that those before it return.
     */
    private boolean canCompleteAllAfter(Allocation growing, long growth) {
        List<Allocation> all = new ArrayList<>(allocations);
        if (!allocations.contains(growing)) {
            all.add(growing);
        }
        all.sort(Comparator.comparingLong(a -> missingAfter(a, growing, growth)));
        long free = limit.usableBytes() - totalAllocatedBytes.get() - growth;
        for (Allocation allocation : all) {
            if (missingAfter(allocation, growing, growth) > free) {
                return false;
            }
            free += allocation.allocatedBytes + (allocation == growing ? growth : 0);
        }
        return true;
    }

    private static long missingAfter(Allocation allocation, Allocation growing, long growth) {
        return Math.max(0, allocation.missingBytes() - (allocation == growing ? growth : 0));
    }

    /** Takes back what slow senders have not used. */
    private void reclaimUnusedSpace() {
        long now = nanoClock.getAsLong();
        for (Allocation allocation : allocations) {
            long unused = allocation.allocatedBytes - allocation.usedBytes;
            if (unused > 0 && now - allocation.allocatedAtNanos > UNUSED_SPACE_NANOS) {
                allocation.reclaimed = true;
                allocation.allocatedBytes -= unused;
                totalAllocatedBytes.addAndGet(-unused);
            }
        }
    }

    private synchronized void returnSpace(Allocation allocation) {
        if (allocations.remove(allocation)) {
            totalAllocatedBytes.addAndGet(-allocation.allocatedBytes);
            allocation.allocatedBytes = 0;
            limit.tryUse(totalAllocatedBytes.get());
            notifyAll();
        }
    }
}

package cottonlock.proxy.http;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * When the bytes of a stream were read, for those that have not been consumed yet: several messages
 * may have been read before the first of them is parsed. Used by one thread.
 */
final class ArrivalTimes {
    /** Bytes that were read within this time count as read at its beginning. */
    private static final long RESOLUTION_NANOS = 1_000_000;

    /** The bytes before an offset, and not before that of the mark ahead, were read at a time. */
    private record Mark(long endOffset, long readAtNanos) {}

    private final Deque<Mark> marks = new ArrayDeque<>();

    /**
     * Records a read.
     *
     * @param endOffset the number of bytes of the stream that have been read
     * @param consumedBytes the number of bytes of the stream that have been consumed
     */
    void record(long endOffset, long nowNanos, long consumedBytes) {
        while (!marks.isEmpty() && marks.getFirst().endOffset() < consumedBytes) {
            marks.removeFirst();
        }
        Mark last = marks.peekLast();
        boolean continues = last != null && nowNanos - last.readAtNanos() < RESOLUTION_NANOS;
        if (continues) {
            marks.removeLast();
        }
        marks.addLast(new Mark(endOffset, continues ? last.readAtNanos() : nowNanos));
    }

    /**
     * When a byte was read, by the monotonic clock. Asked in the order of the stream.
     *
     * @param otherwiseNanos the result if no read is known that brought the byte
     */
    long arrivalNanos(long offset, long otherwiseNanos) {
        while (!marks.isEmpty() && marks.getFirst().endOffset() <= offset) {
            marks.removeFirst();
        }
        return marks.isEmpty() ? otherwiseNanos : marks.getFirst().readAtNanos();
    }
}

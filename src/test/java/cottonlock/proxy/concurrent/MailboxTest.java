package cottonlock.proxy.concurrent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import cottonlock.proxy.io.RateLimitedLog;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Mailboxes: there is one for each listed backend, of which most never hold a message. */
class MailboxTest {
    private static final int MOST = 4_096;

    /**
     * Bytes: a queue, its locks and conditions; a place for each of its messages alone would be
     * 16,384.
     */
    private static final long FEW = 2_048;

    private final RateLimitedLog log = new RateLimitedLog(System.getLogger("cottonlock.test"));

    @Example
    void anEmptyOneTakesNoMemoryForWhatItMayHold() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long me = Thread.currentThread().getId();
        List<Mailbox> kept = new ArrayList<>(1_100);
        for (int i = 0; i < 100; i++) {
            kept.add(new Mailbox(MOST, log));
        }
        long before = threads.getThreadAllocatedBytes(me);
        for (int i = 0; i < 1_000; i++) {
            kept.add(new Mailbox(MOST, log));
        }
        long each = (threads.getThreadAllocatedBytes(me) - before) / 1_000;
        assertTrue(each < FEW, "a mailbox takes " + each + " bytes");
        assertEquals(1_100, kept.size());
    }

    @Example
    void itHoldsSoManyInOrderAndNoMore() throws InterruptedException {
        Mailbox mailbox = new Mailbox(3, log);
        List<Integer> seen = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            int number = i;
            assertTrue(mailbox.offer(() -> seen.add(number)));
        }
        assertFalse(mailbox.offer(() -> seen.add(99)));
        mailbox.runNext(0);
        assertEquals(List.of(0), seen);
        assertTrue(mailbox.offer(() -> seen.add(3)));
        mailbox.drain();
        assertEquals(List.of(0, 1, 2, 3), seen);
    }
}

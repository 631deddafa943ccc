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

/** The mailbox of an actor with a thread of its own. */
class MailboxTest {
    private static final int CAPACITY = 4_096;

    /**
     * Enough for a queue with its locks and conditions; preallocated slots for the messages would
     * take 16,384 bytes alone.
     */
    private static final long MAX_EMPTY_BYTES = 2_048;

    private final RateLimitedLog log = new RateLimitedLog(System.getLogger("cottonlock.test"));

    @Example
    void emptyMailboxAllocatesNoMemoryForMessages() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long threadId = Thread.currentThread().getId();
        List<Mailbox> mailboxes = new ArrayList<>(1_100);
        for (int i = 0; i < 100; i++) {
            mailboxes.add(new Mailbox(CAPACITY, log));
        }
        long bytesBefore = threads.getThreadAllocatedBytes(threadId);
        for (int i = 0; i < 1_000; i++) {
            mailboxes.add(new Mailbox(CAPACITY, log));
        }
        long bytesEach = (threads.getThreadAllocatedBytes(threadId) - bytesBefore) / 1_000;
        assertTrue(bytesEach < MAX_EMPTY_BYTES, "a mailbox takes " + bytesEach + " bytes");
        assertEquals(1_100, mailboxes.size());
    }

    @Example
    void mailboxHoldsMessagesInOrderUpToItsCapacity() throws InterruptedException {
        Mailbox mailbox = new Mailbox(3, log);
        List<Integer> numbers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            int number = i;
            assertTrue(mailbox.offer(() -> numbers.add(number)));
        }
        assertFalse(mailbox.offer(() -> numbers.add(99)));
        mailbox.runNext(0);
        assertEquals(List.of(0), numbers);
        assertTrue(mailbox.offer(() -> numbers.add(3)));
        for (int i = 0; i < 3; i++) {
            mailbox.runNext(0);
        }
        assertEquals(List.of(0, 1, 2, 3), numbers);
    }
}

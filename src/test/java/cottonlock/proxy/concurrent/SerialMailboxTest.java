package cottonlock.proxy.concurrent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;

/** The proxy has such a mailbox for each listed backend, most of which are empty. */
class SerialMailboxTest {
    private static final int CAPACITY = 4_096;

    /** A few hundred bytes; preallocated places for the messages would take 16,384 alone. */
    private static final long MAX_EMPTY_BYTES = 512;

    private static final int SENDERS = 8;
    private static final int MESSAGES_EACH = 5_000;

    private final List<Integer> numbers = new ArrayList<>();
    private final Deque<Runnable> tasks = new ArrayDeque<>();

    /** Runs messages, and has a thread stay as a test says. */
    private static final class Processor implements SerialMailbox.Actor {
        private volatile long nanosToStay;
        private final AtomicInteger processed = new AtomicInteger();

        @Override
        public void process(Runnable message) {
            processed.incrementAndGet();
            message.run();
        }

        @Override
        public long nanosToStay() {
            return nanosToStay;
        }
    }

    private void runTasks() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
    }

    @Example
    void anEmptyMailboxTakesAFewHundredBytes() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long threadId = Thread.currentThread().getId();
        List<SerialMailbox> mailboxes = new ArrayList<>(1_100);
        for (int i = 0; i < 100; i++) {
            mailboxes.add(new SerialMailbox(CAPACITY, tasks::add, new Processor()));
        }
        long bytesBefore = threads.getThreadAllocatedBytes(threadId);
        for (int i = 0; i < 1_000; i++) {
            mailboxes.add(new SerialMailbox(CAPACITY, tasks::add, new Processor()));
        }
        long bytesEach = (threads.getThreadAllocatedBytes(threadId) - bytesBefore) / 1_000;
        assertTrue(bytesEach < MAX_EMPTY_BYTES, "a mailbox takes " + bytesEach + " bytes");
        assertEquals(1_100, mailboxes.size());
    }

    @Example
    void messagesAreHeldInOrderUpToTheCapacity() {
        SerialMailbox mailbox = new SerialMailbox(3, tasks::add, new Processor());
        for (int i = 0; i < 3; i++) {
            int number = i;
            assertTrue(mailbox.offer(() -> numbers.add(number)));
        }
        assertFalse(mailbox.offer(() -> numbers.add(99)));
        mailbox.put(() -> numbers.add(3));
        assertEquals(1, tasks.size(), "one task runs all that is pending");
        runTasks();
        assertEquals(List.of(0, 1, 2, 3), numbers);
        assertTrue(mailbox.offer(() -> numbers.add(4)));
        runTasks();
        assertEquals(List.of(0, 1, 2, 3, 4), numbers);
    }

    /** Guards against two threads in one actor, whose state has no locks. */
    @Example
    void messagesOfManyThreadsRunOneAtATimeAndNoneIsLost() throws InterruptedException {
        ExecutorService executor = Executors.newCachedThreadPool();
        SerialMailbox mailbox = new SerialMailbox(CAPACITY, executor, new Processor());
        CountDownLatch all = new CountDownLatch(SENDERS * MESSAGES_EACH);
        AtomicInteger running = new AtomicInteger();
        AtomicInteger overlaps = new AtomicInteger();
        for (int i = 0; i < SENDERS; i++) {
            executor.execute(
                    () -> {
                        for (int j = 0; j < MESSAGES_EACH; j++) {
                            mailbox.put(
                                    () -> {
                                        overlaps.addAndGet(running.getAndIncrement());
                                        running.decrementAndGet();
                                        all.countDown();
                                    });
                        }
                    });
        }
        assertTrue(all.await(20, TimeUnit.SECONDS), all.getCount() + " messages were lost");
        assertEquals(0, overlaps.get());
        executor.shutdown();
    }

    /** Guards against an actor that never runs again because a fault could not even be logged. */
    @Example
    void aMessageThatFailsDoesNotEndTheOnesBehindIt() {
        SerialMailbox mailbox = new SerialMailbox(CAPACITY, tasks::add, new Processor());
        mailbox.put(
                () -> {
                    throw new OutOfMemoryError("for this test");
                });
        mailbox.put(() -> numbers.add(1));
        runTasks();
        assertEquals(List.of(1), numbers);
        mailbox.put(() -> numbers.add(2));
        runTasks();
        assertEquals(List.of(1, 2), numbers);
    }

    /** Guards against an actor that never runs again because no thread was available once. */
    @Example
    void messagesThatTheExecutorFailedToTakeRunWithTheNextOne() {
        AtomicInteger failures = new AtomicInteger(1);
        SerialMailbox mailbox =
                new SerialMailbox(
                        CAPACITY,
                        task -> {
                            if (failures.getAndDecrement() > 0) {
                                throw new OutOfMemoryError("for this test");
                            }
                            tasks.add(task);
                        },
                        new Processor());
        assertThrows(OutOfMemoryError.class, () -> mailbox.put(() -> numbers.add(1)));
        mailbox.put(() -> numbers.add(2));
        runTasks();
        assertEquals(List.of(1, 2), numbers);
    }

    /** What falls due soon needs no message. */
    @Example
    void aThreadStaysForWhatFallsDueSoonAndIsWokenByMessages() throws InterruptedException {
        ExecutorService executor = Executors.newCachedThreadPool();
        Processor actor = new Processor();
        actor.nanosToStay = TimeUnit.MILLISECONDS.toNanos(1);
        SerialMailbox mailbox = new SerialMailbox(CAPACITY, executor, actor);
        mailbox.put(() -> {});
        while (actor.processed.get() < 5) {
            Thread.sleep(1);
        }
        actor.nanosToStay = TimeUnit.SECONDS.toNanos(60);
        Thread.sleep(20);
        CountDownLatch run = new CountDownLatch(1);
        mailbox.put(run::countDown);
        assertTrue(run.await(20, TimeUnit.SECONDS), "the thread that stays was woken");
        actor.nanosToStay = 0;
        mailbox.put(() -> {});
        executor.shutdown();
        assertTrue(executor.awaitTermination(20, TimeUnit.SECONDS), "the thread was let go");
    }
}

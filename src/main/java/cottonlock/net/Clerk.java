package cottonlock.net;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** Writes the answers that the module gives of itself, for the module's thread waits for no client. */
final class Clerk implements Runnable {
    /** As large as the module's own mailbox: one answer for each work item that it can hold. */
    private static final int MAILBOX = 4_096;

    private final BlockingQueue<Runnable> mailbox = new LinkedBlockingQueue<>(MAILBOX);

    void write(Client client, int status, String name, String value) {
        if (!mailbox.offer(() -> client.finish(status, name, value, null))) {
            // So far behind that nobody would still wait: it ends without an answer.
            client.abort();
        }
    }

    @Override
    public void run() {
        try {
            while (true) {
                mailbox.take().run();
            }
        } catch (InterruptedException e) {
            // The proxy closes.
        }
    }
}

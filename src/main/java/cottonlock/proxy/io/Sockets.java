package cottonlock.proxy.io;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/** Helpers for sockets and for the threads that serve them. */
public final class Sockets {
    /** Thread stack size in bytes; pages that are never touched use no memory. */
    private static final long STACK_BYTES = 192 << 10;

    /** Far longer than threads need to return from socket calls, even on a busy machine. */
    private static final long MAX_JOIN_MILLIS = 5_000;

    private static final Pattern NUMERIC_HOST = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+\\]");

    private Sockets() {}

    /** Starts a daemon thread with the given name. */
    public static Thread start(String name, Runnable task) {
        Thread thread = thread(name, task);
        thread.start();
        return thread;
    }

    /** A daemon thread with the given name, not started. */
    public static Thread thread(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Waits at most 5 s in total until the threads have ended, ignoring the calling thread if it is
     * among them. An interrupt does not end the wait; the calling thread's interrupt status is set
     * on return.
     *
     * @return the threads that have not ended
     */
    public static List<Thread> join(List<Thread> threads) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_JOIN_MILLIS);
        List<Thread> running = new ArrayList<>(threads);
        running.remove(Thread.currentThread());
        boolean interrupted = Thread.interrupted();
        for (Thread thread : running) {
            interrupted |= joinUntil(thread, deadlineNanos);
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
        running.removeIf(thread -> !thread.isAlive());
        return running;
    }

    /** Returns whether the calling thread was interrupted during the wait. */
    private static boolean joinUntil(Thread thread, long deadlineNanos) {
        boolean interrupted = false;
        long remainingNanos = deadlineNanos - System.nanoTime();
        while (thread.isAlive() && remainingNanos > 0) {
            try {
                TimeUnit.NANOSECONDS.timedJoin(thread, remainingNanos);
            } catch (InterruptedException e) {
                interrupted = true;
            }
            remainingNanos = deadlineNanos - System.nanoTime();
        }
        return interrupted;
    }

    /** Closes and ignores a failure, for which there is no remedy. */
    public static void close(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            // The descriptor is released nevertheless.
        }
    }

    /**
     * Limits what the system takes in of what is written to a socket, so that writing shows how
     * fast the peer reads. Where the system does not allow it, the limit stays as it was.
     */
    public static void limitSendBuffer(Socket socket, int bytes) {
        try {
            socket.setSendBufferSize(bytes);
        } catch (IOException e) {
            // If the socket is closed, the next write fails.
        }
    }

    /**
     * Parses an address of the form host:port without resolving names.
     *
     * @throws IllegalArgumentException if the host is not numeric or the port is invalid
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !NUMERIC_HOST.matcher(text.substring(0, colon)).matches()) {
            throw new IllegalArgumentException("not an address: " + text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        return new InetSocketAddress(text.substring(0, colon), port);
    }
}

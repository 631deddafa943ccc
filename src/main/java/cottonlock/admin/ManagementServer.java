package cottonlock.admin;

import cottonlock.concurrent.RunCompletion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;

/**
 * Answers management commands, one command line per connection.
 *
 * <p>Each connection has its own thread and a reserved file descriptor, so that commands are
 * answered within a second while the request path is overloaded.
 */
public final class ManagementServer implements Runnable, AutoCloseable {
    /**
     * Number of open connections from which a new one waits for a slot; each takes a file
     * descriptor and a thread.
     */
    public static final int MAX_CONNECTIONS = 12;

    /**
     * Maximum number of connections that wait to be accepted. Beyond it, the operating system drops
     * connection requests, and the client's system retries them after a second.
     */
    private static final int BACKLOG = 1_024;

    private static final int MAX_COMMAND_BYTES = 512;

    private static final int READ_TIMEOUT_MILLIS = 5_000;

    private static final int ACCEPT_RETRY_DELAY_MILLIS = 20;

    /**
     * Maximum wait of a new connection for a slot while no other connection is idle; after it, the
     * connection is served although {@link #MAX_CONNECTIONS} are open.
     */
    private static final long MAX_SLOT_WAIT_MILLIS = 100;

    private static final long SLOT_CHECK_INTERVAL_MILLIS = 2;

    /** Stack size of a connection's thread. A small one suffices: its call chains are short. */
    private static final long THREAD_STACK_BYTES = 192 << 10;

    private final ManagementOperations operations;
    private final ServerSocket server = new ServerSocket();
    private final RunCompletion completion = new RunCompletion();

    /**
     * Connections whose command has not arrived completely, the oldest first. Also the lock that
     * guards {@link #openConnections}.
     */
    private final Deque<Socket> awaitingCommand = new ArrayDeque<>();

    /** Guarded by {@link #awaitingCommand}. */
    private int openConnections;

    /**
     * Binds the listener; {@link #run} accepts connections.
     *
     * @throws IOException if the address can't be bound; its message names the address
     */
    public ManagementServer(InetSocketAddress address, ManagementOperations operations)
            throws IOException {
        this.operations = operations;
        server.setReuseAddress(true);
        try {
            server.bind(address, BACKLOG);
        } catch (IOException e) {
            server.close();
            throw new IOException(
                    "cannot listen for operators on " + address + ": " + e.getMessage(), e);
        }
    }

    /** Accepts connections on the caller's thread until {@link #close} is called. */
    @Override
    public void run() {
        if (!completion.begin()) {
            return;
        }
        try {
            acceptAll();
        } finally {
            completion.end();
        }
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                startConnection(server.accept());
            } catch (IOException | OutOfMemoryError e) {
                if (!server.isClosed()) {
                    pauseAccepting();
                }
            }
        }
    }

    private void startConnection(Socket socket) {
        synchronized (awaitingCommand) {
            awaitConnectionSlot();
            openConnections++;
            awaitingCommand.add(socket);
        }
        try {
            Thread thread = new Thread(null, () -> serve(socket), "operator", THREAD_STACK_BYTES);
            thread.setDaemon(true);
            thread.start();
        } catch (OutOfMemoryError e) {
            endConnection(socket);
        }
    }

    /**
     * Waits until a connection may be added. An idle connection is evicted for a new one, but a
     * command that has arrived is not dropped for it. Called with {@link #awaitingCommand} locked.
     */
    private void awaitConnectionSlot() {
        long deadlineNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_SLOT_WAIT_MILLIS);
        while (openConnections >= MAX_CONNECTIONS
                && !evictOldestIdle()
                && System.nanoTime() - deadlineNanos < 0) {
            try {
                awaitingCommand.wait(SLOT_CHECK_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /**
     * Ends the input of the oldest connection without unread bytes.
     *
     * @return whether there was one
     */
    private boolean evictOldestIdle() {
        for (Iterator<Socket> oldestFirst = awaitingCommand.iterator(); oldestFirst.hasNext(); ) {
            Socket socket = oldestFirst.next();
            if (!hasUnreadBytes(socket)) {
                oldestFirst.remove();
                shutDownInput(socket);
                return true;
            }
        }
        return false;
    }

    private static boolean hasUnreadBytes(Socket socket) {
        try {
            return socket.getInputStream().available() > 0;
        } catch (IOException e) {
            // The connection has been closed.
            return false;
        }
    }

    /**
     * Ends a connection's input: its thread reads the end of the stream and closes the connection.
     * A command that the thread has just read is still answered.
     */
    private static void shutDownInput(Socket socket) {
        try {
            socket.shutdownInput();
        } catch (IOException e) {
            // The connection has been closed.
        }
    }

    private void serve(Socket socket) {
        try {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            String command = readCommand(socket.getInputStream());
            synchronized (awaitingCommand) {
                awaitingCommand.remove(socket);
            }
            socket.getOutputStream().write(respond(command).getBytes(StandardCharsets.UTF_8));
            socket.shutdownOutput();
        } catch (IOException e) {
            // The client has closed the connection, or it was evicted for a newer one.
        } finally {
            endConnection(socket);
        }
    }

    private void endConnection(Socket socket) {
        closeQuietly(socket);
        synchronized (awaitingCommand) {
            awaitingCommand.remove(socket);
            openConnections--;
            awaitingCommand.notifyAll();
        }
    }

    /** Returns one line without its terminator, or null if it is too long. */
    private static String readCommand(InputStream in) throws IOException {
        byte[] bytes = new byte[MAX_COMMAND_BYTES];
        int length = 0;
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("connection ended before the end of the command line");
            }
            if (length == MAX_COMMAND_BYTES) {
                return null;
            }
            bytes[length] = (byte) next;
            length++;
        }
        return new String(bytes, 0, length, StandardCharsets.UTF_8);
    }

    /** Executes a command; returns the response with its line terminators. */
    private String respond(String command) {
        if (command == null) {
            return "NAK the call is longer than " + MAX_COMMAND_BYTES + " bytes\n";
        }
        String[] words = command.trim().split(" +", 0);
        try {
            return words.length == 2 ? execute(words[0], words[1]) : execute(words);
        } catch (RuntimeException e) {
            return nak("fault: " + e);
        }
    }

    private String execute(String... words) {
        String name = words.length == 1 ? words[0] : "";
        return switch (name) {
            case "DUMP" -> operations.metricsJson() + "\n--\n";
            case "MEMBERS" -> membersResponse(operations.membersReport());
            case "HEALTH" -> ackOrNak(operations.isServing() ? null : "not serving yet");
            default -> unknownCommand();
        };
    }

    private static String membersResponse(String report) {
        return report == null ? nak("membership is off") : report + "--\n";
    }

    private String execute(String name, String backendId) {
        return switch (name) {
            case "OFFLINE" -> ackOrNak(operations.ejectBackend(backendId));
            case "ONLINE" -> ackOrNak(operations.restoreBackend(backendId));
            default -> unknownCommand();
        };
    }

    private static String unknownCommand() {
        return nak("expected HEALTH, DUMP, MEMBERS, OFFLINE ID or ONLINE ID");
    }

    private static String ackOrNak(String refusal) {
        return refusal == null ? "ACK\n" : nak(refusal);
    }

    private static String nak(String reason) {
        return "NAK " + reason + "\n";
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The descriptor is released nevertheless.
        }
    }

    /**
     * Without free file descriptors, accept fails at once and repeatedly; the pause limits the
     * rate.
     */
    private static void pauseAccepting() {
        try {
            Thread.sleep(ACCEPT_RETRY_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Closes the listener, and the connections whose command has not arrived completely; commands
     * in execution are answered. When this returns, {@link #run} has returned and the address is
     * free.
     */
    @Override
    public void close() {
        completion.close();
        try {
            server.close();
        } catch (IOException e) {
            // The descriptor is released nevertheless.
        }
        completion.awaitEnd();
        synchronized (awaitingCommand) {
            awaitingCommand.forEach(ManagementServer::closeQuietly);
        }
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return server.getLocalPort();
    }
}

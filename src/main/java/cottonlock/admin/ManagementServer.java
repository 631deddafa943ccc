package cottonlock.admin;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Answers operators' calls, one line to a connection, on threads and descriptors of its own: it
 * must answer within a second also while everything else is full.
 */
public final class ManagementServer implements Runnable {
    /**
     * Connections at most: some hold theirs for seconds, and each takes a descriptor and a thread.
     */
    public static final int MOST = 12;

    /** Bytes of a call: an id is far shorter. */
    private static final int LONGEST = 512;

    /** Milliseconds without a byte until a caller is left. */
    private static final int SILENCE = 5_000;

    /** Bytes of a thread's stack: the calls here are shallow. */
    private static final long STACK = 192 << 10;

    /** Who carries out the calls; from many threads, and at once. */
    public interface Desk {
        /** Whether this process serves. */
        boolean serves();

        /** The figures as one line of JSON. */
        String figures();

        /** The view of the fleet, in lines; null where membership is off. */
        String members();

        /** Takes a backend out; null, or why not. */
        String takeOut(String id);

        /** Uses a backend again; null, or why not. */
        String takeBack(String id);
    }

    private final Desk desk;
    private final ServerSocket server = new ServerSocket();

    /** Those that have not brought a whole call, the oldest first. */
    private final Deque<Socket> unheard = new ArrayDeque<>();

    private int open;

    /** Listens from now on, and answers when it is run. */
    public ManagementServer(InetSocketAddress address, Desk desk) throws IOException {
        this.desk = desk;
        server.setReuseAddress(true);
        try {
            server.bind(address, MOST);
        } catch (IOException e) {
            server.close();
            throw new IOException(
                    "cannot listen for operators on " + address + ": " + e.getMessage(), e);
        }
    }

    @Override
    public void run() {
        while (!server.isClosed()) {
            try {
                take(server.accept());
            } catch (IOException | OutOfMemoryError e) {
                pause();
            }
        }
    }

    private void take(Socket socket) {
        synchronized (unheard) {
            // Whoever holds a connection without a call must not keep the next caller out.
            if (open >= MOST && !unheard.isEmpty()) {
                close(unheard.poll());
            }
            open++;
            unheard.add(socket);
        }
        try {
            Thread thread = new Thread(null, () -> serve(socket), "operator", STACK);
            thread.setDaemon(true);
            thread.start();
        } catch (OutOfMemoryError e) {
            ended(socket);
        }
    }

    private void serve(Socket socket) {
        try {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(SILENCE);
            String line = line(socket.getInputStream());
            synchronized (unheard) {
                unheard.remove(socket);
            }
            socket.getOutputStream().write(answer(line).getBytes(StandardCharsets.UTF_8));
            socket.shutdownOutput();
        } catch (IOException e) {
            // The caller has gone, or given way to another.
        } finally {
            ended(socket);
        }
    }

    private void ended(Socket socket) {
        close(socket);
        synchronized (unheard) {
            unheard.remove(socket);
            open--;
        }
    }

    /** One line without its end; null when it is too long. */
    private static String line(InputStream in) throws IOException {
        byte[] bytes = new byte[LONGEST];
        int n = 0;
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("the call ends early");
            }
            if (n == LONGEST) {
                return null;
            }
            bytes[n++] = (byte) b;
        }
        return new String(bytes, 0, n, StandardCharsets.UTF_8);
    }

    /** What is answered to a call, ends of lines included. */
    private String answer(String line) {
        if (line == null) {
            return "NAK the call is longer than " + LONGEST + " bytes\n";
        }
        String[] words = line.trim().split(" +", 0);
        String fault;
        try {
            if (words.length == 1 && words[0].equals("DUMP")) {
                return desk.figures() + "\n--\n";
            }
            if (words.length == 1 && words[0].equals("MEMBERS")) {
                String members = desk.members();
                return members == null ? "NAK membership is off\n" : members + "--\n";
            }
            if (words.length == 1 && words[0].equals("HEALTH")) {
                fault = desk.serves() ? null : "not serving yet";
            } else if (words.length == 2 && words[0].equals("OFFLINE")) {
                fault = desk.takeOut(words[1]);
            } else if (words.length == 2 && words[0].equals("ONLINE")) {
                fault = desk.takeBack(words[1]);
            } else {
                fault = "expected HEALTH, DUMP, MEMBERS, OFFLINE ID or ONLINE ID";
            }
        } catch (RuntimeException e) {
            fault = "fault: " + e;
        }
        return fault == null ? "ACK\n" : "NAK " + fault + "\n";
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    private static void pause() {
        try {
            // Out of descriptors, accept fails at once again and again.
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Takes no more calls. */
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    /** The port that it listens on. */
    public int port() {
        return server.getLocalPort();
    }
}

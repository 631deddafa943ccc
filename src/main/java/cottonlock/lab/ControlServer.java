package cottonlock.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A simulated control server: it serves versions of the settings of services as described in
 * docs/rollout.md. It can be killed, serve stale data, reject calls as overloaded, send half of the
 * settings, or end a stream in the middle of a line.
 */
public final class ControlServer implements AutoCloseable {
    private static final long HEARTBEAT_MILLIS = 2_000;

    /** The fault that the server simulates. */
    public enum Fault {
        NONE,
        STALE,
        OVERLOADED,
        HALF_SETTINGS,
        TRUNCATED_LINE
    }

    private record Version(long seq, String digest, String base, String settings) {
        String versionLine() {
            return "{\"seq\":" + seq + ",\"digest\":\"" + digest + "\"}";
        }

        String fullLine(boolean truncated) {
            String content = truncated ? settings.substring(0, settings.length() / 2) : settings;
            return "{\"seq\":"
                    + seq
                    + ",\"whole\":true,\"digest\":\""
                    + digest
                    + "\",\"base\":\""
                    + base
                    + "\",\"settings\":\""
                    + content.replace("\\", "\\\\").replace("\"", "\\\"")
                    + "\"}";
        }

        boolean isNewerThan(long otherSeq, String otherDigest) {
            return seq != otherSeq ? seq > otherSeq : digest.compareTo(otherDigest) > 0;
        }
    }

    private record Watch(Socket socket, String service) {}

    private final int callsPerSecond;
    private final Map<String, Version> versions = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final List<Socket> openSockets = new ArrayList<>();
    private ServerSocket server;
    private int port;
    private Fault fault = Fault.NONE;
    private long currentSecond;
    private int callsInSecond;
    private int maxCallsInSecond;

    /**
     * Listens on a free port of loopback. Calls beyond {@code callsPerSecond} in one second are
     * rejected.
     */
    public ControlServer(int callsPerSecond) throws IOException {
        this.callsPerSecond = callsPerSecond;
        start();
        Thread heartbeat = new Thread(this::sendHeartbeats, "control beat");
        heartbeat.setDaemon(true);
        heartbeat.start();
    }

    /**
     * Starts the server, or starts it again after {@link #kill} at the same address with the
     * versions published before.
     */
    public synchronized void start() throws IOException {
        ServerSocket listening = new ServerSocket();
        listening.setReuseAddress(true);
        listening.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port), 512);
        server = listening;
        port = listening.getLocalPort();
        Thread acceptor = new Thread(() -> accept(listening), "control");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    public synchronized String address() {
        return "127.0.0.1:" + port;
    }

    /** The number of open watches. */
    public synchronized int watches() {
        return watches.size();
    }

    /** The largest number of calls received in any second. */
    public synchronized int maxCallsPerSecond() {
        return maxCallsInSecond;
    }

    public synchronized void setFault(Fault newFault) {
        fault = newFault;
    }

    /** Publishes a version; one that isn't newer than the stored one changes nothing. */
    public synchronized void publish(String service, long seq, String base, String settings) {
        Version version = new Version(seq, digest(settings), base, settings);
        Version previous = versions.get(service);
        if (fault != Fault.STALE
                && (previous == null || version.isNewerThan(previous.seq, previous.digest))) {
            versions.put(service, version);
            for (Watch watch : List.copyOf(watches)) {
                if (watch.service.equals(service)) {
                    sendVersion(watch, version);
                }
            }
        }
    }

    /** The first eight bytes of the text's SHA-256. */
    public static String digest(String text) {
        try {
            byte[] hash =
                    MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, 8);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private void accept(ServerSocket on) {
        try {
            while (true) {
                Socket socket = on.accept();
                Thread handler = new Thread(() -> serve(socket), "control call");
                handler.setDaemon(true);
                handler.start();
            }
        } catch (IOException e) {
            // The server was killed.
        }
    }

    private void serve(Socket socket) {
        try {
            socket.setSoTimeout(5_000);
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String start = in.readLine();
            for (String line = in.readLine();
                    line != null && !line.isEmpty();
                    line = in.readLine()) {
                // The request's header fields don't matter here.
            }
            synchronized (this) {
                openSockets.add(socket);
                answer(socket, start == null ? "" : start.split(" ", 0)[1]);
            }
        } catch (IOException | ArrayIndexOutOfBoundsException e) {
            close(socket);
        }
    }

    private void answer(Socket socket, String target) throws IOException {
        long now = System.nanoTime() / 1_000_000_000L;
        callsInSecond = now == currentSecond ? callsInSecond + 1 : 1;
        currentSecond = now;
        maxCallsInSecond = Math.max(maxCallsInSecond, callsInSecond);
        Version version = versions.get(parameter(target, "service"));
        if (fault == Fault.OVERLOADED || callsInSecond > callsPerSecond) {
            write(socket, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
            close(socket);
        } else if (target.startsWith("/catalog/configuration/version?")) {
            String body =
                    (version == null
                                    ? "{\"seq\":0,\"digest\":\"0000000000000000\"}"
                                    : version.versionLine())
                            + "\n";
            write(
                    socket,
                    "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            close(socket);
        } else if (target.startsWith("/catalog/configuration?")) {
            write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            Watch watch = new Watch(socket, parameter(target, "service"));
            watches.add(watch);
            long index = Long.parseLong("0" + parameter(target, "index"));
            if (version == null) {
                writeChunk(socket, "{\"seq\":0,\"digest\":\"0000000000000000\"}\n");
            } else if (version.isNewerThan(index, parameter(target, "digest"))) {
                sendVersion(watch, version);
            } else {
                writeChunk(socket, version.versionLine() + "\n");
            }
        } else {
            write(socket, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
            close(socket);
        }
    }

    private static String parameter(String target, String name) {
        for (String pair : target.substring(target.indexOf('?') + 1).split("&", 0)) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return "";
    }

    private void sendVersion(Watch watch, Version version) {
        try {
            String line = version.fullLine(fault == Fault.HALF_SETTINGS);
            if (fault == Fault.TRUNCATED_LINE) {
                writeChunk(watch.socket, line.substring(0, line.length() / 2));
                watch.socket.setSoLinger(true, 0);
                closeWatch(watch);
            } else {
                writeChunk(watch.socket, line + "\n");
            }
        } catch (IOException e) {
            closeWatch(watch);
        }
    }

    private void closeWatch(Watch watch) {
        watches.remove(watch);
        close(watch.socket);
    }

    private static void writeChunk(Socket socket, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        write(socket, Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n");
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is closed anyway.
        }
        synchronized (this) {
            openSockets.remove(socket);
        }
    }

    private void sendHeartbeats() {
        try {
            while (true) {
                Thread.sleep(HEARTBEAT_MILLIS);
                synchronized (this) {
                    for (Watch watch : List.copyOf(watches)) {
                        try {
                            writeChunk(watch.socket, "\n");
                        } catch (IOException e) {
                            closeWatch(watch);
                        }
                    }
                }
            }
        } catch (InterruptedException e) {
            // Interrupted: the heartbeats end.
        }
    }

    /** Kills the server: calls are refused, and watches end. */
    public synchronized void kill() throws IOException {
        server.close();
        watches.clear();
        List.copyOf(openSockets).forEach(this::close);
    }

    @Override
    public void close() throws IOException {
        kill();
    }
}

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
 * The stand-in of a control machine: it tells the versions of services' settings as docs/rollout.md
 * has it. It can be killed, lie behind, be overloaded, tell half a version and break off in the
 * middle of a line.
 */
public final class ControlServer implements AutoCloseable {
    private static final long BEAT = 2_000;

    /** What it tells besides the truth. */
    public enum Trouble {
        NONE,
        BEHIND,
        OVERLOADED,
        HALF,
        BROKEN_OFF
    }

    private record Told(long seq, String digest, String base, String settings) {
        String number() {
            return "{\"seq\":" + seq + ",\"digest\":\"" + digest + "\"}";
        }

        String whole(boolean half) {
            String content = half ? settings.substring(0, settings.length() / 2) : settings;
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

        boolean outweighs(long otherSeq, String otherDigest) {
            return seq != otherSeq ? seq > otherSeq : digest.compareTo(otherDigest) > 0;
        }
    }

    private record Watch(Socket socket, String service) {}

    private final int callsPerSecond;
    private final Map<String, Told> held = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final List<Socket> open = new ArrayList<>();
    private ServerSocket server;
    private int port;
    private Trouble trouble = Trouble.NONE;
    private long second;
    private int inSecond;
    private int worst;

    /**
     * Listens on a port of loopback that is free. Calls beyond so many in a second are turned away.
     */
    public ControlServer(int callsPerSecond) throws IOException {
        this.callsPerSecond = callsPerSecond;
        start();
        Thread beat = new Thread(this::beat, "control beat");
        beat.setDaemon(true);
        beat.start();
    }

    /** Starts again after {@link #kill}, at the same address and with what it had been told. */
    public synchronized void start() throws IOException {
        ServerSocket mine = new ServerSocket();
        mine.setReuseAddress(true);
        mine.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port), 512);
        server = mine;
        port = mine.getLocalPort();
        Thread accepts = new Thread(() -> accept(mine), "control");
        accepts.setDaemon(true);
        accepts.start();
    }

    public synchronized String address() {
        return "127.0.0.1:" + port;
    }

    /** How many watches stand. */
    public synchronized int watches() {
        return watches.size();
    }

    /** The most calls that came in any second. */
    public synchronized int worstSecond() {
        return worst;
    }

    public synchronized void trouble(Trouble which) {
        trouble = which;
    }

    /** A version is published; one that is not above what is held changes nothing. */
    public synchronized void publish(String service, long seq, String base, String settings) {
        Told told = new Told(seq, digest(settings), base, settings);
        Told before = held.get(service);
        if (trouble != Trouble.BEHIND
                && (before == null || told.outweighs(before.seq, before.digest))) {
            held.put(service, told);
            for (Watch watch : List.copyOf(watches)) {
                if (watch.service.equals(service)) {
                    tell(watch, told);
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
                Thread serves = new Thread(() -> serve(socket), "control call");
                serves.setDaemon(true);
                serves.start();
            }
        } catch (IOException e) {
            // It has been killed.
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
                // Nothing in the head matters here.
            }
            synchronized (this) {
                open.add(socket);
                answer(socket, start == null ? "" : start.split(" ", 0)[1]);
            }
        } catch (IOException | ArrayIndexOutOfBoundsException e) {
            close(socket);
        }
    }

    private void answer(Socket socket, String target) throws IOException {
        long now = System.nanoTime() / 1_000_000_000L;
        inSecond = now == second ? inSecond + 1 : 1;
        second = now;
        worst = Math.max(worst, inSecond);
        Told told = held.get(parameter(target, "service"));
        if (trouble == Trouble.OVERLOADED || inSecond > callsPerSecond) {
            write(socket, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
            close(socket);
        } else if (target.startsWith("/catalog/configuration/version?")) {
            String body =
                    (told == null ? "{\"seq\":0,\"digest\":\"0000000000000000\"}" : told.number())
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
            if (told == null) {
                chunk(socket, "{\"seq\":0,\"digest\":\"0000000000000000\"}\n");
            } else if (told.outweighs(index, parameter(target, "digest"))) {
                tell(watch, told);
            } else {
                chunk(socket, told.number() + "\n");
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

    private void tell(Watch watch, Told told) {
        try {
            String line = told.whole(trouble == Trouble.HALF);
            if (trouble == Trouble.BROKEN_OFF) {
                chunk(watch.socket, line.substring(0, line.length() / 2));
                watch.socket.setSoLinger(true, 0);
                end(watch);
            } else {
                chunk(watch.socket, line + "\n");
            }
        } catch (IOException e) {
            end(watch);
        }
    }

    private void end(Watch watch) {
        watches.remove(watch);
        close(watch.socket);
    }

    private static void chunk(Socket socket, String text) throws IOException {
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
            // It is closed all the same.
        }
        synchronized (this) {
            open.remove(socket);
        }
    }

    private void beat() {
        try {
            while (true) {
                Thread.sleep(BEAT);
                synchronized (this) {
                    for (Watch watch : List.copyOf(watches)) {
                        try {
                            chunk(watch.socket, "\n");
                        } catch (IOException e) {
                            end(watch);
                        }
                    }
                }
            }
        } catch (InterruptedException e) {
            // Nobody needs it any more.
        }
    }

    /** It dies: calls are refused, and watches end. */
    public synchronized void kill() throws IOException {
        server.close();
        watches.clear();
        List.copyOf(open).forEach(this::close);
    }

    @Override
    public void close() throws IOException {
        kill();
    }
}

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Stand-ins that all cases share: discovery, backends, clients, a slow wire, and the platform. */
final class Stand {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    /** The seed of what the stand-ins draw, and of the proxy's configuration. */
    static final long SEED = System.getenv("seed") == null ? 1 : Long.parseLong(System.getenv("seed"));

    private static final long START = System.nanoTime();
    private static PrintWriter record;
    private static final List<Proxy> proxies = Collections.synchronizedList(new ArrayList<>());

    private Stand() {}

    /** A case returns whether the rule was broken. */
    interface Case {
        boolean run() throws Exception;
    }

    /** Runs a case: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
    static void main(Path recordFile, Case body) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        Runtime.getRuntime().addShutdownHook(new Thread(Stand::killAll));
        int code;
        try {
            say("TROUBLE=" + (TROUBLE ? "1" : "0") + ", seed " + SEED);
            boolean broken = body.run();
            say(broken ? "VERDICT: the rule was broken" : "VERDICT: the rule held");
            code = broken ? 1 : 0;
        } catch (Throwable e) {
            say("VERDICT: the case could not run: " + e);
            e.printStackTrace(record);
            code = 2;
        }
        killAll();
        record.flush();
        Runtime.getRuntime().halt(code);
    }

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    /** Writes a line to the record, and to standard output. */
    static void say(String line) {
        String text = String.format(Locale.ROOT, "%7.3f %s", millis() / 1000.0, line);
        record.println(text);
        System.out.println(text);
    }

    /** Writes a line to the record alone. */
    static void note(String line) {
        record.println(String.format(Locale.ROOT, "%7.3f %s", millis() / 1000.0, line));
    }

    static void check(boolean holds, String otherwise) {
        if (!holds) {
            throw new IllegalStateException(otherwise);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void killAll() {
        synchronized (proxies) {
            proxies.forEach(Proxy::kill);
        }
    }

    // ---------------------------------------------------------------- the platform

    /** One process of the proxy, started with the command of the deploy file. */
    static final class Proxy {
        final Process process;
        final int port;
        final Path log;

        private Proxy(Process process, int port, Path log) {
            this.process = process;
            this.port = port;
            this.log = log;
        }

        /** Starts a process; TMPDIR is made if it does not exist. */
        static Proxy start(Path config, Path tmp, int port) throws IOException {
            Files.createDirectories(tmp);
            Path log = Files.createTempFile(tmp.getParent(), "proxy", ".log");
            ProcessBuilder builder =
                    new ProcessBuilder("/bin/sh", "-c", System.getenv("RUN_COMMAND"));
            builder.directory(Path.of(System.getenv("ROOT")).toFile());
            builder.environment().put("EDGE_CONFIG", config.toString());
            builder.environment().put("TMPDIR", tmp.toString());
            builder.environment().remove("EDGE_MGMT");
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            Proxy proxy = new Proxy(builder.start(), port, log);
            proxies.add(proxy);
            say("proxy started, pid " + proxy.pid() + ", port " + port);
            return proxy;
        }

        long pid() {
            return process.pid();
        }

        void awaitReady() throws Exception {
            for (int i = 0; i < 300; i++) {
                check(process.isAlive(), "the proxy ended at its start");
                try (Client client = new Client(port)) {
                    Answer answer = client.call("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n", 2_000);
                    if (answer.status == 200) {
                        say("proxy " + pid() + " is ready");
                        return;
                    }
                } catch (IOException e) {
                    // Not yet.
                }
                sleep(100);
            }
            throw new IllegalStateException("the proxy was not ready within 30 s");
        }

        void signal(String name) throws Exception {
            say("SIG" + name + " to proxy " + pid());
            new ProcessBuilder("/bin/kill", "-" + name, Long.toString(pid())).start().waitFor();
        }

        void kill() {
            process.destroyForcibly();
        }

        /** Copies the end of the proxy's log to the record. */
        void noteLog(int lines) throws IOException {
            List<String> all = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
            note("log of proxy " + pid() + ", " + all.size() + " lines, the last:");
            all.subList(Math.max(0, all.size() - lines), all.size())
                    .forEach(line -> note("    " + line));
        }
    }

    /** A class of requests as the settings name it; times in milliseconds. */
    static String category(String name, String repeat, String scope, int due, int expiry, int window) {
        return "{\"Name\":\"" + name + "\",\"Credit\":1.0,\"LateCredit\":0.0,\"DueTime\":" + due * 1000L
                + ",\"Expiry\":" + expiry * 1000L + ",\"Repeat\":\"" + repeat + "\",\"KeyScope\":\"" + scope
                + "\",\"RepeatWindow\":" + window * 1000L + ",\"Stream\":false}";
    }

    /** A whole configuration, with the settings of a small deployment. */
    static String config(
            int port, int discoveryPort, String categories, String known, int memoryMb, int sockets, String mode,
            String extra) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:" + discoveryPort
                + "\",\"seed\":\"" + String.format("%016x", SEED) + "\"," + extra
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},"
                + "\"known\":" + known + ",\"settings\":{\"Categories\":[" + categories + "],"
                + "\"Projects\":[{\"Name\":\"malopolska\",\"Share\":1.0,\"QuotaRps\":2000.0}],"
                + "\"Zones\":[\"krakow-a\",\"krakow-b\",\"katowice\"],\"Flavors\":[\"gw-mid\"],"
                + "\"FleetSize\":1,\"Me\":0,\"Stage\":0,\"Zone\":0,\"MembershipMode\":\"" + mode + "\","
                + "\"Workload\":\"chain\",\"Fees\":{\"Connection\":0.0,\"Handshake\":0.0},"
                + "\"Limits\":{\"Cancel\":true,\"ConnIdle\":60000000,\"ConnectTimeout\":150000,\"MaxHandOffs\":4,"
                + "\"MaxRetryAfter\":2000000,\"PeerMessages\":false,\"Probes\":false,\"RetryAfter\":true,"
                + "\"SecondCopies\":true},"
                + "\"Obligations\":{\"AnswerSlack\":20000,\"AskWithin\":10000000,\"Cold\":8700000,"
                + "\"ColdShare\":0.35,\"DrainGrace\":1500000,\"Fall\":3000000,\"FallMultiple\":3.0}}}";
    }

    // ---------------------------------------------------------------- discovery

    /** One backend in the list. */
    static String host(String id, int port, String site, String health, long bornMs) {
        return "{\"host\":\"" + id + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"" + site
                + "\",\"class\":\"gw-mid\",\"block\":0,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":"
                + bornMs + "}";
    }

    static String list(long seq, boolean whole, List<String> hosts) {
        return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    /** Discovery: whole lists, and watches with an empty line every 2 s. */
    static final class Discovery {
        final int port;
        private final Map<String, String> hosts = new TreeMap<>();
        private final List<LinkedBlockingQueue<String>> watches = new ArrayList<>();
        private long seq = 41;

        Discovery() throws IOException {
            ServerSocket server = new ServerSocket(0, 64, LOOPBACK);
            port = server.getLocalPort();
            start("discovery", () -> {
                while (true) {
                    try {
                        Socket socket = server.accept();
                        start("watch", () -> serve(socket));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        synchronized void put(String id, String host) {
            hosts.put(id, host);
        }

        /** Changes one entry and tells it on all watches. */
        synchronized void change(String id, String host) {
            hosts.put(id, host);
            seq++;
            String line = list(seq, false, List.of(host));
            watches.forEach(watch -> watch.add(line));
            note("discovery tells " + line);
        }

        synchronized String whole() {
            return list(seq, true, new ArrayList<>(hosts.values()));
        }

        private void serve(Socket socket) {
            LinkedBlockingQueue<String> lines = new LinkedBlockingQueue<>();
            try (socket) {
                socket.setTcpNoDelay(true);
                Message request = Message.read(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                if (request == null) {
                    return;
                }
                if (!request.startLine.contains("stream=1")) {
                    byte[] body = whole().getBytes(StandardCharsets.UTF_8);
                    out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes());
                    out.write(body);
                    return;
                }
                synchronized (this) {
                    lines.add(whole());
                    watches.add(lines);
                }
                note("discovery: watch opened: " + request.startLine);
                out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
                while (true) {
                    String line = lines.poll(2, TimeUnit.SECONDS);
                    byte[] data = ((line == null ? "" : line) + "\n").getBytes(StandardCharsets.UTF_8);
                    ByteArrayOutputStream chunk = new ByteArrayOutputStream();
                    chunk.write((Integer.toHexString(data.length) + "\r\n").getBytes());
                    chunk.write(data);
                    chunk.write("\r\n".getBytes());
                    out.write(chunk.toByteArray());
                }
            } catch (IOException | InterruptedException e) {
                // The proxy has ended the watch.
            } finally {
                synchronized (this) {
                    watches.remove(lines);
                }
            }
        }
    }

    // ---------------------------------------------------------------- HTTP

    /** A message: start line, fields and body. The body may be counted instead of kept. */
    static final class Message {
        String startLine;
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        /** Reads a head; null at the end of the stream. */
        static Message readHead(InputStream in) throws IOException {
            Message message = new Message();
            for (String line = readLine(in); ; line = readLine(in)) {
                if (line == null) {
                    return null;
                }
                if (message.startLine == null) {
                    message.startLine = line;
                } else if (line.isEmpty()) {
                    return message;
                } else {
                    int colon = line.indexOf(':');
                    message.fields.put(
                            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
                }
            }
        }

        /** Reads a whole message; null at the end of the stream. */
        static Message read(InputStream in) throws IOException {
            Message message = readHead(in);
            if (message == null) {
                return null;
            }
            if (message.field("Transfer-Encoding") != null) {
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                while (true) {
                    String line = readLine(in);
                    if (line == null) {
                        throw new EOFException("within a body");
                    }
                    int size = Integer.parseInt(line.split(";")[0].trim(), 16);
                    if (size == 0) {
                        while (!"".equals(readLine(in))) {
                            // Trailer fields.
                        }
                        message.body = body.toByteArray();
                        return message;
                    }
                    body.write(exactly(in, size));
                    readLine(in);
                }
            }
            String length = message.field("Content-Length");
            if (length != null) {
                message.body = exactly(in, Integer.parseInt(length));
            }
            return message;
        }

        static byte[] exactly(InputStream in, int count) throws IOException {
            byte[] bytes = in.readNBytes(count);
            if (bytes.length < count) {
                throw new EOFException("within a body");
            }
            return bytes;
        }

        private static String readLine(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); ; next = in.read()) {
                if (next < 0) {
                    return null;
                }
                if (next == '\n') {
                    return line.toString();
                }
                if (next != '\r') {
                    line.append((char) next);
                }
            }
        }
    }

    /** An answer as a client has read it. */
    static final class Answer {
        int status;
        byte[] body;
        boolean closes;

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A client's connection. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        final InputStream in;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress(LOOPBACK, port), 3_000);
            socket.setTcpNoDelay(true);
            in = new java.io.BufferedInputStream(socket.getInputStream());
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        Answer read(long timeoutMillis) throws IOException {
            socket.setSoTimeout((int) timeoutMillis);
            Message message = Message.read(in);
            if (message == null) {
                throw new EOFException("closed with no answer");
            }
            Answer answer = new Answer();
            answer.status = Integer.parseInt(message.startLine.split(" ")[1]);
            answer.body = message.body;
            answer.closes = "close".equalsIgnoreCase(message.field("Connection"));
            return answer;
        }

        Answer call(String request, long timeoutMillis) throws IOException {
            send(request);
            return read(timeoutMillis);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    /** The head of a client's request. */
    static String head(String category, String id, long timeoutMillis, String key, long length) {
        return (key == null && length == 0 ? "GET /" : "POST /") + category + " HTTP/1.1\r\nHost: origin.svc\r\n"
                + "X-Request-ID: " + id + "\r\nX-Priority-Class: " + category + "\r\nX-Tenant-Id: malopolska\r\n"
                + "X-Timeout-Ms: " + timeoutMillis + "\r\n" + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + (key == null && length == 0 ? "" : "Content-Length: " + length + "\r\n") + "\r\n";
    }

    /** Handles the connections that a backend accepts, each on a thread of its own. */
    interface Handler {
        void serve(Socket socket) throws Exception;
    }

    /** A listener for a backend; returns its port. */
    static int listen(String name, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket(0, 256, LOOPBACK);
        start(name, () -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    start(name, () -> {
                        try (socket) {
                            handler.serve(socket);
                        } catch (Exception e) {
                            // The connection has ended.
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
        return server.getLocalPort();
    }

    /** A wire of some length: whatever is written arrives so many nanoseconds later, in order. */
    static int wire(int targetPort, long oneWayNanos) throws IOException {
        return listen("wire", near -> {
            Socket far = new Socket(LOOPBACK, targetPort);
            far.setTcpNoDelay(true);
            Thread back = Stand.start("wire", () -> pump(far, near, oneWayNanos));
            pump(near, far, oneWayNanos);
            back.join();
        });
    }

    private static void pump(Socket from, Socket to, long oneWayNanos) {
        record Part(byte[] bytes, long dueNanos) {}
        LinkedBlockingQueue<Part> parts = new LinkedBlockingQueue<>();
        Thread writer = start("wire", () -> {
            try (to) {
                while (true) {
                    Part part = parts.take();
                    for (long left = part.dueNanos - System.nanoTime();
                            left > 0;
                            left = part.dueNanos - System.nanoTime()) {
                        java.util.concurrent.locks.LockSupport.parkNanos(left);
                    }
                    if (part.bytes.length == 0) {
                        return;
                    }
                    to.getOutputStream().write(part.bytes);
                }
            } catch (IOException | InterruptedException e) {
                // Ended at the other side.
            }
        });
        byte[] buffer = new byte[64 << 10];
        try {
            for (int count = from.getInputStream().read(buffer);
                    count >= 0;
                    count = from.getInputStream().read(buffer)) {
                byte[] bytes = java.util.Arrays.copyOf(buffer, count);
                parts.add(new Part(bytes, System.nanoTime() + oneWayNanos));
            }
        } catch (IOException e) {
            // Ended.
        }
        parts.add(new Part(new byte[0], System.nanoTime() + oneWayNanos));
        try {
            writer.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Bytes that a process holds: its own pages, and the files in TMPDIR that it has open. */
    static long[] memory(long pid, Path tmp) {
        long own = 0;
        long files = 0;
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
                if (line.startsWith("RssAnon:") || line.startsWith("RssShmem:")) {
                    own += Long.parseLong(line.replaceAll("[^0-9]", "")) << 10;
                }
            }
            java.util.Set<Object> seen = new java.util.HashSet<>();
            Deque<Path> descriptors = new ArrayDeque<>();
            try (var names = Files.newDirectoryStream(Path.of("/proc/" + pid + "/fd"))) {
                names.forEach(descriptors::add);
            }
            for (Path descriptor : descriptors) {
                try {
                    if (Files.readSymbolicLink(descriptor).toString().startsWith(tmp + "/")
                            && seen.add(Files.getAttribute(descriptor, "unix:ino"))) {
                        files += Files.size(descriptor);
                    }
                } catch (IOException e) {
                    // Closed meanwhile.
                }
            }
        } catch (IOException e) {
            // The process has ended.
        }
        return new long[] {own, files};
    }
}

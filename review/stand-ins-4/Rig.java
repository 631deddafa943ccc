import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
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
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the cases share: the record, the proxy as a process of its own, and stand-ins of backends,
 * discovery and clients that follow the protocol page. Only the JDK is used, on loopback addresses.
 */
final class Rig {
    static final Latin1 LATIN = new Latin1();
    private static final long START = System.nanoTime();
    private static final long MAX_SECONDS = 110;

    /** What the proxy draws its random numbers from: the variable {@code seed}, 1 if it is not set. */
    private static final String SEED =
            String.format(
                    Locale.ROOT,
                    "%016x",
                    0x8c1f30d27a5be964L + Long.parseLong(System.getenv().getOrDefault("seed", "1")));

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path work;
    private final PrintWriter record;
    private final List<Process> processes = new CopyOnWriteArrayList<>();

    /** Latin-1 text, so that each byte is one character. */
    static final class Latin1 {
        byte[] bytes(String text) {
            return text.getBytes(StandardCharsets.ISO_8859_1);
        }

        String text(byte[] bytes, int from, int count) {
            return new String(bytes, from, count, StandardCharsets.ISO_8859_1);
        }
    }

    /** What a case does; returns what broke the rule, empty if it held. */
    interface Body {
        List<String> run(Rig rig) throws Exception;
    }

    private Rig(Path folder) throws IOException {
        this.work = Files.createTempDirectory("review");
        this.record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    /** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
    static void main(String[] args, Body body) throws IOException {
        Rig rig = new Rig(Path.of(args[0]));
        Runtime.getRuntime().addShutdownHook(new Thread(rig::endProcesses));
        daemon(
                () -> {
                    sleep(MAX_SECONDS * 1000);
                    rig.record("the case took too long");
                    rig.end(2);
                });
        rig.record("disruption " + (rig.trouble ? "on" : "off (TROUBLE=0)"));
        try {
            List<String> breaks = body.run(rig);
            for (String line : breaks) {
                rig.record("BROKEN " + line);
            }
            rig.record(breaks.isEmpty() ? "the rule held" : "the rule was broken");
            rig.end(breaks.isEmpty() ? 0 : 1);
        } catch (Throwable e) {
            rig.record("the case could not run: " + e);
            e.printStackTrace();
            rig.end(2);
        }
    }

    private void end(int status) {
        endProcesses();
        synchronized (record) {
            record.flush();
        }
        Runtime.getRuntime().halt(status);
    }

    private void endProcesses() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        deleteWork();
    }

    private void deleteWork() {
        try (java.util.stream.Stream<Path> files = Files.walk(work)) {
            for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException | java.io.UncheckedIOException e) {
            // It was deleted before.
        }
    }

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    void record(String line) {
        synchronized (record) {
            String text = String.format(Locale.ROOT, "%7d ms  %s", millis(), line);
            record.println(text);
            record.flush();
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "case", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    // ---------------------------------------------------------------- the proxy

    /** A proxy as a process of its own, started as the deploy file says. */
    final class ProxyProcess {
        final Process process;
        final int port;

        ProxyProcess(Process process, int port) {
            this.process = process;
            this.port = port;
        }

        /** Waits until GET /_health answers 200. */
        void awaitReady() throws Exception {
            for (long end = millis() + 30_000; millis() < end; sleep(10)) {
                if (!process.isAlive()) {
                    throw new IOException("the proxy ended with " + process.exitValue());
                }
                try (Client client = new Client(port)) {
                    Response response =
                            client.call("GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n", null, 2_000);
                    if (response.status == 200) {
                        record("the proxy " + process.pid() + " is ready");
                        return;
                    }
                } catch (IOException e) {
                    // Not yet.
                }
            }
            throw new IOException("the proxy was not ready within 30 s");
        }

        void signal(String name) throws Exception {
            record("SIG" + name + " to the proxy " + process.pid());
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid())
                    .start()
                    .waitFor();
        }
    }

    ProxyProcess startProxy(String name, Path config, int port, Path tmp) throws Exception {
        String deploy = Files.readString(Path.of("deploy", "balancer.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("no run in the deploy file");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
        builder.environment().put("EDGE_NAME", name);
        builder.environment().put("EDGE_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("TMPDIR", Files.createDirectories(tmp).toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(work.resolve(name + ".log").toFile()));
        Process process = builder.start();
        processes.add(process);
        record("started the proxy " + process.pid() + " as " + name + " at port " + port);
        return new ProxyProcess(process, port);
    }

    // ---------------------------------------------------------------- settings

    /** The settings of a small deployment, by their paths; lists of objects are given as JSON. */
    static Map<String, String> settings() {
        Map<String, String> s = new LinkedHashMap<>();
        s.put("Zones", "[\"krakow-a\",\"krakow-b\"]");
        s.put("Flavors", "[\"gw-mid\"]");
        s.put("Tiers", "[\"till-gateway\"]");
        s.put("Projects", "[{\"Name\":\"malopolska\",\"Share\":1.0,\"QuotaRps\":200.0}]");
        s.put("Workload", "\"chain\"");
        s.put("WeightKind", "\"nominal\"");
        s.put("CreditBasis", "\"request\"");
        s.put("FleetSize", "1");
        s.put("Me", "0");
        s.put("Stage", "0");
        s.put("Zone", "0");
        s.put("MembershipMode", "\"subscribe\"");
        s.put("Limits.Cancel", "true");
        s.put("Limits.ConnIdle", "60000000");
        s.put("Limits.ConnectTimeout", "150000");
        s.put("Limits.MaxHandOffs", "4");
        s.put("Limits.MaxOpen", "20000");
        s.put("Limits.MaxRetryAfter", "2000000");
        s.put("Limits.Multiplex", "1");
        s.put("Limits.PeerMessages", "false");
        s.put("Limits.Probes", "false");
        s.put("Limits.RetryAfter", "true");
        s.put("Limits.SecondCopies", "true");
        s.put("Obligations.AnswerSlack", "20000");
        s.put("Obligations.AskWithin", "10000000");
        s.put("Obligations.Cold", "8700000");
        s.put("Obligations.ColdShare", "0.35");
        s.put("Obligations.DrainGrace", "1500000");
        s.put("Obligations.Fall", "3000000");
        s.put("Obligations.FallMultiple", "3.0");
        return s;
    }

    /** One class of the settings; times in milliseconds. */
    static String category(String name, long due, long expiry, String repeat, String scope, long window) {
        return String.format(
                Locale.ROOT,
                "{\"Name\":\"%s\",\"Credit\":1.0,\"LateCredit\":0.0,\"DueTime\":%d,\"Expiry\":%d,"
                        + "\"Repeat\":\"%s\",\"KeyScope\":\"%s\",\"RepeatWindow\":%d,\"Stream\":false}",
                name, due * 1000, expiry * 1000, repeat, scope, window * 1000);
    }

    /** The configuration file as the platform writes it; replaced as a whole. */
    static void writeConfig(
            Path file,
            String name,
            int port,
            String discovery,
            String known,
            String limits,
            Map<String, String> settings,
            String... categories)
            throws IOException {
        Map<String, Map<String, String>> groups = new TreeMap<>();
        StringBuilder flat = new StringBuilder();
        settings.forEach(
                (path, value) -> {
                    int dot = path.indexOf('.');
                    if (dot < 0) {
                        flat.append(",\"").append(path).append("\":").append(value);
                    } else {
                        groups.computeIfAbsent(path.substring(0, dot), k -> new TreeMap<>())
                                .put(path.substring(dot + 1), value);
                    }
                });
        groups.forEach(
                (group, values) -> {
                    List<String> fields = new ArrayList<>();
                    values.forEach((key, value) -> fields.add("\"" + key + "\":" + value));
                    flat.append(",\"" + group + "\":{" + String.join(",", fields) + "}");
                });
        String json =
                "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                        + discovery + "\",\"seed\":\"" + SEED + "\",\"limits\":" + limits
                        + ",\"known\":" + known + ",\"settings\":{\"Categories\":["
                        + String.join(",", categories) + "]" + flat + "}}";
        Path next = file.resolveSibling(file.getFileName() + ".next");
        Files.writeString(next, json);
        Files.move(
                next,
                file,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    // ---------------------------------------------------------------- messages

    /** A request as a backend or discovery reads it. */
    static final class Request {
        String method;
        String target;
        Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = {};
        long headMillis;

        String id() {
            return fields.get("X-Request-ID");
        }
    }

    /** An answer as a client reads it. */
    static final class Response {
        int status;
        Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = {};
        long firstByteMillis;
        long endMillis;

        String text() {
            return LATIN.text(body, 0, body.length);
        }
    }

    /** Reads a head up to its empty line; null at the end of the stream before it. */
    static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int state = 0;
        while (state < 4) {
            int next = in.read();
            if (next < 0) {
                if (head.size() == 0) {
                    return null;
                }
                throw new IOException("the stream ended within a head");
            }
            head.write(next);
            state = next == (state % 2 == 0 ? '\r' : '\n') ? state + 1 : next == '\r' ? 1 : 0;
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    static void readFields(String head, Map<String, String> fields) {
        String[] lines = head.split("\r\n");
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            fields.put(lines[i].substring(0, colon), lines[i].substring(colon + 1).trim());
        }
    }

    static byte[] readExactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new IOException("the stream ended within a body");
        }
        return bytes;
    }

    // ---------------------------------------------------------------- backends

    /** What a backend does with a request whose last byte has come. */
    interface Handler {
        void handle(Request request, Exchange exchange) throws Exception;
    }

    /** One connection to a backend. */
    static final class Exchange {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Exchange(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            this.out = socket.getOutputStream();
        }

        void answer(int status, byte[] body, String... fields) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            for (String field : fields) {
                head.append(field).append("\r\n");
            }
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            byte[] start = LATIN.bytes(head.toString());
            byte[] all = java.util.Arrays.copyOf(start, start.length + body.length);
            System.arraycopy(body, 0, all, start.length, body.length);
            out.write(all);
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** A stand-in of a backend: a thread for each connection, one request at a time on each. */
    final class Backend {
        final String id;
        final ServerSocket server;
        volatile Handler handler;

        /** Milliseconds for which a body's bytes are left unread in pieces; 0: it is read at once. */
        volatile long bodyReadMillis;

        Backend(String id, Handler handler) throws IOException {
            this.id = id;
            this.handler = handler;
            this.server = new ServerSocket();
            server.bind(new InetSocketAddress("127.0.0.1", 0), 512);
            daemon(this::accept);
        }

        int port() {
            return server.getLocalPort();
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                Exchange exchange = new Exchange(socket);
                while (true) {
                    String head = readHead(exchange.in);
                    if (head == null) {
                        return;
                    }
                    Request request = new Request();
                    request.headMillis = millis();
                    String[] start = head.substring(0, head.indexOf("\r\n")).split(" ");
                    request.method = start[0];
                    request.target = start[1];
                    readFields(head, request.fields);
                    int length = Integer.parseInt(request.fields.getOrDefault("Content-Length", "0"));
                    request.body = readBody(exchange.in, length);
                    handler.handle(request, exchange);
                }
            } catch (Exception e) {
                // The other side has ended the connection, or this one was told to.
            }
        }

        private byte[] readBody(InputStream in, int length) throws IOException {
            long slow = bodyReadMillis;
            if (slow == 0 || length == 0) {
                return readExactly(in, length);
            }
            byte[] body = new byte[length];
            int pieces = 20;
            for (int i = 0; i < pieces; i++) {
                int from = (int) ((long) length * i / pieces);
                int to = (int) ((long) length * (i + 1) / pieces);
                sleep(slow / pieces);
                System.arraycopy(readExactly(in, to - from), 0, body, from, to - from);
            }
            return body;
        }

        String entry(String zone, String health, long bornMillis) {
            return String.format(
                    Locale.ROOT,
                    "{\"host\":\"%s\",\"dial\":\"127.0.0.1:%d\",\"site\":\"%s\",\"class\":\"gw-mid\","
                            + "\"block\":0,\"health\":\"%s\",\"share\":1.0,\"born_ms\":%d}",
                    id, port(), zone, health, bornMillis);
        }
    }

    // ---------------------------------------------------------------- discovery

    /** A stand-in of discovery: whole lists and watches. */
    final class Discovery {
        private final ServerSocket server;
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final List<String[]> changes = new ArrayList<>();
        private long seq;

        Discovery(long seq) throws IOException {
            this.seq = seq;
            this.server = new ServerSocket();
            server.bind(new InetSocketAddress("127.0.0.1", 0), 64);
            daemon(this::accept);
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        synchronized long set(String id, String entry) {
            seq++;
            entries.put(id, entry);
            changes.add(new String[] {Long.toString(seq), entry});
            notifyAll();
            return seq;
        }

        synchronized String whole() {
            return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":["
                    + String.join(",", entries.values()) + "]}";
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = server.accept();
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                String head = readHead(new BufferedInputStream(socket.getInputStream()));
                if (head == null) {
                    return;
                }
                String target = head.split(" ")[1];
                record("discovery is asked " + target);
                OutputStream out = socket.getOutputStream();
                if (!target.contains("stream=1")) {
                    byte[] list = LATIN.bytes(whole() + "\n");
                    out.write(LATIN.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + list.length + "\r\n\r\n"));
                    out.write(list);
                    return;
                }
                Matcher index = Pattern.compile("index=(\\d+)").matcher(target);
                watch(out, index.find() ? Long.parseLong(index.group(1)) : 0);
            } catch (IOException | InterruptedException e) {
                // The proxy has ended the watch.
            }
        }

        private void watch(OutputStream out, long index) throws IOException, InterruptedException {
            out.write(LATIN.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
            long told;
            synchronized (this) {
                told = seq;
                if (index == 0 || index < seq) {
                    line(out, whole());
                }
            }
            long lastLine = millis();
            if (index == told) {
                line(out, "");
            }
            while (true) {
                String message = null;
                synchronized (this) {
                    if (told == seq && millis() - lastLine < 2_000) {
                        wait(Math.max(1, 2_000 - (millis() - lastLine)));
                    }
                    if (told < seq) {
                        List<String> changed = new ArrayList<>();
                        for (String[] change : changes) {
                            if (Long.parseLong(change[0]) > told) {
                                changed.add(change[1]);
                            }
                        }
                        told = seq;
                        message = "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":["
                                + String.join(",", changed) + "]}";
                    } else if (millis() - lastLine >= 2_000) {
                        message = "";
                    }
                }
                if (message != null) {
                    line(out, message);
                    if (!message.isEmpty()) {
                        record("discovery has written " + message);
                    }
                    lastLine = millis();
                }
            }
        }

        private void line(OutputStream out, String text) throws IOException {
            out.write(LATIN.bytes(Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n"));
        }
    }

    // ---------------------------------------------------------------- clients

    /** A client's connection: one request at a time. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;
        boolean usable = true;

        Client(int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
            in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            out = socket.getOutputStream();
        }

        /** Sends a request and reads its answer; an IOException if there is no whole one. */
        Response call(String head, byte[] body, int timeoutMillis) throws IOException {
            send(head, body);
            return read(timeoutMillis);
        }

        void send(String head, byte[] body) throws IOException {
            byte[] start = LATIN.bytes(head);
            byte[] all = start;
            if (body != null) {
                all = java.util.Arrays.copyOf(start, start.length + body.length);
                System.arraycopy(body, 0, all, start.length, body.length);
            }
            out.write(all);
        }

        Response read(int timeoutMillis) throws IOException {
            socket.setSoTimeout(timeoutMillis);
            usable = false;
            Response response = new Response();
            String head = readHead(in);
            if (head == null) {
                throw new java.io.EOFException("the connection ended before the answer");
            }
            response.firstByteMillis = millis();
            response.status = Integer.parseInt(head.split(" ")[1]);
            readFields(head, response.fields);
            if (response.fields.containsKey("Transfer-Encoding")) {
                response.body = readChunks();
            } else if (response.fields.containsKey("Content-Length")) {
                response.body =
                        readExactly(in, Integer.parseInt(response.fields.get("Content-Length")));
            } else {
                response.body = in.readAllBytes();
            }
            response.endMillis = millis();
            usable = !"close".equalsIgnoreCase(response.fields.getOrDefault("Connection", ""))
                    && (response.fields.containsKey("Content-Length")
                            || response.fields.containsKey("Transfer-Encoding"));
            return response;
        }

        private byte[] readChunks() throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String line = readLine();
                int size = Integer.parseInt(line.split(";")[0].trim(), 16);
                body.write(readExactly(in, size));
                if (size == 0) {
                    while (!readLine().isEmpty()) {
                        // A trailer.
                    }
                    return body.toByteArray();
                }
                readLine();
            }
        }

        private String readLine() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    throw new IOException("the stream ended within a line");
                }
                if (next != '\r') {
                    line.append((char) next);
                }
            }
            return line.toString();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** The head of a client's request. */
    static String head(String category, String id, long timeoutMillis, String key, int length) {
        boolean post = key != null || length > 0;
        return (post ? "POST /" : "GET /") + category + "?sid=" + id + " HTTP/1.1\r\nHost: origin.svc\r\n"
                + "X-Request-ID: " + id + "\r\nX-Priority-Class: " + category
                + "\r\nX-Tenant-Id: malopolska\r\nX-Timeout-Ms: " + timeoutMillis + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + (post ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }
}

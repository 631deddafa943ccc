import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** Discovery: the whole list on each call, and then an empty line every 2 s on a watch. */
class Discovery {
    private final Supplier<String> list;
    private final ServerSocket server = new ServerSocket();

    Discovery(List<Backend> backends) throws IOException {
        this(
                () ->
                        "{\"seq\":1,\"whole\":true,\"hosts\":["
                                + backends.stream()
                                        .map(Backend::entry)
                                        .collect(Collectors.joining(","))
                                + "]}");
    }

    /** With a list made by somebody else. */
    Discovery(Supplier<String> list) throws IOException {
        this.list = list;
        server.bind(new InetSocketAddress("127.0.0.1", 0), 64);
        Thread thread = new Thread(this::accept, "discovery");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return server.getLocalPort();
    }

    String list() {
        return list.get();
    }

    /** Tells a watch what there is to tell, until its connection ends. */
    void tell(OutputStream out) throws IOException, InterruptedException {
        for (String line = list(); ; line = "") {
            write(out, line);
            Thread.sleep(2_000);
        }
    }

    /** Writes one line of a watch. */
    static void write(OutputStream out, String line) throws IOException {
        String chunk = Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
        out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket), "watch");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String start = in.readLine();
            for (String line = in.readLine(); line != null && !line.isEmpty(); ) {
                line = in.readLine();
            }
            OutputStream out = socket.getOutputStream();
            if (!start.contains("stream=1")) {
                Backend.answer(out, 200, list());
                return;
            }
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
            tell(out);
        } catch (IOException | InterruptedException e) {
            // The proxy has ended the watch.
        }
    }
}

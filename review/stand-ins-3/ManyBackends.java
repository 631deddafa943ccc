import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Sound backends in great number on one thread, each at an address of its own; they serve GETs. */
final class ManyBackends implements Runnable {
    private final Selector selector = Selector.open();
    private final List<String> entries = new ArrayList<>();
    private final List<String> addresses = new ArrayList<>();
    private final Set<String> used = ConcurrentHashMap.newKeySet();

    ManyBackends(int count) throws IOException {
        int port = Rig.freePort();
        for (int i = 0; i < count; i++) {
            String address = "127.0." + (10 + i / 200) + "." + (1 + i % 200);
            ServerSocketChannel server = ServerSocketChannel.open();
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(new InetSocketAddress(address, port), 16);
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT);
            entries.add(entry(i, "s", address + ":" + port, "active", 0));
            addresses.add(address + ":" + port);
        }
        Thread thread = new Thread(this, "backends");
        thread.setDaemon(true);
        thread.start();
    }

    /** The entry of a backend, by its number and the first letter of its name. */
    private static String entry(
            int number, String letter, String address, String health, long bornMillis) {
        return "{\"host\":\""
                + letter
                + String.format(Locale.ROOT, "-%08x", 0x5be20000 + number)
                + "\",\"dial\":\""
                + address
                + "\",\"site\":\""
                + new String[] {"krakow-a", "krakow-b", "katowice"}[number % 3]
                + "\",\"class\":\"std\",\"block\":"
                + number / 8
                + ",\"health\":\""
                + health
                + "\",\"share\":1.0,\"born_ms\":"
                + bornMillis
                + "}";
    }

    /** The entry of one of the first backends, with another health. */
    String changed(int number, String health) {
        return entry(number, "s", addresses.get(number), health, 0);
    }

    /** The entry of a new backend at the address of one of the first. */
    String successor(int number) {
        return entry(number, "t", addresses.get(number), "active", System.currentTimeMillis());
    }

    /** How many of them a proxy has connected to. */
    int used() {
        return used.size();
    }

    String list() {
        return "{\"seq\":1,\"whole\":true,\"hosts\":[" + String.join(",", entries) + "]}";
    }

    @Override
    public void run() {
        ByteBuffer buffer = ByteBuffer.allocate(8_192);
        while (true) {
            try {
                selector.select();
                for (Iterator<SelectionKey> i = selector.selectedKeys().iterator(); i.hasNext(); ) {
                    SelectionKey key = i.next();
                    i.remove();
                    try {
                        handle(key, buffer);
                    } catch (IOException e) {
                        key.channel().close();
                    }
                }
            } catch (IOException e) {
                e.printStackTrace();
            }
        }
    }

    private void handle(SelectionKey key, ByteBuffer buffer) throws IOException {
        if (key.isAcceptable()) {
            SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
            used.add(channel.getLocalAddress().toString());
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.register(selector, SelectionKey.OP_READ, new StringBuilder());
            return;
        }
        SocketChannel channel = (SocketChannel) key.channel();
        buffer.clear();
        if (channel.read(buffer) < 0) {
            channel.close();
            return;
        }
        StringBuilder head = (StringBuilder) key.attachment();
        head.append(new String(buffer.array(), 0, buffer.position(), StandardCharsets.ISO_8859_1));
        if (head.indexOf("\r\n\r\n") >= 0) {
            head.setLength(0);
            channel.write(
                    ByteBuffer.wrap(
                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                                    .getBytes(StandardCharsets.ISO_8859_1)));
        }
    }
}

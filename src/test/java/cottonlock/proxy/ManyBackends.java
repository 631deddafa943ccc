package cottonlock.proxy;

import cottonlock.proxy.io.Sockets;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Backends in great number, each with an address of its own, served by one listener. */
final class ManyBackends implements AutoCloseable {
    private static final int ADDRESSES_PER_BLOCK = 250;

    /** Listens on all addresses of this machine; backends are told apart by the loopback ones. */
    private final ServerSocket server = new ServerSocket(0, 512);

    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<String> usedAddresses = ConcurrentHashMap.newKeySet();

    ManyBackends() throws IOException {
        Sockets.start("backends", this::acceptAll);
    }

    /** The first backends of the fleet, as discovery lists them. */
    String[] hosts(int count) {
        String[] hosts = new String[count];
        for (int i = 0; i < count; i++) {
            String address =
                    "127.63." + i / ADDRESSES_PER_BLOCK + "." + (1 + i % ADDRESSES_PER_BLOCK);
            hosts[i] =
                    ProxyFixture.listEntry("b" + i, server.getLocalPort())
                            .replace("127.0.0.1", address);
        }
        return hosts;
    }

    /** How many backends have been connected to. */
    int used() {
        return usedAddresses.size();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                usedAddresses.add(socket.getLocalAddress().getHostAddress());
                Sockets.start("backend connection", () -> serve(socket));
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            while (!ProxyFixture.readHead(socket.getInputStream()).isEmpty()) {
                byte[] response = ProxyFixture.OK.getBytes(StandardCharsets.ISO_8859_1);
                socket.getOutputStream().write(response);
            }
        } catch (IOException e) {
            // The proxy has closed it.
        } finally {
            sockets.remove(socket);
        }
    }

    @Override
    public void close() {
        Sockets.close(server);
        sockets.forEach(Sockets::close);
    }
}

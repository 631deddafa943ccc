package cottonlock.proxy;

import cottonlock.admin.ManagementServer;
import cottonlock.proxy.control.ProxyConfiguration;
import cottonlock.proxy.http.BufferPool;
import cottonlock.proxy.io.DescriptorLimit;
import cottonlock.proxy.io.RateLimitedLog;

/**
 * How a process divides the sockets and the memory that its configuration gives it.
 *
 * @param memoryBytes the memory limit
 * @param maxClientConnections the connections of clients
 * @param maxWaitingClients the connections that may wait to be one of these
 * @param maxBackendConnections the connections to backends
 * @param connectionMemoryBytes the memory for connections, where the list of backends is short
 * @param maxBodyFiles the bodies that may be in files at a time
 * @param maxBuffers the buffers of the pool, of which each connection may need one
 */
record ResourceLimits(
        long memoryBytes,
        int maxClientConnections,
        int maxWaitingClients,
        int maxBackendConnections,
        long connectionMemoryBytes,
        int maxBodyFiles,
        int maxBuffers) {
    /**
     * Descriptors reserved for the process itself, its jars, discovery, peers and the listener and,
     * for a moment, for a connection just accepted, files shared between processes and the
     * configuration.
     */
    private static final int RESERVED_DESCRIPTORS = 24;

    /**
     * Share of the other sockets that backends get: clients use at most a third of all for
     * requests.
     */
    private static final double BACKEND_SOCKET_SHARE = 0.375;

    /** Megabytes that the process takes by itself, with a list of so many backends. */
    private static final int RESERVED_MEMORY_MB = 48;

    private static final int BACKENDS_IN_RESERVED_MEMORY = 256;

    /** What each further backend takes: its entry, what is learned of it and its actor. */
    private static final long BYTES_PER_BACKEND = 3 << 10;

    /**
     * Connections per further megabyte, of clients and to backends, and how many of them clients
     * may have: each has a thread, which takes 110 KB.
     */
    private static final int CONNECTIONS_PER_MB = 8;

    private static final int CLIENTS_PER_MB = 6;

    private static final long BYTES_PER_CONNECTION = (1 << 20) / CONNECTIONS_PER_MB;

    /** However little memory there is, so many clients may be connected. */
    private static final int MIN_CLIENTS = 16;

    /** One in this many sockets is reserved for the file of a long body. */
    private static final int SOCKETS_PER_BODY_FILE = 12;

    /** Buffers take this part of the memory, and of the heap. */
    private static final int MEMORY_PER_BUFFERS = 8;

    private static final int HEAP_PER_BUFFERS = 3;

    /**
     * Divides the limits of a configuration.
     *
     * @param hasManagement whether there is a management address
     */
    static ResourceLimits of(ProxyConfiguration config, boolean hasManagement, RateLimitedLog log) {
        // Management calls hold their descriptors for seconds; when they used the reserved ones,
        // none was left for discovery.
        int reservedDescriptors =
                RESERVED_DESCRIPTORS + (hasManagement ? ManagementServer.MAX_CONNECTIONS : 0);
        int available = Math.max(4, allowedSockets(config, log) - reservedDescriptors);
        int bodyFiles = available / SOCKETS_PER_BODY_FILE;
        int sockets = available - bodyFiles;
        int backendConnections = Math.max(2, (int) (sockets * BACKEND_SOCKET_SHARE));
        int memoryMb = config.limit("memory_mb", 192);
        long memoryBytes = (long) memoryMb << 20;
        int freeMemoryMb = Math.max(0, memoryMb - RESERVED_MEMORY_MB);
        int clientConnections =
                Math.min(
                        sockets - backendConnections,
                        Math.max(MIN_CLIENTS, freeMemoryMb * CLIENTS_PER_MB));
        // One buffer for each connection, the rest for bodies.
        long bufferBytes =
                Math.min(
                        memoryBytes / MEMORY_PER_BUFFERS,
                        Runtime.getRuntime().maxMemory() / HEAP_PER_BUFFERS);
        int connections = clientConnections + backendConnections;
        return new ResourceLimits(
                memoryBytes,
                clientConnections,
                Math.max(
                        ClientListener.MIN_WAITING,
                        sockets - backendConnections - clientConnections),
                backendConnections,
                (long) freeMemoryMb << 20,
                Math.max(2, sockets / SOCKETS_PER_BODY_FILE),
                (int) Math.max(connections, bufferBytes / BufferPool.SIZE));
    }

    /** Where the system allows fewer descriptors, further sockets would fail to open. */
    private static int allowedSockets(ProxyConfiguration config, RateLimitedLog log) {
        int configured = config.limit("sockets", 1024);
        int descriptors = DescriptorLimit.current();
        if (descriptors < configured) {
            log.warn(
                    "sockets",
                    "limits.sockets is "
                            + configured
                            + ", but the system allows "
                            + descriptors
                            + " descriptors; the lower limit is used");
        }
        return Math.min(configured, descriptors);
    }

    /** The connections of clients and to backends. */
    int maxConnections() {
        return maxClientConnections + maxBackendConnections;
    }

    /**
     * The connections of clients and to backends that there is memory for, together.
     *
     * @param listedBackends the backends that the list names at present
     */
    int maxConnectionsInMemory(int listedBackends) {
        int furtherBackends = Math.max(0, listedBackends - BACKENDS_IN_RESERVED_MEMORY);
        long bytes = connectionMemoryBytes - furtherBackends * BYTES_PER_BACKEND;
        return (int) Math.max(MIN_CLIENTS * 2, bytes / BYTES_PER_CONNECTION);
    }
}

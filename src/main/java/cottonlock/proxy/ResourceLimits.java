package cottonlock.proxy;

import cottonlock.admin.ManagementServer;
import cottonlock.proxy.control.MemoryBudget;
import cottonlock.proxy.control.ProxyConfiguration;
import cottonlock.proxy.http.BufferPool;
import cottonlock.proxy.io.DescriptorLimit;
import cottonlock.proxy.io.RateLimitedLog;

/**
 * How a process divides the sockets and the memory that its configuration gives it.
 *
 * @param memory how the memory limit is divided
 * @param maxClientConnections the connections of clients
 * @param maxWaitingClients the connections that may wait to be one of these
 * @param maxBackendConnections the connections to backends
 * @param maxBodyFiles the bodies that may be in files at a time
 * @param maxBuffers the buffers of the pool, of which each connection may need one
 */
record ResourceLimits(
        MemoryBudget memory,
        int maxClientConnections,
        int maxWaitingClients,
        int maxBackendConnections,
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

    /** Part of the connections that clients may have, of those that there is memory for. */
    private static final double CLIENT_CONNECTION_SHARE = 0.75;

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
     * @param startBytes what this process has taken until now; 0 if unknown
     */
    static ResourceLimits of(
            ProxyConfiguration config, boolean hasManagement, long startBytes, RateLimitedLog log) {
        // Management calls hold their descriptors for seconds; when they used the reserved ones,
        // none was left for discovery.
        int reservedDescriptors =
                RESERVED_DESCRIPTORS + (hasManagement ? ManagementServer.MAX_CONNECTIONS : 0);
        int available = Math.max(4, allowedSockets(config, log) - reservedDescriptors);
        int bodyFiles = available / SOCKETS_PER_BODY_FILE;
        int sockets = available - bodyFiles;
        long memoryBytes = (long) config.limit("memory_mb", 192) << 20;
        // Only where there is a management address can another process serve beside this one.
        MemoryBudget memory = MemoryBudget.of(memoryBytes, startBytes, hasManagement);
        int backendSockets = Math.max(2, (int) (sockets * BACKEND_SOCKET_SHARE));
        int backendConnections = Math.min(backendSockets, memory.maxBackendConnections());
        int clientsInMemory = (int) (memory.maxConnections(0) * CLIENT_CONNECTION_SHARE);
        int clientConnections =
                Math.min(sockets - backendConnections, Math.max(MIN_CLIENTS, clientsInMemory));
        // One buffer for each connection, the rest for bodies.
        long bufferBytes =
                Math.min(
                        memoryBytes / MEMORY_PER_BUFFERS,
                        Runtime.getRuntime().maxMemory() / HEAP_PER_BUFFERS);
        int connections = clientConnections + backendConnections;
        return new ResourceLimits(
                memory,
                clientConnections,
                Math.max(
                        ClientListener.MIN_WAITING,
                        sockets - backendConnections - clientConnections),
                backendConnections,
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
        return memory.maxConnections(listedBackends);
    }
}

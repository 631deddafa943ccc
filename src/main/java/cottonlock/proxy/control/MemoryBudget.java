package cottonlock.proxy.control;

/**
 * How the memory limit of a proxy is divided between its uses. What a use does not need is not left
 * to the others where it could not be taken back in time.
 *
 * @param limitBytes the memory limit of all processes of the proxy together
 * @param startBytes what a process takes when it starts
 * @param mayBeReplaced whether another process may begin to serve beside this one
 */
public record MemoryBudget(long limitBytes, long startBytes, boolean mayBeReplaced) {
    private static final long MEGABYTE = 1 << 20;

    /** The least that a process takes when it starts. */
    private static final long MIN_START_BYTES = 16 * MEGABYTE;

    /** By how much a process grows under load, without connections. */
    private static final long LOAD_BYTES = 9 * MEGABYTE;

    /** By how much a process grows soon after it has begun to serve, with few connections. */
    private static final long FIRST_CONNECTIONS_BYTES = 11 * MEGABYTE;

    /** What a connection takes: the stack of its thread, its buffers and its request. */
    public static final long BYTES_PER_CONNECTION = 128 << 10;

    /** So many connections are allowed however little memory there is. */
    static final int MIN_CONNECTIONS = 32;

    private static final int BACKENDS_IN_PROCESS_BYTES = 256;

    /** What each further backend takes: its entry, what is learned of it and its actor. */
    private static final long BYTES_PER_BACKEND = 3 << 10;

    /** The part of the limit that bodies may always use. */
    private static final int BODIES_DIVISOR = 16;

    /** The least that is left for what no use reckons with, such as memory not yet collected. */
    private static final long MIN_MARGIN_BYTES = MEGABYTE;

    private static final int MARGIN_DIVISOR = 32;

    /** The part of the limit that one process may take alone: what exceeds it has a price. */
    private static final int MAX_OWN_PERCENT = 90;

    private static final int PERCENT = 100;

    /**
     * A budget.
     *
     * @param startBytes what this process has taken until now, which a process that replaces it
     *     will take before this one notices it; 0 if unknown
     */
    public static MemoryBudget of(long limitBytes, long startBytes, boolean mayBeReplaced) {
        return new MemoryBudget(limitBytes, Math.max(MIN_START_BYTES, startBytes), mayBeReplaced);
    }

    /** What is kept free for a process that may replace this one, until it is noticed. */
    private long successorBytes() {
        return mayBeReplaced ? startBytes : 0;
    }

    /** What another process that has started takes soon. */
    long startedProcessBytes() {
        return startBytes + FIRST_CONNECTIONS_BYTES;
    }

    /** What bodies may use beside as many connections as there may be. */
    long bodyBytes() {
        return Math.max(MEGABYTE, limitBytes / BODIES_DIVISOR);
    }

    /** What is left for what no use reckons with. */
    long marginBytes() {
        return MIN_MARGIN_BYTES + limitBytes / MARGIN_DIVISOR;
    }

    /**
     * What this process may take beside others.
     *
     * @param othersBytes what other processes of the proxy take
     */
    long ownUsableBytes(long othersBytes) {
        long besideOthers = limitBytes - marginBytes() - Math.max(othersBytes, successorBytes());
        return Math.min(besideOthers, limitBytes / PERCENT * MAX_OWN_PERCENT);
    }

    /** What a process takes with a list of so many backends, without connections and bodies. */
    long processBytes(int backends) {
        long furtherBackends = Math.max(0, backends - BACKENDS_IN_PROCESS_BYTES);
        return startBytes + LOAD_BYTES + furtherBackends * BYTES_PER_BACKEND;
    }

    /** The connections, of clients and to backends, that there is memory for beside a list. */
    public int maxConnections(int backends) {
        long bytes = ownUsableBytes(0) - processBytes(backends) - bodyBytes();
        return (int) Math.max(MIN_CONNECTIONS, bytes / BYTES_PER_CONNECTION);
    }

    /**
     * The connections to backends: each may be relaying a response to a client, which can't be
     * given up when another process needs the memory of both connections.
     */
    public int maxBackendConnections() {
        long othersBytes = mayBeReplaced ? startedProcessBytes() : 0;
        long bytes = ownUsableBytes(othersBytes) - processBytes(0) - bodyBytes();
        return (int) Math.max(MIN_CONNECTIONS, bytes / BYTES_PER_CONNECTION / 2);
    }
}

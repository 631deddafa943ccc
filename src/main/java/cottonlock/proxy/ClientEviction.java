package cottonlock.proxy;

import cottonlock.proxy.io.RateLimitedLog;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;

/** Ends connections of clients that give way to others. Used by the listener's thread. */
final class ClientEviction {
    private final Set<ClientConnection> clients;
    private final ClientLimit limit;
    private final WorkerThreads workers;
    private final RateLimitedLog log;
    private final HeapRelease heapRelease;

    /** Requests that were refused while they were read, since their memory was needed. */
    private final LongAdder refusedForMemory = new LongAdder();

    /**
     * Evictions from a set of connections.
     *
     * @param clients the open connections, which others may change meanwhile
     */
    ClientEviction(
            Set<ClientConnection> clients,
            ClientLimit limit,
            WorkerThreads workers,
            RateLimitedLog log) {
        this.clients = clients;
        this.limit = limit;
        this.workers = workers;
        this.log = log;
        this.heapRelease = new HeapRelease(limit::releaseUnused);
    }

    /**
     * Evicts connections without an open request: idle ones before those that read a request; then
     * those that have never submitted a request before those that have, then those that have been
     * inactive longest. A client that sends part of a request and then nothing must not block
     * others, and many clients that only check the proxy's health must not displace those that send
     * requests, however long these are idle. Of those that wait for space for their bodies one is
     * evicted, and only if there is no other connection.
     *
     * @param count how many connections are to end, those included that have begun to
     * @return whether there is one that ends or has begun to end
     */
    boolean evict(int count) {
        List<EvictionCandidate> candidates = candidates();
        long othersThanAwaitingSpace =
                candidates.stream().filter(candidate -> !candidate.isAwaitingSpace()).count();
        long ending =
                candidates.stream()
                        .limit(Math.max(1, Math.min(count, othersThanAwaitingSpace)))
                        .filter(candidate -> candidate.client().evictUnlessActive())
                        .count();
        return ending > 0;
    }

    /** The connections without an open request, those first that are to be evicted first. */
    private List<EvictionCandidate> candidates() {
        return clients.stream()
                .filter(client -> !client.hasOpenRequest())
                .map(EvictionCandidate::of)
                .sorted()
                .toList();
    }

    /**
     * Ends connections where there are more than there is memory for at present, because those that
     * are open hold more than was expected, or another process of the proxy has started. Requests
     * that are being read are refused; those that are open are answered.
     */
    void giveMemoryBack() {
        boolean isShared = limit.isMemoryShared();
        workers.setMemoryShared(isShared);
        heapRelease.update(isShared);
        int excess = clients.size() - limit.maxOpenClients();
        if (excess <= 0) {
            return;
        }
        limit.makeRoom(excess);
        int ending = 0;
        for (EvictionCandidate candidate : candidates()) {
            if (ending >= excess) {
                break;
            }
            ending += endForMemory(candidate.client()) ? 1 : 0;
        }
        log.info(
                "memory given back",
                ending
                        + " connections end, of "
                        + clients.size()
                        + "; "
                        + excess
                        + " are too many");
    }

    private boolean endForMemory(ClientConnection client) {
        if (client.evictUnlessActive() || client.isCancelled()) {
            return true;
        }
        boolean isRefused = client.refuseRequestBeingRead();
        if (isRefused) {
            refusedForMemory.increment();
        }
        return isRefused;
    }

    /** What was done, as JSON fields, each preceded by a comma. */
    String metricsJson() {
        return ",\"requests_refused_for_memory\":" + refusedForMemory.sum();
    }
}

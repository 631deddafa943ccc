package cottonlock.proxy;

import cottonlock.proxy.control.MemoryAccount;
import cottonlock.proxy.control.SharedFile;
import cottonlock.proxy.control.SharedSpillLimit;
import cottonlock.proxy.http.BodySpillFiles;
import cottonlock.proxy.http.BufferPool;
import cottonlock.proxy.http.SpillSpace;
import cottonlock.proxy.io.RateLimitedLog;
import java.io.IOException;
import java.nio.file.Path;
import java.util.function.IntSupplier;

/** What a proxy holds for connections and bodies, and the account of it. */
final class MemoryResources implements ConnectionMemory {
    /** The longest wait for another process of this proxy to release memory, at the start. */
    private static final long MAX_START_DELAY_MILLIS = 2_500;

    private final MemoryAccount account;
    private final BufferPool buffers;
    private final SpillSpace spillSpace;
    private final BodySpillFiles spillFiles;

    /**
     * Creates the resources of a process.
     *
     * @param claims where the processes of the proxy tell each other what they claim
     * @param processMemory what the system says of the proxy's processes
     * @param connectionThreads how many threads of connections there are
     * @param listedBackends how many backends the list names; not called before they are known
     */
    MemoryResources(
            ResourceLimits limits,
            Path spillDirectory,
            SharedFile claims,
            MemoryAccount.OperatingSystem processMemory,
            IntSupplier connectionThreads,
            IntSupplier listedBackends,
            RateLimitedLog log)
            throws IOException {
        SharedSpillLimit spillLimit =
                new SharedSpillLimit(limits.memory().limitBytes(), claims, connectionThreads);
        // Before the listener is open: with few megabytes, the process that is replaced may hold a
        // long body that leaves no room for the requests of this one.
        spillLimit.awaitRoomForProcess(MAX_START_DELAY_MILLIS);
        spillSpace = new SpillSpace(spillLimit, limits.maxBodyFiles());
        spillFiles = new BodySpillFiles(spillDirectory, spillSpace);
        buffers =
                new BufferPool(
                        limits.maxBuffers(), limits.maxConnections(), this::hasRoomForBodies);
        account =
                new MemoryAccount(
                        limits.memory(),
                        uses(connectionThreads, listedBackends),
                        processMemory,
                        spillLimit::otherProcesses,
                        log);
        awaitRoomForProcess();
    }

    private void awaitRoomForProcess() throws IOException {
        try {
            account.awaitRoomForProcess(MAX_START_DELAY_MILLIS);
        } catch (InterruptedException e) {
            throw new IOException("interrupted while waiting for memory", e);
        }
    }

    private boolean hasRoomForBodies() {
        return account.hasRoomForBodies();
    }

    private MemoryAccount.Uses uses(IntSupplier connectionThreads, IntSupplier listedBackends) {
        return new MemoryAccount.Uses() {
            @Override
            public int connectionThreads() {
                return connectionThreads.getAsInt();
            }

            @Override
            public long bodyBufferBytes() {
                int ofConnections = Math.min(buffers.inUse(), connectionThreads.getAsInt());
                return (long) (buffers.inUse() - ofConnections) * BufferPool.SIZE;
            }

            @Override
            public long bodyFileBytes() {
                return spillSpace.allocatedBytes();
            }

            @Override
            public int listedBackends() {
                return listedBackends.getAsInt();
            }
        };
    }

    @Override
    public int maxConnections() {
        return account.maxConnections();
    }

    @Override
    public int maxOpenConnections() {
        return account.maxOpenConnections();
    }

    @Override
    public boolean isShared() {
        return account.isShared();
    }

    @Override
    public void releaseUnused() {
        buffers.releaseUnused();
    }

    /** The account as JSON fields, each preceded by a comma. */
    String metricsJson() {
        return account.metricsJson();
    }

    BufferPool buffers() {
        return buffers;
    }

    BodySpillFiles spillFiles() {
        return spillFiles;
    }

    /** The bytes of spill files that are allocated to bodies. */
    long spillBytes() {
        return spillSpace.allocatedBytes();
    }
}

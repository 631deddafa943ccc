package cottonlock.proxy.control;

import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import java.io.IOException;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Shows the ids that are open in one process of a proxy to its other processes, in a mapped file
 * for each process: a hash of each id, so that the file has a fixed size. A process owns its file
 * and holds a lock on it; the system releases the lock when the process ends, however it ends, and
 * from then on its ids don't count. Not thread-safe.
 *
 * <p>Both an adding and a looking-up process write before they read, so that of two processes that
 * add the same id at the same time at least one finds it; if both do, both refuse it.
 */
public final class SharedIdTable {
    /** The slot of an id that is not shown. */
    public static final int NO_SLOT = -1;

    /** What other processes there are is looked up again after this time. */
    private static final long REFRESH_NANOS = 50_000_000;

    /** For how long a new process waits until the others have surely found its file. */
    private static final long ANNOUNCE_MILLIS = 2 * REFRESH_NANOS / 1_000_000;

    private static final long EMPTY = 0;
    private static final String FILE_KIND = ".ids.";

    /** The file of another process. */
    private record OtherTable(FileChannel channel, LongBuffer hashes) {
        boolean contains(long hash) {
            for (int slot = 0; slot < hashes.limit(); slot++) {
                if (hashes.get(slot) == hash) {
                    return true;
                }
            }
            return false;
        }
    }

    private final Path directory;
    private final String filePrefix;
    private final Path ownFile;
    private final FileChannel ownChannel;
    private final LongBuffer ownHashes;
    private final int[] freeSlots;
    private int freeCount;
    private final RateLimitedLog log;
    private final Map<Path, OtherTable> others = new HashMap<>();
    private long refreshedAtNanos;

    /**
     * Creates the table of this process.
     *
     * @param directory the directory that the processes share
     * @param proxy the proxy's name, which all of its processes share
     * @param capacity how many ids are shown at most; others are not found by other processes
     */
    public SharedIdTable(Path directory, String proxy, int capacity, RateLimitedLog log)
            throws IOException {
        this.directory = directory;
        this.filePrefix = "cottonlock-" + proxy.replaceAll("[^A-Za-z0-9.-]", "_") + FILE_KIND;
        String suffix = ProcessHandle.current().pid() + "-" + Long.toHexString(System.nanoTime());
        this.ownFile = directory.resolve(filePrefix + suffix);
        this.log = log;
        // Under another name until it is locked: without a lock it counts as left behind.
        Path unlocked = directory.resolve("new-" + filePrefix + suffix);
        this.ownChannel =
                FileChannel.open(
                        unlocked,
                        StandardOpenOption.CREATE_NEW,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        this.freeSlots = new int[capacity];
        try {
            ownChannel.lock();
            // Written, not only reserved: a page for which there is no memory later would end the
            // process.
            ownChannel.write(ByteBuffer.allocate(capacity * Long.BYTES), 0);
            this.ownHashes = map(ownChannel, FileChannel.MapMode.READ_WRITE);
            Files.move(unlocked, ownFile, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            close();
            Files.deleteIfExists(unlocked);
            throw e;
        }
        for (int slot = capacity - 1; slot >= 0; slot--) {
            freeSlots[freeCount++] = slot;
        }
        refresh();
    }

    private static LongBuffer map(FileChannel channel, FileChannel.MapMode mode)
            throws IOException {
        return channel.map(mode, 0, channel.size()).order(ByteOrder.nativeOrder()).asLongBuffer();
    }

    /**
     * Waits until the other processes, if there are any, have found the file of this one. Called
     * before this process accepts requests.
     */
    public void awaitAnnounced() throws IOException {
        if (others.isEmpty()) {
            return;
        }
        try {
            Thread.sleep(ANNOUNCE_MILLIS);
        } catch (InterruptedException e) {
            throw new IOException("interrupted while other processes look this one up", e);
        }
    }

    /** Shows an id and returns its slot; {@link #NO_SLOT} if none is free. */
    public int add(String id) {
        if (freeCount == 0) {
            log.warn("open ids", "more requests are open than other processes can be shown");
            return NO_SLOT;
        }
        int slot = freeSlots[--freeCount];
        ownHashes.put(slot, hash(id));
        return slot;
    }

    /** Shows an id no longer. */
    public void remove(int slot) {
        if (slot != NO_SLOT) {
            ownHashes.put(slot, EMPTY);
            freeSlots[freeCount++] = slot;
        }
    }

    /** Whether another process, which runs, shows the id. */
    public boolean isInOtherProcess(String id) {
        VarHandle.fullFence();
        if (System.nanoTime() - refreshedAtNanos > REFRESH_NANOS) {
            refresh();
        }
        long hash = hash(id);
        for (Iterator<Map.Entry<Path, OtherTable>> tables = others.entrySet().iterator();
                tables.hasNext(); ) {
            Map.Entry<Path, OtherTable> other = tables.next();
            if (!other.getValue().contains(hash)) {
                continue;
            }
            if (isOwned(other.getValue().channel())) {
                return true;
            }
            forget(other.getKey(), other.getValue());
            tables.remove();
        }
        return false;
    }

    /** Looks up the files of other processes; those of processes that have ended are removed. */
    private void refresh() {
        refreshedAtNanos = System.nanoTime();
        others.entrySet().removeIf(other -> closeIfDeleted(other.getKey(), other.getValue()));
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory)) {
            for (Path file : files) {
                if (file.getFileName().toString().startsWith(filePrefix)
                        && !file.equals(ownFile)
                        && !others.containsKey(file)) {
                    open(file);
                }
            }
        } catch (IOException e) {
            log.warn("open ids", "the directory cannot be listed: " + e);
        }
    }

    private static boolean closeIfDeleted(Path file, OtherTable table) {
        boolean deleted = !Files.exists(file);
        if (deleted) {
            Sockets.close(table.channel());
        }
        return deleted;
    }

    private void open(Path file) {
        try {
            FileChannel channel =
                    FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
            OtherTable table = new OtherTable(channel, map(channel, FileChannel.MapMode.READ_ONLY));
            if (isOwned(channel)) {
                others.put(file, table);
            } else {
                forget(file, table);
            }
        } catch (IOException e) {
            log.warn("open ids", "the ids of another process cannot be read: " + e);
        }
    }

    /** Whether the process that a file belongs to runs: it holds the file's lock. */
    private static boolean isOwned(FileChannel channel) {
        try {
            return channel.tryLock() == null;
        } catch (OverlappingFileLockException e) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Removes the file of a process that has ended. */
    private static void forget(Path file, OtherTable table) {
        Sockets.close(table.channel());
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            // The next process tries again.
        }
    }

    /** Shows no id any more. */
    public void close() {
        others.values().forEach(other -> Sockets.close(other.channel()));
        others.clear();
        Sockets.close(ownChannel);
        try {
            Files.deleteIfExists(ownFile);
        } catch (IOException e) {
            // The next process removes it.
        }
    }

    /** A hash of an id by FNV-1a, with 64 bits: two ids of the same hash are never seen. */
    private static long hash(String id) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001b3L;
        }
        return hash == EMPTY ? 1 : hash;
    }
}

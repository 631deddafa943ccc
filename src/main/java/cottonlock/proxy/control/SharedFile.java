package cottonlock.proxy.control;

import cottonlock.proxy.io.RateLimitedLog;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.UnaryOperator;

/**
 * A small file that the processes of one proxy share: a header line with the format's version, then
 * data lines. It is always replaced atomically. A file that has another header or cannot be read
 * counts as empty and is replaced by the next change. Safe for use by any thread.
 */
public final class SharedFile {
    private static final Charset CHARSET = StandardCharsets.ISO_8859_1;

    /** A longer file was not written by this class. */
    private static final long MAX_BYTES = 256 << 10;

    /** After this time a change is made without the lock: the process that holds it may hang. */
    private static final long LOCK_TIMEOUT_MILLIS = 300;

    private static final long LOCK_RETRY_MILLIS = 5;

    /** Identifies one state of the file: each replacement changes it. */
    public record Revision(FileTime modifiedAt, String inode) {
        // The methods that a record gets by itself are linked at their first call, which costs
        // time at each start.
        @Override
        public boolean equals(Object other) {
            return other instanceof Revision that
                    && modifiedAt.equals(that.modifiedAt)
                    && inode.equals(that.inode);
        }

        @Override
        public int hashCode() {
            return Objects.hash(modifiedAt, inode);
        }
    }

    /** Null: nothing is stored or shared. */
    private final Path file;

    private final String header;
    private final RateLimitedLog log;

    /**
     * The file of one proxy for one purpose.
     *
     * @param folder the file's directory; null: nothing is stored or shared
     * @param proxy the proxy's name, which all of its processes share
     * @param purpose the file's extension and part of its header
     */
    public SharedFile(Path folder, String proxy, String purpose, RateLimitedLog log) {
        String name = "cottonlock-" + proxy.replaceAll("[^A-Za-z0-9.-]", "_") + "." + purpose;
        this.file = folder == null ? null : folder.resolve(name);
        this.header = "cottonlock " + purpose + " 1";
        this.log = log;
    }

    /** The file's current revision; null if there is no file. */
    public Revision revision() {
        try {
            if (file == null || !Files.exists(file)) {
                return null;
            }
            String inode = String.valueOf(Files.getAttribute(file, "unix:ino"));
            return new Revision(Files.getLastModifiedTime(file), inode);
        } catch (IOException | UnsupportedOperationException | IllegalArgumentException e) {
            return null;
        }
    }

    /** The lines after the header. */
    public List<String> read() {
        try {
            if (file != null && Files.isRegularFile(file) && Files.size(file) <= MAX_BYTES) {
                List<String> lines = Files.readAllLines(file, CHARSET);
                if (!lines.isEmpty() && lines.get(0).equals(header)) {
                    return lines.subList(1, lines.size());
                }
                log.warn("shared file", "ignored for its missing or unknown header: " + file);
            }
        } catch (IOException e) {
            log.warn("shared file", "cannot be read: " + e);
        }
        return List.of();
    }

    /**
     * Replaces the lines while holding a lock that excludes other processes.
     *
     * @param change computes the new lines from the current ones; called without the lock if it
     *     cannot be acquired
     * @return the new lines
     */
    public synchronized List<String> change(UnaryOperator<List<String>> change) {
        if (file == null) {
            return change.apply(List.of());
        }
        Path lockFile = file.resolveSibling(file.getFileName() + ".lock");
        try (FileChannel channel =
                FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            lockIfPossible(channel);
            return replace(change.apply(read()));
        } catch (IOException e) {
            log.warn("shared file", "cannot be locked: " + e);
            return replace(change.apply(read()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return change.apply(read());
        }
    }

    /** Tries to acquire the lock, which is released when the channel is closed. */
    private static void lockIfPossible(FileChannel channel)
            throws IOException, InterruptedException {
        FileLock lock = channel.tryLock();
        long waitedMillis = 0;
        while (lock == null && waitedMillis < LOCK_TIMEOUT_MILLIS) {
            Thread.sleep(LOCK_RETRY_MILLIS);
            waitedMillis += LOCK_RETRY_MILLIS;
            lock = channel.tryLock();
        }
    }

    private List<String> replace(List<String> lines) {
        try {
            List<String> content = new ArrayList<>(lines);
            content.add(0, header);
            // Written to a temporary file first: a process killed while writing must not leave a
            // truncated file.
            Path temporary =
                    file.resolveSibling(file.getFileName() + "." + ProcessHandle.current().pid());
            Files.write(temporary, content, CHARSET);
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            log.warn("shared file", "cannot be written: " + e);
        }
        return lines;
    }
}

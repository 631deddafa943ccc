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
import java.util.function.UnaryOperator;

/**
 * A small file of lines that the processes of one proxy share, behind a header with the format's
 * version. It is always replaced atomically. A file with another header, or one that cannot be
 * read, counts as empty and is replaced by the next change. Safe for use by any thread.
 */
public final class SharedFile {
    private static final Charset CHARSET = StandardCharsets.ISO_8859_1;

    /** A longer file was not written by this class. */
    private static final long MAX_BYTES = 256 << 10;

    /** A change is made without the lock after this time: another process may hang with it. */
    private static final long LOCK_TIMEOUT_MILLIS = 300;

    private static final long LOCK_RETRY_MILLIS = 5;

    /** Identifies one state of the file: each replacement has another one. */
    public record Revision(FileTime modifiedAt, String inode) {}

    /** Null: nothing is kept or shared. */
    private final Path file;

    private final String header;
    private final RateLimitedLog log;

    /**
     * The file of one proxy for one purpose.
     *
     * @param folder where it is; null: nothing is kept or shared
     * @param proxy the proxy's name, which all of its processes have in common
     * @param purpose the file's extension and part of its header
     */
    public SharedFile(Path folder, String proxy, String purpose, RateLimitedLog log) {
        String name = "cottonlock-" + proxy.replaceAll("[^A-Za-z0-9.-]", "_") + "." + purpose;
        this.file = folder == null ? null : folder.resolve(name);
        this.header = "cottonlock " + purpose + " 1";
        this.log = log;
    }

    /** The file's present state; null where there is no file. */
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

    /** The lines behind the header. */
    public List<String> read() {
        try {
            if (file != null && Files.isRegularFile(file) && Files.size(file) <= MAX_BYTES) {
                List<String> lines = Files.readAllLines(file, CHARSET);
                if (!lines.isEmpty() && lines.get(0).equals(header)) {
                    return lines.subList(1, lines.size());
                }
                log.warn("shared file", "not ours, passed over: " + file);
            }
        } catch (IOException e) {
            log.warn("shared file", "cannot be read: " + e);
        }
        return List.of();
    }

    /**
     * Replaces the lines, under a lock against other processes.
     *
     * @param change new lines by the present ones; may be called without the lock where it cannot
     *     be had
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

    /** The lock is released when the channel is closed. */
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
            // A process that dies in the middle of writing must not leave half a file.
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

package cottonlock.proxy.control;

import cottonlock.proxy.io.RateLimitedLog;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * A small file that the processes of one proxy share: lines behind a header with a version, always
 * replaced whole. One that holds anything else, or can't be read, counts as empty and is replaced
 * at the next change.
 */
public final class SharedFile {
    /** Bytes: some thousand lines; more is no file of ours. */
    private static final long LONGEST = 256 << 10;

    /**
     * Milliseconds that a change waits for another process's: far longer than one takes, unless it
     * hangs.
     */
    private static final long PATIENCE = 300;

    private final Path file;
    private final String header;
    private final RateLimitedLog log;

    /** In the folder, for the proxy of that name; folder null: nothing is kept or shared. */
    public SharedFile(Path folder, String proxy, String what, RateLimitedLog log) {
        this.file =
                folder == null
                        ? null
                        : folder.resolve(
                                "cottonlock-"
                                        + proxy.replaceAll("[^A-Za-z0-9.-]", "_")
                                        + "."
                                        + what);
        this.header = "cottonlock " + what + " 1";
        this.log = log;
    }

    /**
     * What changes with each replacement, to tell whether it is worth reading; null without a file.
     */
    public Object stamp() {
        try {
            return file == null || !Files.exists(file)
                    ? null
                    : Files.getLastModifiedTime(file) + " " + Files.getAttribute(file, "unix:ino");
        } catch (IOException | UnsupportedOperationException | IllegalArgumentException e) {
            return null;
        }
    }

    /** The lines behind the header. */
    public List<String> read() {
        try {
            if (file != null && Files.isRegularFile(file) && Files.size(file) <= LONGEST) {
                List<String> lines = Files.readAllLines(file, StandardCharsets.ISO_8859_1);
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

    /** Changes the lines under a lock against the proxy's other process; returns the new ones. */
    public synchronized List<String> change(UnaryOperator<List<String>> change) {
        if (file == null) {
            return change.apply(List.of());
        }
        Path lockFile = file.resolveSibling(file.getFileName() + ".lock");
        try (FileChannel channel =
                FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            FileLock lock = channel.tryLock();
            // A process that hangs with the lock in hand must not keep an operator from taking a
            // backend out.
            for (long waited = 0; lock == null && waited < PATIENCE; waited += 5) {
                Thread.sleep(5);
                lock = channel.tryLock();
            }
            return replace(change.apply(read()));
        } catch (IOException e) {
            log.warn("shared file", "cannot be locked: " + e);
            return replace(change.apply(read()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return change.apply(read());
        }
    }

    private List<String> replace(List<String> lines) {
        try {
            List<String> all = new ArrayList<>(lines);
            all.add(0, header);
            // A process that dies in the middle of writing must not leave half a file.
            Path half =
                    file.resolveSibling(file.getFileName() + "." + ProcessHandle.current().pid());
            Files.write(half, all, StandardCharsets.ISO_8859_1);
            Files.move(half, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            log.warn("shared file", "cannot be written: " + e);
        }
        return lines;
    }
}

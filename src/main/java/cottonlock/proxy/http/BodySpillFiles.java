package cottonlock.proxy.http;

import java.nio.file.Path;

/**
 * The spill files, which hold the parts of long bodies that do not fit into buffers. They take
 * their space from a {@link SpillSpace}. Thread-safe.
 */
public final class BodySpillFiles {
    private final Path folder;
    private final SpillSpace space;

    /** Files in that folder. */
    public BodySpillFiles(Path folder, SpillSpace space) {
        this.folder = folder;
        this.space = space;
    }

    /**
     * A file for a body, which takes space only when bytes are appended.
     *
     * @param maxBytes the length of the body, or the most that it may have
     * @param lengthKnown whether that is its length
     */
    SpillFile file(long maxBytes, boolean lengthKnown, SpillSpace.WaitPolicy waitPolicy) {
        return new SpillFile(folder, space.allocation(maxBytes, lengthKnown), waitPolicy);
    }
}

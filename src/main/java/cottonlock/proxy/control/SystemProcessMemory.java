package cottonlock.proxy.control;

import cottonlock.proxy.io.ProcessMemory;
import java.util.OptionalLong;

/** The memory of processes as Linux tells it. */
public final class SystemProcessMemory implements MemoryAccount.OperatingSystem {
    private final boolean runsAlone;

    /**
     * The memory of this process and of others.
     *
     * @param runsAlone whether this process runs nothing but the proxy, so that what it has is the
     *     proxy's
     */
    public SystemProcessMemory(boolean runsAlone) {
        this.runsAlone = runsAlone;
    }

    @Override
    public OptionalLong ownBytes() {
        return runsAlone ? ProcessMemory.ofOwnProcess() : OptionalLong.empty();
    }

    @Override
    public OptionalLong bytesOf(long processId) {
        return ProcessMemory.of(processId);
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }
}

package cottonlock.proxy.control;

import cottonlock.proxy.http.MessageBody;
import cottonlock.proxy.http.SpillSpace;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.IntSupplier;

/**
 * The space for spill files within the memory limit, which the processes of a proxy share with what
 * they need themselves. Each process may always use a small part of its own; it claims what exceeds
 * that in a shared file, where the claims of processes that have died do not count.
 *
 * <p>Called by one thread at a time, as {@link SpillSpace} does.
 */
public final class SharedSpillLimit implements SpillSpace.Limit {
    private static final long MEGABYTE = 1 << 20;

    /** The part of the memory limit, in percent, that may be planned for. */
    private static final int USABLE_MEMORY_PERCENT = 90;

    /** What a process needs under load, without its connections. */
    private static final long PROCESS_BYTES = 40 * MEGABYTE;

    /** What a thread with its connection, buffer and stack needs. */
    private static final long BYTES_PER_THREAD = 128 << 10;

    /** A process may use this part of the memory limit without a claim. */
    private static final int OWN_PART_DIVISOR = 16;

    /** Claims are multiples of this, so that they change rarely. */
    private static final long CLAIM_STEP_BYTES = 4 * MEGABYTE;

    /** What other processes claim is read again after this time. */
    private static final long REFRESH_NANOS = 20_000_000;

    private static final long ROOM_CHECK_MILLIS = 20;

    private static final OtherProcesses NO_OTHERS = new OtherProcesses(0, 0);

    private final long memoryBytes;
    private final long ownPartBytes;
    private final IntSupplier threadCount;
    private final SharedFile file;
    private final String ownIdentity = ProcessIdentity.own();
    private long claimedBytes;
    private OtherProcesses others = NO_OTHERS;
    private long refreshedAtNanos = System.nanoTime();

    /** The file's lines that {@link #otherProcesses} has last read, and when they were written. */
    private List<Claim> readClaims = List.of();

    private SharedFile.Revision readRevision;

    /** What the other processes of the proxy that are alive claim. */
    private record OtherProcesses(int count, long claimedBytes) {}

    /** One line of the file: a process and the bytes that it claims. */
    private record Claim(String identity, long bytes) {
        static Claim parse(String line) {
            int end = line.lastIndexOf(' ');
            String bytes = line.substring(end + 1);
            return end < 0 || !Decimals.isUnsigned(bytes)
                    ? new Claim("", 0)
                    : new Claim(line.substring(0, end), Long.parseLong(bytes));
        }

        String line() {
            return identity + " " + bytes;
        }

        MemoryAccount.OtherProcess process() {
            return new MemoryAccount.OtherProcess(ProcessIdentity.idOf(identity), bytes);
        }
    }

    /**
     * The limit of a process, which is entered into the file.
     *
     * @param memoryBytes the memory limit of all processes together
     * @param file the file that they share, if another process may run beside this one
     * @param threadCount the number of threads of connections that the process has at present
     */
    public SharedSpillLimit(long memoryBytes, SharedFile file, IntSupplier threadCount) {
        this.memoryBytes = memoryBytes;
        this.ownPartBytes = Math.max(MEGABYTE, memoryBytes / OWN_PART_DIVISOR);
        this.file = file;
        this.threadCount = threadCount;
        tryClaim(0);
    }

    /**
     * Waits until the claims of the other processes leave room for this one, for a limited time.
     * They get no further space meanwhile. Called before this process needs memory for requests.
     */
    public void awaitRoomForProcess(long maxMillis) throws IOException {
        long waitedMillis = 0;
        try {
            while (others.claimedBytes() > Math.max(0, plannedBytes(1 + others.count(), 0))
                    && waitedMillis < maxMillis) {
                Thread.sleep(ROOM_CHECK_MILLIS);
                waitedMillis += ROOM_CHECK_MILLIS;
                others = totalOf(claimsOfOthers(file.read()));
            }
        } catch (InterruptedException e) {
            throw new IOException("interrupted while waiting for memory", e);
        }
    }

    @Override
    public boolean tryUse(long totalBytes) {
        long excess = Math.max(0, totalBytes - ownPartBytes);
        boolean mostIsNeeded = excess > claimedBytes / 2 || claimedBytes == 0;
        if (excess <= claimedBytes && mostIsNeeded) {
            return true;
        }
        long claimableBytes = usableBytes() - ownPartBytes;
        if (excess > claimableBytes) {
            return false;
        }
        long steps = (excess + CLAIM_STEP_BYTES - 1) / CLAIM_STEP_BYTES;
        return tryClaim(Math.min(claimableBytes, steps * CLAIM_STEP_BYTES));
    }

    private boolean tryClaim(long bytes) {
        boolean[] granted = {false};
        file.change(
                lines -> {
                    List<Claim> otherClaims = claimsOfOthers(lines);
                    others = totalOf(otherClaims);
                    refreshedAtNanos = System.nanoTime();
                    granted[0] = bytes <= Math.max(claimedBytes, claimableBytes());
                    claimedBytes = granted[0] ? bytes : claimedBytes;
                    List<String> newLines = new ArrayList<>();
                    otherClaims.forEach(claim -> newLines.add(claim.line()));
                    newLines.add(new Claim(ownIdentity, claimedBytes).line());
                    return newLines;
                });
        return granted[0];
    }

    /**
     * The other processes of the proxy that are alive. May be called beside the other methods, by
     * one thread at a time.
     */
    public List<MemoryAccount.OtherProcess> otherProcesses() {
        SharedFile.Revision revision = file.revision();
        if (!Objects.equals(revision, readRevision)) {
            readClaims = claims(file.read());
            readRevision = revision;
        }
        return readClaims.stream().filter(this::isOfLivingOther).map(Claim::process).toList();
    }

    private static List<Claim> claims(List<String> lines) {
        return lines.stream().map(Claim::parse).toList();
    }

    private boolean isOfLivingOther(Claim claim) {
        return !claim.identity().equals(ownIdentity) && ProcessIdentity.isAlive(claim.identity());
    }

    private List<Claim> claimsOfOthers(List<String> lines) {
        return claims(lines).stream().filter(this::isOfLivingOther).toList();
    }

    private static OtherProcesses totalOf(List<Claim> claims) {
        return new OtherProcesses(claims.size(), claims.stream().mapToLong(Claim::bytes).sum());
    }

    @Override
    public long usableBytes() {
        if (System.nanoTime() - refreshedAtNanos > REFRESH_NANOS) {
            others = totalOf(claimsOfOthers(file.read()));
            refreshedAtNanos = System.nanoTime();
        }
        return ownPartBytes + Math.max(claimedBytes, claimableBytes());
    }

    @Override
    public long maxBytes() {
        return ownPartBytes + claimableBytesBeside(NO_OTHERS, threadCount.getAsInt());
    }

    @Override
    public long maxBytesWhenIdle() {
        return ownPartBytes + claimableBytesBeside(NO_OTHERS, 0);
    }

    private long claimableBytes() {
        return claimableBytesBeside(others, threadCount.getAsInt());
    }

    /**
     * What this process may claim beside others. It leaves room for a process that may replace it,
     * or for as much in further connections, but not at the cost of the one long body that fits.
     */
    private long claimableBytesBeside(OtherProcesses otherProcesses, int threads) {
        long beside =
                plannedBytes(1 + otherProcesses.count(), threads) - otherProcesses.claimedBytes();
        if (otherProcesses.count() > 0) {
            return Math.max(0, beside);
        }
        long longestBody = MessageBody.MAX_REQUEST_BYTES - ownPartBytes;
        return Math.max(0, Math.max(plannedBytes(2, threads), Math.min(beside, longestBody)));
    }

    /** What so many processes, of which this one has so many threads, leave for claims. */
    private long plannedBytes(int processes, int threads) {
        return memoryBytes / 100 * USABLE_MEMORY_PERCENT
                - processes * (PROCESS_BYTES + ownPartBytes)
                - threads * BYTES_PER_THREAD;
    }
}

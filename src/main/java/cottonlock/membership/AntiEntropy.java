package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.membership.Message.Kind;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Repairs views that differ. Each datagram carries a digest of its sender's view. If a member's
 * digest has differed from this one for a while, this process sends it one digest for each
 * partition of the member names. The member answers with pages of the partitions that differ, and
 * this process answers the pages with the updates that are newer here. Confined to the thread of
 * its {@link Membership}.
 */
@Deterministic
final class AntiEntropy {
    /** Maximum pages sent for one request; the rest of a large view takes further requests. */
    private static final int MAX_PAGES = 4;

    /** Minimum new updates between two exchanges with which the pause is reset to one period. */
    private static final int MIN_PRODUCTIVE_UPDATES = 2;

    private static final int MAX_PAUSE_PERIODS = 8;

    /** Desired number of members in a partition, about as many as fit into a datagram. */
    private static final int PARTITION_MEMBERS = 8;

    /** Bytes of one partition's digest. */
    private static final int DIGEST_BYTES = 4;

    /** An exchange starts only with a member heard within this number of periods. */
    private static final int HEARD_WITHIN_PERIODS = 4;

    /** Periods until the next check while no view differs. */
    private static final int IDLE_CHECK_PERIODS = 4;

    private final MembershipProtocolConfig config;
    private final ProtocolVariants variants;
    private final MemberTable table;
    private final ProbeSchedule schedule;
    private final DatagramSender sender;
    private final MembershipMetrics metrics;
    private final SplittableRandom random;
    private long dueAtTicks = MemberRecord.NEVER;
    private long lastExchangeAtTicks = MemberRecord.NEVER;

    /** Pause between two exchanges, in periods. */
    private int pausePeriods = 1;

    /** New updates received in pages and update messages since the last exchange started. */
    private int newUpdatesReceived;

    AntiEntropy(MembershipContext context) {
        this.config = context.config();
        this.variants = context.variants();
        this.table = context.table();
        this.schedule = context.schedule();
        this.sender = context.sender();
        this.metrics = context.metrics();
        this.random = context.random();
    }

    /** When {@link #timerFired} is due. */
    long dueAtTicks() {
        return dueAtTicks;
    }

    private boolean isJoining() {
        return table.self().state() == MemberState.JOINING;
    }

    private long pauseTicks() {
        return isJoining() ? config.periodTicks() / 4 : pausePeriods * config.periodTicks();
    }

    /**
     * How long a view must have differed before an exchange: piggybacked updates may repair it
     * meanwhile. A joining process does not wait.
     */
    private long settleTicks() {
        return isJoining() ? 0 : config.periodTicks();
    }

    /** Counts updates of a page or of an update message that were new here. */
    void countNewUpdates(int count) {
        newUpdatesReceived += count;
    }

    /** Compares a member's digest with this view's digest; returns whether they are equal. */
    boolean compareDigest(long nowTicks, MemberRecord member, long digest) {
        if (digest == table.digest()) {
            table.setDivergedSince(member, MemberRecord.NEVER);
            return true;
        }
        if (member.divergedSinceTicks == MemberRecord.NEVER) {
            pausePeriods = table.divergingCount() == 0 ? 1 : pausePeriods;
            table.setDivergedSince(member, nowTicks);
            long earliest = Math.max(nowTicks, lastExchangeAtTicks + pauseTicks());
            dueAtTicks = Math.min(dueAtTicks, earliest + settleTicks());
        }
        return false;
    }

    /** Starts an exchange with a member whose view has differed for long enough. */
    void timerFired(long nowTicks) {
        dueAtTicks = nowTicks + pauseTicks();
        List<MemberRecord> diverging =
                schedule.sample(
                        1, table.divergingCount() > 0, member -> canExchange(nowTicks, member));
        if (diverging.isEmpty() || !variants.repairsDivergence()) {
            dueAtTicks =
                    nowTicks
                            + (table.divergingCount() > 0
                                    ? pauseTicks()
                                    : IDLE_CHECK_PERIODS * config.periodTicks());
            return;
        }
        // Under permanent churn views never become equal, and exchanges bring few new updates.
        pausePeriods =
                newUpdatesReceived >= MIN_PRODUCTIVE_UPDATES
                        ? 1
                        : Math.min(MAX_PAUSE_PERIODS, 2 * pausePeriods);
        newUpdatesReceived = 0;
        dueAtTicks = nowTicks + pauseTicks();
        lastExchangeAtTicks = nowTicks;
        metrics.increment(MembershipMetric.EXCHANGES);
        startExchange(nowTicks, diverging.get(0));
    }

    private boolean canExchange(long nowTicks, MemberRecord member) {
        return member.diverges()
                && nowTicks - member.divergedSinceTicks >= settleTicks()
                && nowTicks - member.heardAtTicks < HEARD_WITHIN_PERIODS * config.periodTicks();
    }

    private void startExchange(long nowTicks, MemberRecord member) {
        int wantedPartitions = Math.max(1, (table.liveCount() + 1) / PARTITION_MEMBERS);
        int partitions =
                Math.min(DatagramCodec.MAX_PARTITIONS, Integer.highestOneBit(wantedPartitions));
        while (DIGEST_BYTES * partitions > sender.freeBytes(Kind.PARTITION_DIGESTS)) {
            partitions /= 2;
        }
        if (partitions == 1) {
            sendPages(nowTicks, member, 1, 0, MAX_PAGES);
        } else {
            Message message = sender.newMessage(Kind.PARTITION_DIGESTS);
            message.partitionDigests = table.partitionDigests(partitions);
            sender.sendLowPriority(nowTicks, member.update.address(), sender.writerFor(message));
        }
    }

    /**
     * Answers a member's partition digests with pages of the partitions that differ.
     *
     * @param firstPartition the partition at which the comparison starts
     */
    void digestsReceived(long nowTicks, Message message, MemberRecord member, int firstPartition) {
        int[] own = table.partitionDigests(message.partitionDigests.length);
        int pagesLeft = MAX_PAGES;
        for (int i = 0; i < own.length && pagesLeft > 0; i++) {
            int partition = Math.floorMod(firstPartition + i, own.length);
            if (own[partition] != message.partitionDigests[partition]) {
                pagesLeft -= sendPages(nowTicks, member, own.length, partition, pagesLeft);
            }
        }
    }

    /**
     * Sends the updates of one partition in one or more pages.
     *
     * @return the number of pages sent; {@code maxPages} if not all were sent
     */
    private int sendPages(
            long nowTicks, MemberRecord receiver, int partitions, int partition, int maxPages) {
        List<MemberUpdate> updates = table.liveUpdates(partitions, partition);
        int first = startIndex(partitions, updates.size());
        String afterName = first == 0 ? "" : updates.get(first - 1).name();
        int next = first;
        int end = updates.size();
        int sent = 0;
        while (sent < maxPages) {
            DatagramWriter out = startPage(partitions, partition, afterName);
            while (next < end && out.addUpdate(updates.get(next))) {
                afterName = updates.get(next++).name();
            }
            if (next == updates.size()) {
                out.markLastPage();
            }
            if (!sender.sendLowPriority(nowTicks, receiver.update.address(), out)) {
                break;
            }
            sent++;
            if (next == end && (first == 0 || end == first)) {
                return sent;
            }
            if (next == end) {
                // Continues with the names before the one at which it started.
                next = 0;
                end = first;
                afterName = "";
            }
        }
        return maxPages;
    }

    /**
     * Index of the update at which the pages of a partition start. A long partition starts at a
     * random name: if not all of its pages can be sent at once, its last names would otherwise
     * never be sent.
     */
    private int startIndex(int partitions, int size) {
        boolean startsAtRandomName =
                partitions == DatagramCodec.MAX_PARTITIONS
                        && size > PARTITION_MEMBERS
                        && variants.startsPagesAtRandomName();
        return startsAtRandomName ? random.nextInt(size) : 0;
    }

    private DatagramWriter startPage(int partitions, int partition, String afterName) {
        Message message = sender.newMessage(Kind.PARTITION_PAGE);
        message.partitions = partitions;
        message.partition = partition;
        message.afterName = afterName;
        return sender.writerFor(message);
    }

    /**
     * Answers a page, whose updates are already merged, with the updates that are newer here or
     * missing in the page.
     */
    void pageReceived(long nowTicks, Message page, MemberRecord member) {
        List<MemberUpdate> newer = newerThan(page, member);
        int next = 0;
        for (int sent = 0; next < newer.size() && sent < MAX_PAGES; sent++) {
            DatagramWriter out = sender.writerFor(sender.newMessage(Kind.UPDATES));
            while (next < newer.size() && out.addUpdate(newer.get(next))) {
                next++;
            }
            if (!sender.sendLowPriority(nowTicks, member.update.address(), out)) {
                return;
            }
        }
    }

    private List<MemberUpdate> newerThan(Message page, MemberRecord pageSender) {
        TreeMap<String, MemberUpdate> received = new TreeMap<>();
        page.updates.forEach(update -> received.put(update.name(), update));
        String last = page.lastPage || received.isEmpty() ? null : received.lastKey();
        List<MemberUpdate> newer = new ArrayList<>();
        for (MemberRecord member :
                table.membersBetween(page.partitions, page.partition, page.afterName, last)) {
            MemberUpdate other = received.get(member.update.name());
            boolean isNewer = other == null ? member.isLive() : member.update.supersedes(other);
            if (member != pageSender && isNewer) {
                newer.add(member.update);
            }
        }
        return newer;
    }
}

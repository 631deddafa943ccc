package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.membership.Message.Kind;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Mends views that differ: in short first, part by part of the names; then page by page, each way.
 */
@Deterministic
final class AntiEntropy {
    /**
     * Pages sent at one request, so that a large view takes several requests, and several givers.
     */
    private static final int PAGES = 4;

    /**
     * Words of news for which it is worth to go on without a longer rest; the longest one, in
     * periods.
     */
    private static final int WORTH = 2;

    private static final int LONGEST_REST = 8;

    /** Members of one part of the names, about: what a datagram holds. */
    private static final int PART = 8;

    private final MembershipProtocolConfig rules;
    private final MemberTable table;
    private final ProbeSchedule ring;
    private final DatagramSender post;
    private final long[] counts;
    private final ProtocolVariants habits;
    private final SplittableRandom random;
    private long at = MemberRecord.NEVER;
    private long last = MemberRecord.NEVER;

    /** Between two exchanges, in periods; and what the last one has brought. */
    private int rest = 1;

    private int brought;

    AntiEntropy(
            MembershipProtocolConfig rules,
            MemberTable table,
            ProbeSchedule ring,
            DatagramSender post,
            long[] counts,
            ProtocolVariants habits,
            SplittableRandom random) {
        this.rules = rules;
        this.table = table;
        this.ring = ring;
        this.post = post;
        this.counts = counts;
        this.habits = habits;
        this.random = random;
    }

    /** When it wants to be called. */
    long dueAtTicks() {
        return at;
    }

    private boolean joining() {
        return table.self().state() == MemberState.JOINING;
    }

    private long pause() {
        return joining() ? rules.periodTicks() / 4 : rest * rules.periodTicks();
    }

    /** So many words that a page held were news here. */
    void countNewUpdates(int news) {
        brought += news;
    }

    /** Changes that ride on probes are given so long before views are compared part by part. */
    private long settle() {
        return joining() ? 0 : rules.periodTicks();
    }

    /** A member's digest has come; returns whether it is this one's. */
    boolean compareDigest(long now, MemberRecord k, long digest) {
        if (digest == table.digest()) {
            table.setDivergedSince(k, MemberRecord.NEVER);
            return true;
        }
        if (k.divergedSinceTicks == MemberRecord.NEVER) {
            rest = table.divergingCount() == 0 ? 1 : rest;
            table.setDivergedSince(k, now);
            at = Math.min(at, Math.max(now, last + pause()) + settle());
        }
        return false;
    }

    /** Begins with one of those whose view has differed for long enough. */
    void timerFired(long now) {
        at = now + pause();
        List<MemberRecord> differing =
                ring.sample(
                        1,
                        table.divergingCount() > 0,
                        k ->
                                k.diverges()
                                        && now - k.divergedSinceTicks >= settle()
                                        && now - k.heardAtTicks < 4 * rules.periodTicks());
        if (differing.isEmpty() || !habits.repairsDivergence()) {
            at = now + (table.divergingCount() > 0 ? pause() : 4 * rules.periodTicks());
            return;
        }
        // Where changes never end, views never are alike, and an exchange brings next to nothing.
        rest = brought >= WORTH ? 1 : Math.min(LONGEST_REST, 2 * rest);
        brought = 0;
        at = now + pause();
        last = now;
        counts[MembershipMetric.EXCHANGES.ordinal()]++;
        MemberRecord k = differing.get(0);
        int wanted = Math.max(1, (table.liveCount() + 1) / PART);
        int parts = Math.min(DatagramCodec.MAX_PARTITIONS, Integer.highestOneBit(wanted));
        while (4 * parts > post.freeBytes(Kind.PARTITION_DIGESTS)) {
            parts /= 2;
        }
        if (parts == 1) {
            page(now, k, 1, 0, PAGES);
        } else {
            Message m = post.newMessage(Kind.PARTITION_DIGESTS);
            m.partitionDigests = table.partitionDigests(parts);
            post.send(
                    now,
                    k.update.address(),
                    post.writerFor(m),
                    DatagramSender.LOW_PRIORITY_RESERVE);
        }
    }

    /** Another's view in short: sends pages of the parts that differ, from a random one on. */
    void digestsReceived(long now, Message m, MemberRecord k, int from) {
        int[] mine = table.partitionDigests(m.partitionDigests.length);
        int left = PAGES;
        for (int i = 0; i < mine.length && left > 0; i++) {
            int part = Math.floorMod(from + i, mine.length);
            if (mine[part] != m.partitionDigests[part]) {
                left -= page(now, k, mine.length, part, left);
            }
        }
    }

    /**
     * Sends the words of one part of the names, in several pages if need be; returns how many it
     * sent.
     */
    private int page(long now, MemberRecord to, int parts, int part, int most) {
        List<MemberUpdate> words = table.liveUpdates(parts, part);
        // Where parts can't get finer they grow beyond what the allowance holds at once, two pages:
        // begun at
        // the first name each time, the rest would never come.
        boolean anywhere =
                parts == DatagramCodec.MAX_PARTITIONS
                        && words.size() > PART
                        && habits.startsPagesAtRandomName();
        int first = anywhere ? random.nextInt(words.size()) : 0;
        String after = first == 0 ? "" : words.get(first - 1).name();
        int next = first;
        int end = words.size();
        for (int sent = 0; sent < most; ) {
            Message m = post.newMessage(Kind.PARTITION_PAGE);
            m.partitions = parts;
            m.partition = part;
            m.afterName = after;
            DatagramCodec.Writer out = post.writerFor(m);
            while (next < end && out.addUpdate(words.get(next))) {
                after = words.get(next++).name();
            }
            if (next == words.size()) {
                out.markLastPage();
            }
            if (!post.send(now, to.update.address(), out, DatagramSender.LOW_PRIORITY_RESERVE)) {
                break;
            }
            sent++;
            if (next == end && (first == 0 || end == first)) {
                return sent;
            }
            if (next == end) {
                // What lies before the place begun at.
                next = 0;
                end = first;
                after = "";
            }
        }
        return most;
    }

    /** A page has been taken: its sender is told what is newer here, or lacking there. */
    void pageReceived(long now, Message m, MemberRecord k) {
        TreeMap<String, MemberUpdate> theirs = new TreeMap<>();
        m.updates.forEach(w -> theirs.put(w.name(), w));
        String last = m.lastPage || theirs.isEmpty() ? null : theirs.lastKey();
        List<MemberUpdate> news = new ArrayList<>();
        for (MemberRecord mine :
                table.membersBetween(m.partitions, m.partition, m.afterName, last)) {
            MemberUpdate their = theirs.get(mine.update.name());
            if (mine != k
                    && (their == null
                            ? mine.update.state().isLive()
                            : mine.update.supersedes(their))) {
                news.add(mine.update);
            }
        }
        int next = 0;
        for (int sent = 0; next < news.size() && sent < PAGES; sent++) {
            DatagramCodec.Writer out = post.writerFor(post.newMessage(Kind.UPDATES));
            while (next < news.size() && out.addUpdate(news.get(next))) {
                next++;
            }
            if (!post.send(now, k.update.address(), out, DatagramSender.LOW_PRIORITY_RESERVE)) {
                return;
            }
        }
    }
}

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
    long at() {
        return at;
    }

    private boolean joining() {
        return table.me().state() == MemberState.JOINING;
    }

    private long pause() {
        return joining() ? rules.period() / 4 : rest * rules.period();
    }

    /** So many words that a page held were news here. */
    void brought(int news) {
        brought += news;
    }

    /** Changes that ride on probes are given so long before views are compared part by part. */
    private long settle() {
        return joining() ? 0 : rules.period();
    }

    /** A member's digest has come; returns whether it is this one's. */
    boolean compare(long now, MemberRecord k, long digest) {
        if (digest == table.digest()) {
            table.differs(k, MemberRecord.NEVER);
            return true;
        }
        if (k.differsSince == MemberRecord.NEVER) {
            rest = table.differing() == 0 ? 1 : rest;
            table.differs(k, now);
            at = Math.min(at, Math.max(now, last + pause()) + settle());
        }
        return false;
    }

    /** Begins with one of those whose view has differed for long enough. */
    void wake(long now) {
        at = now + pause();
        List<MemberRecord> differing =
                ring.some(
                        1,
                        table.differing() > 0,
                        k ->
                                k.differs()
                                        && now - k.differsSince >= settle()
                                        && now - k.heardAt < 4 * rules.period());
        if (differing.isEmpty() || !habits.mends()) {
            at = now + (table.differing() > 0 ? pause() : 4 * rules.period());
            return;
        }
        // Where changes never end, views never are alike, and an exchange brings next to nothing.
        rest = brought >= WORTH ? 1 : Math.min(LONGEST_REST, 2 * rest);
        brought = 0;
        at = now + pause();
        last = now;
        counts[MembershipMetric.EXCHANGES.ordinal()]++;
        MemberRecord k = differing.get(0);
        int wanted = Math.max(1, (table.alive() + 1) / PART);
        int parts = Math.min(DatagramCodec.MOST_PARTS, Integer.highestOneBit(wanted));
        while (4 * parts > post.room(Kind.MARKS)) {
            parts /= 2;
        }
        if (parts == 1) {
            page(now, k, 1, 0, PAGES);
        } else {
            Message m = post.message(Kind.MARKS);
            m.marks = table.marks(parts);
            post.send(now, k.word.address(), post.begin(m), DatagramSender.SPARE);
        }
    }

    /** Another's view in short: sends pages of the parts that differ, from a random one on. */
    void marks(long now, Message m, MemberRecord k, int from) {
        int[] mine = table.marks(m.marks.length);
        int left = PAGES;
        for (int i = 0; i < mine.length && left > 0; i++) {
            int part = Math.floorMod(from + i, mine.length);
            if (mine[part] != m.marks[part]) {
                left -= page(now, k, mine.length, part, left);
            }
        }
    }

    /**
     * Sends the words of one part of the names, in several pages if need be; returns how many it
     * sent.
     */
    private int page(long now, MemberRecord to, int parts, int part, int most) {
        List<MemberUpdate> words = table.words(parts, part);
        // Where parts can't get finer they grow beyond what the allowance holds at once, two pages:
        // begun at
        // the first name each time, the rest would never come.
        boolean anywhere =
                parts == DatagramCodec.MOST_PARTS && words.size() > PART && habits.beginsAnywhere();
        int first = anywhere ? random.nextInt(words.size()) : 0;
        String after = first == 0 ? "" : words.get(first - 1).name();
        int next = first;
        int end = words.size();
        for (int sent = 0; sent < most; ) {
            Message m = post.message(Kind.PAGE);
            m.parts = parts;
            m.part = part;
            m.after = after;
            DatagramCodec.Writer out = post.begin(m);
            while (next < end && out.word(words.get(next))) {
                after = words.get(next++).name();
            }
            if (next == words.size()) {
                out.end();
            }
            if (!post.send(now, to.word.address(), out, DatagramSender.SPARE)) {
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
    void correct(long now, Message m, MemberRecord k) {
        TreeMap<String, MemberUpdate> theirs = new TreeMap<>();
        m.words.forEach(w -> theirs.put(w.name(), w));
        String last = m.end || theirs.isEmpty() ? null : theirs.lastKey();
        List<MemberUpdate> news = new ArrayList<>();
        for (MemberRecord mine : table.between(m.parts, m.part, m.after, last)) {
            MemberUpdate their = theirs.get(mine.word.name());
            if (mine != k
                    && (their == null ? mine.word.state().lives() : mine.word.outweighs(their))) {
                news.add(mine.word);
            }
        }
        int next = 0;
        for (int sent = 0; next < news.size() && sent < PAGES; sent++) {
            DatagramCodec.Writer out = post.begin(post.message(Kind.WORDS));
            while (next < news.size() && out.word(news.get(next))) {
                next++;
            }
            if (!post.send(now, k.word.address(), out, DatagramSender.SPARE)) {
                return;
            }
        }
    }
}

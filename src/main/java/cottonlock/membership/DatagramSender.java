package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.membership.Message.Kind;
import cottonlock.setup.MembershipProtocolConfig;

/** Writes and sends datagrams within the allowance, and has changes ride on them. */
@Deterministic
final class DatagramSender {
    /**
     * Part of the allowance that must be left beside what is less urgent than a probe or its
     * answer.
     */
    static final double SPARE = 0.4;

    private final MembershipProtocolConfig rules;
    private final MemberTable table;
    private final Membership.Outlet outlet;
    private final long[] counts;
    private final ProtocolVariants habits;
    private final int tag;
    private final BandwidthLimit allowance;
    private final UpdateBroadcastQueue repeats;
    private long counter;
    private int sequence;

    /** Hundredths of a second for which the module has stood still. */
    private int lag;

    /** Tag: bytes of each datagram that stay free. */
    DatagramSender(
            MembershipProtocolConfig rules,
            MemberTable table,
            Membership.Outlet outlet,
            long[] counts,
            int tag,
            ProtocolVariants habits) {
        this.rules = rules;
        this.table = table;
        this.outlet = outlet;
        this.counts = counts;
        this.habits = habits;
        this.tag = tag;
        this.allowance = new BandwidthLimit(rules.bytes());
        this.repeats = new UpdateBroadcastQueue(rules.most());
    }

    /** A change to be told on. */
    void repeat(MemberUpdate w) {
        repeats.add(w);
    }

    /** How many changes are being told. */
    int repeating() {
        return repeats.size();
    }

    /** How often a change is told. */
    int times() {
        return habits.times(
                (int) Math.ceil(rules.repeats() * Math.log(table.alive() + 2) / Math.log(2)));
    }

    /** Another life of this process begins: its datagrams count anew. */
    void startAnew() {
        counter = 0;
    }

    void lag(long tenths) {
        lag = (int) Math.min(0xffff, tenths / 100);
    }

    /** A number that an answer is known by. */
    int next() {
        return ++sequence;
    }

    Message message(Kind kind) {
        return new Message(kind, table.me(), ++counter & 0xffff_ffffL, table.digest(), lag);
    }

    Message message(Kind kind, int seq) {
        Message m = message(kind);
        m.seq = seq;
        return m;
    }

    DatagramCodec.Writer begin(Message m) {
        return DatagramCodec.begin(m, DatagramCodec.LONGEST - tag);
    }

    /** What a message of that kind leaves for more. */
    int room(Kind kind) {
        return DatagramCodec.LONGEST - tag - begin(message(kind)).size();
    }

    /** Sends an urgent message to a member with what there is to tell. */
    boolean send(long now, MemberRecord to, Message m) {
        return send(now, to.word.address(), to, m, 0);
    }

    /**
     * The same; to null where nobody is known there yet. First what is held of it, if it is not
     * well.
     */
    boolean send(long now, String address, MemberRecord to, Message m, double rest) {
        DatagramCodec.Writer out = begin(m);
        if (to != null && to.accused()) {
            out.word(to.word);
        }
        if (allowance.has(now, DatagramCodec.LONGEST, SPARE)) {
            repeats.fill(out, times(), to == null ? "" : to.word.name());
        }
        return send(now, address, out, rest);
    }

    /** Sends what was written, if that part of the allowance is left then. */
    boolean send(long now, String address, DatagramCodec.Writer out, double rest) {
        boolean may = allowance.has(now, out.size() + tag, rest);
        counts[(may ? MembershipMetric.SENT : MembershipMetric.HELD).ordinal()]++;
        if (may) {
            allowance.take(now, out.size() + tag);
            outlet.send(address, out.done());
        }
        return may;
    }
}

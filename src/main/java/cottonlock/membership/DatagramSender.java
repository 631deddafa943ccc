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
    static final double LOW_PRIORITY_RESERVE = 0.4;

    private final MembershipProtocolConfig rules;
    private final MemberTable table;
    private final MembershipActions outlet;
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
            MembershipActions outlet,
            long[] counts,
            int tag,
            ProtocolVariants habits) {
        this.rules = rules;
        this.table = table;
        this.outlet = outlet;
        this.counts = counts;
        this.habits = habits;
        this.tag = tag;
        this.allowance = new BandwidthLimit(rules.maxBytesPerSecond());
        this.repeats = new UpdateBroadcastQueue(rules.maxMembers());
    }

    /** A change to be told on. */
    void broadcast(MemberUpdate w) {
        repeats.add(w);
    }

    /** How many changes are being told. */
    int pendingUpdates() {
        return repeats.size();
    }

    /** How often a change is told. */
    int transmitLimit() {
        return habits.transmitLimit(
                (int)
                        Math.ceil(
                                rules.retransmitMultiplier()
                                        * Math.log(table.liveCount() + 2)
                                        / Math.log(2)));
    }

    /** Another life of this process begins: its datagrams count anew. */
    void resetDatagramNumbers() {
        counter = 0;
    }

    void setStall(long tenths) {
        lag = (int) Math.min(0xffff, tenths / 100);
    }

    /** A number that an answer is known by. */
    int nextSequenceNumber() {
        return ++sequence;
    }

    Message newMessage(Kind kind) {
        return new Message(kind, table.self(), ++counter & 0xffff_ffffL, table.digest(), lag);
    }

    Message newMessage(Kind kind, int seq) {
        Message m = newMessage(kind);
        m.sequenceNumber = seq;
        return m;
    }

    DatagramCodec.Writer writerFor(Message m) {
        return DatagramCodec.writerFor(m, DatagramCodec.MAX_DATAGRAM_BYTES - tag);
    }

    /** What a message of that kind leaves for more. */
    int freeBytes(Kind kind) {
        return DatagramCodec.MAX_DATAGRAM_BYTES - tag - writerFor(newMessage(kind)).size();
    }

    /** Sends an urgent message to a member with what there is to tell. */
    boolean send(long now, MemberRecord to, Message m) {
        return send(now, to.update.address(), to, m, 0);
    }

    /**
     * The same; to null where nobody is known there yet. First what is held of it, if it is not
     * well.
     */
    boolean send(long now, String address, MemberRecord to, Message m, double rest) {
        DatagramCodec.Writer out = writerFor(m);
        if (to != null && to.isAccused()) {
            out.addUpdate(to.update);
        }
        if (allowance.allows(now, DatagramCodec.MAX_DATAGRAM_BYTES, LOW_PRIORITY_RESERVE)) {
            repeats.fill(out, transmitLimit(), to == null ? "" : to.update.name());
        }
        return send(now, address, out, rest);
    }

    /** Sends what was written, if that part of the allowance is left then. */
    boolean send(long now, String address, DatagramCodec.Writer out, double rest) {
        boolean may = allowance.allows(now, out.size() + tag, rest);
        counts[(may ? MembershipMetric.SENT : MembershipMetric.THROTTLED).ordinal()]++;
        if (may) {
            allowance.consume(now, out.size() + tag);
            outlet.send(address, out.toBytes());
        }
        return may;
    }
}

package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.membership.Message.Kind;
import cottonlock.setup.MembershipProtocolConfig;

/**
 * Encodes and sends datagrams within the bandwidth limit, and piggybacks updates on them. Confined
 * to the thread of its {@link Membership}.
 */
@Deterministic
final class DatagramSender {
    /** Share of the token bucket's depth that is reserved for probes and their answers. */
    static final double LOW_PRIORITY_RESERVE = 0.4;

    private static final int TICKS_PER_CENTISECOND = 100;
    private static final int MAX_STALL_CENTIS = 0xffff;
    private static final long DATAGRAM_NUMBER_MASK = 0xffff_ffffL;

    private final MembershipProtocolConfig config;
    private final ProtocolVariants variants;
    private final MemberTable table;
    private final MembershipActions actions;
    private final MembershipMetrics metrics;
    private final int reservedBytes;
    private final BandwidthLimit bandwidthLimit;
    private final UpdateBroadcastQueue broadcasts;
    private long datagramNumber;
    private int sequenceNumber;

    /** For how long the worker has made no progress, in hundredths of a second. */
    private int stallCentis;

    /**
     * Creates a sender.
     *
     * @param reservedBytes bytes of each datagram that stay free for an authentication tag
     */
    DatagramSender(
            MembershipProtocolConfig config,
            ProtocolVariants variants,
            MemberTable table,
            MembershipActions actions,
            MembershipMetrics metrics,
            int reservedBytes) {
        this.config = config;
        this.variants = variants;
        this.table = table;
        this.actions = actions;
        this.metrics = metrics;
        this.reservedBytes = reservedBytes;
        this.bandwidthLimit = new BandwidthLimit(config.maxBytesPerSecond());
        this.broadcasts = new UpdateBroadcastQueue(config.maxMembers());
    }

    /** Queues an update to be piggybacked on datagrams. */
    void broadcast(MemberUpdate update) {
        broadcasts.add(update);
    }

    /** Number of members about which an update is queued. */
    int pendingUpdates() {
        return broadcasts.size();
    }

    /**
     * How often an update is transmitted: proportional to the logarithm of the membership's size.
     */
    private int transmitLimit() {
        return variants.transmitLimit(
                (int)
                        Math.ceil(
                                config.retransmitMultiplier()
                                        * Math.log(table.liveCount() + 2)
                                        / Math.log(2)));
    }

    /** Restarts the numbering of datagrams, for a new generation of this process. */
    void resetDatagramNumbers() {
        datagramNumber = 0;
    }

    /** Sets for how long the worker has made no progress, which each datagram carries. */
    void setStall(long stallTicks) {
        stallCentis = (int) Math.min(MAX_STALL_CENTIS, stallTicks / TICKS_PER_CENTISECOND);
    }

    /** The next number to associate an answer with a probe. */
    int nextSequenceNumber() {
        return ++sequenceNumber;
    }

    /** Creates a message without the fields of its kind. Each one uses up a datagram number. */
    Message newMessage(Kind kind) {
        return new Message(
                kind,
                table.self(),
                ++datagramNumber & DATAGRAM_NUMBER_MASK,
                table.digest(),
                stallCentis);
    }

    /** Creates a message with a sequence number. */
    Message newMessage(Kind kind, int messageSequenceNumber) {
        Message message = newMessage(kind);
        message.sequenceNumber = messageSequenceNumber;
        return message;
    }

    /** Encodes a message, to which updates may be added. */
    DatagramWriter writerFor(Message message) {
        return DatagramCodec.writerFor(message, maxBytes());
    }

    private int maxBytes() {
        return DatagramCodec.MAX_DATAGRAM_BYTES - reservedBytes;
    }

    /** Free bytes of a message of a kind with empty fields. Uses up a datagram number. */
    int freeBytes(Kind kind) {
        return maxBytes() - writerFor(newMessage(kind)).size();
    }

    /** Sends a message with high priority to a member, with piggybacked updates. */
    boolean send(long nowTicks, MemberRecord receiver, Message message) {
        return send(nowTicks, receiver.update.address(), receiver, message);
    }

    /** Sends a message with high priority to an address at which possibly no member is known. */
    boolean send(long nowTicks, String address, Message message) {
        return send(nowTicks, address, null, message);
    }

    /**
     * Sends a message with high priority and piggybacked updates. The accusation against the
     * receiver, if there is one, comes first.
     *
     * @param receiver the member at the address; null if none is known
     * @return false if the bandwidth limit was reached
     */
    boolean send(long nowTicks, String address, MemberRecord receiver, Message message) {
        DatagramWriter out = writerFor(message);
        if (receiver != null && receiver.isAccused()) {
            out.addUpdate(receiver.update);
        }
        if (bandwidthLimit.allows(
                nowTicks, DatagramCodec.MAX_DATAGRAM_BYTES, LOW_PRIORITY_RESERVE)) {
            broadcasts.fill(out, transmitLimit(), receiver == null ? "" : receiver.update.name());
        }
        return send(nowTicks, address, out, 0);
    }

    /** Sends an encoded message with low priority: part of the bandwidth is reserved for probes. */
    boolean sendLowPriority(long nowTicks, String address, DatagramWriter out) {
        return send(nowTicks, address, out, LOW_PRIORITY_RESERVE);
    }

    private boolean send(long nowTicks, String address, DatagramWriter out, double reservedShare) {
        int bytes = out.size() + reservedBytes;
        boolean allowed = bandwidthLimit.allows(nowTicks, bytes, reservedShare);
        metrics.increment(allowed ? MembershipMetric.SENT : MembershipMetric.THROTTLED);
        if (allowed) {
            bandwidthLimit.consume(nowTicks, bytes);
            actions.send(address, out.toBytes());
        }
        return allowed;
    }
}

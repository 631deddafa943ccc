package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.membership.Message.Kind;

/**
 * Validates received datagrams, merges their updates and dispatches them by kind. Confined to the
 * thread of its {@link Membership}.
 */
@Deterministic
final class MessageReceiver {
    /** A member heard within this number of periods counts as heard recently. */
    private static final int HEARD_RECENTLY_PERIODS = 3;

    private final MembershipContext context;
    private final MemberTable table;
    private final DatagramSender sender;
    private final MembershipMetrics metrics;
    private final FailureDetector failureDetector;
    private final AntiEntropy antiEntropy;
    private final LocalMemberProtocol localMember;
    private final JoinProtocol joinProtocol;
    private final UpdateMerger merger;
    private final SuspicionRules suspicionRules;

    MessageReceiver(
            MembershipContext context,
            FailureDetector failureDetector,
            AntiEntropy antiEntropy,
            LocalMemberProtocol localMember,
            JoinProtocol joinProtocol,
            UpdateMerger merger,
            SuspicionRules suspicionRules) {
        this.context = context;
        this.table = context.table();
        this.sender = context.sender();
        this.metrics = context.metrics();
        this.failureDetector = failureDetector;
        this.antiEntropy = antiEntropy;
        this.localMember = localMember;
        this.joinProtocol = joinProtocol;
        this.merger = merger;
        this.suspicionRules = suspicionRules;
    }

    /**
     * Handles a datagram.
     *
     * @param from address from which the datagram came
     */
    void receive(long nowTicks, String from, byte[] bytes, int length) {
        Message message = DatagramCodec.decode(bytes, length);
        if (message == null) {
            metrics.increment(MembershipMetric.MALFORMED);
        } else if (!message.sender.address().equals(from) || !context.mayBeMember(from)) {
            metrics.increment(MembershipMetric.UNKNOWN_SENDERS);
        } else if (message.sender.name().equals(table.self().name())) {
            localMember.sameNameDatagramReceived(nowTicks, message.sender);
            notifyOutdated(nowTicks, message, table.self());
        } else {
            receiveFromMember(nowTicks, message);
        }
    }

    private void receiveFromMember(long nowTicks, Message message) {
        MemberUpdate senderClaim = message.sender;
        MemberRecord known = table.get(senderClaim.name());
        if (known != null && known.update.compareGenerations(senderClaim) > 0) {
            receiveStale(nowTicks, message, known);
            return;
        }
        boolean newGeneration = known == null || known.update.compareGenerations(senderClaim) < 0;
        if (!newGeneration && !known.acceptDatagramNumber(message.datagramNumber)) {
            metrics.increment(MembershipMetric.DUPLICATES);
            return;
        }
        merger.merge(nowTicks, senderClaim, senderClaim.name());
        MemberRecord member = table.get(senderClaim.name());
        if (member == null) {
            answerWithoutRecord(nowTicks, message);
            return;
        }
        if (newGeneration) {
            member.acceptDatagramNumber(message.datagramNumber);
        }
        failureDetector.messageReceived(nowTicks);
        member.heardAtTicks = nowTicks;
        member.stallCentis = message.stallCentis;
        mergeUpdates(nowTicks, message);
        if (!localMember.isDisplaced()) {
            dispatch(nowTicks, message, member);
            compareViews(nowTicks, message, member);
        }
    }

    /**
     * Handles a datagram of an earlier process of the member, delayed or from one still running.
     */
    private void receiveStale(long nowTicks, Message message, MemberRecord member) {
        metrics.increment(MembershipMetric.STALE);
        for (MemberUpdate update : message.updates) {
            // Two processes that consider each other's generation outdated learn of that only here.
            if (update.name().equals(table.self().name())) {
                localMember.reportReceived(nowTicks, update, message.sender.name());
            }
        }
        notifyOutdated(nowTicks, message, member.update);
    }

    /** Sends the update of the later generation to the process of the earlier one. */
    private void notifyOutdated(long nowTicks, Message message, MemberUpdate newer) {
        String address = message.sender.address();
        if (message.kind != Kind.UPDATES && !address.equals(table.self().address())) {
            DatagramWriter out = sender.writerFor(sender.newMessage(Kind.UPDATES));
            out.addUpdate(newer);
            sender.sendLowPriority(nowTicks, address, out);
        }
    }

    /**
     * Answers a sender that does not fit into the full table, which would otherwise suspect this
     * process.
     */
    private void answerWithoutRecord(long nowTicks, Message message) {
        if (message.kind == Kind.PING && !localMember.isDisplaced()) {
            sender.send(
                    nowTicks,
                    message.sender.address(),
                    sender.newMessage(Kind.ACK, message.sequenceNumber));
        }
    }

    private void mergeUpdates(long nowTicks, Message message) {
        int newUpdates = 0;
        for (MemberUpdate update : message.updates) {
            newUpdates += merger.merge(nowTicks, update, message.sender.name()) ? 1 : 0;
        }
        if (message.kind == Kind.PARTITION_PAGE || message.kind == Kind.UPDATES) {
            antiEntropy.countNewUpdates(newUpdates);
        }
    }

    private void dispatch(long nowTicks, Message message, MemberRecord member) {
        switch (message.kind) {
            case PING -> answerPing(nowTicks, message, member);
            case ACK -> failureDetector.ackReceived(nowTicks, message, member);
            case PING_REQUEST ->
                    failureDetector.indirectProbes().pingRequestReceived(nowTicks, message, member);
            case INDIRECT_ACK, NACK -> failureDetector.indirectResultReceived(nowTicks, message);
            case PARTITION_DIGESTS ->
                    antiEntropy.digestsReceived(
                            nowTicks,
                            message,
                            member,
                            context.random().nextInt(DatagramCodec.MAX_PARTITIONS));
            case PARTITION_PAGE -> antiEntropy.pageReceived(nowTicks, message, member);
            case PAYLOAD ->
                    context.actions()
                            .payloadReceived(
                                    member.update.name(),
                                    member.update.generation(),
                                    message.topic,
                                    message.payload);
            default -> {} // UPDATES were merged before.
        }
    }

    private void answerPing(long nowTicks, Message ping, MemberRecord member) {
        Message ack = sender.newMessage(Kind.ACK, ping.sequenceNumber);
        MemberRecord prober = ping.onBehalfOf.isEmpty() ? member : table.get(ping.onBehalfOf);
        ack.heardRecently = prober != null && isHeardRecently(nowTicks, prober);
        sender.send(nowTicks, member, ack);
    }

    /** Whether a datagram came directly from the member a short time ago. */
    boolean isHeardRecently(long nowTicks, MemberRecord member) {
        return nowTicks - member.heardAtTicks
                < HEARD_RECENTLY_PERIODS * context.config().periodTicks();
    }

    private void compareViews(long nowTicks, Message message, MemberRecord member) {
        boolean equal = antiEntropy.compareDigest(nowTicks, member, message.viewDigest);
        if (equal && joinProtocol.isJoining() && message.sender.state() == MemberState.ALIVE) {
            joinProtocol.tryJoin(nowTicks);
        }
        if (member.isAccused() && message.kind != Kind.PING) {
            suspicionRules.notifyAccused(nowTicks, member);
        }
    }
}

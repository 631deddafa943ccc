package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.membership.Message.Kind;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.ArrayList;
import java.util.List;

/**
 * Probes that this process makes at the request of other members. Each request is answered by an
 * indirect acknowledgement or, after a timeout, by a negative one. Confined to the thread of its
 * {@link Membership}.
 */
@Deterministic
final class IndirectProbes {
    /** A probe made for another member. */
    private record IndirectProbe(
            int sequenceNumber,
            int requestSequenceNumber,
            String requester,
            String target,
            long expiresAtTicks) {}

    private final MembershipProtocolConfig config;
    private final MemberTable table;
    private final DatagramSender sender;

    /** The probes in progress, in the order of their expiry. */
    private final List<IndirectProbe> probes = new ArrayList<>();

    IndirectProbes(MembershipContext context) {
        this.config = context.config();
        this.table = context.table();
        this.sender = context.sender();
    }

    void clear() {
        probes.clear();
    }

    /** When {@link #expire} is due; the maximum value if there is nothing to expire. */
    long dueAtTicks() {
        return probes.isEmpty() ? Long.MAX_VALUE : probes.get(0).expiresAtTicks;
    }

    /** Starts a probe that a member has requested of another one. */
    void pingRequestReceived(long nowTicks, Message request, MemberRecord requester) {
        if (request.target.equals(table.self().name()) || probes.size() >= config.maxMembers()) {
            return;
        }
        Message ping = sender.newMessage(Kind.PING, sender.nextSequenceNumber());
        ping.target = request.target;
        ping.onBehalfOf = requester.update.name();
        probes.add(
                new IndirectProbe(
                        ping.sequenceNumber,
                        request.sequenceNumber,
                        requester.update.name(),
                        request.target,
                        nowTicks + config.answerTimeoutTicks()));
        sender.send(nowTicks, request.targetAddress, table.get(request.target), ping);
    }

    /**
     * Relays a member's answer to the requesters of its probe.
     *
     * @param responsive whether the answer shows that the member's worker makes progress
     */
    void ackReceived(long nowTicks, Message ack, MemberRecord member, boolean responsive) {
        for (IndirectProbe probe : List.copyOf(probes)) {
            if (probe.sequenceNumber == ack.sequenceNumber
                    && probe.target.equals(member.update.name())) {
                probes.remove(probe);
                Kind kind = responsive ? Kind.INDIRECT_ACK : Kind.NACK;
                reply(nowTicks, probe, kind, ack.heardRecently);
            }
        }
    }

    /** Sends a negative answer to requests whose probes were not answered in time. */
    void expire(long nowTicks) {
        while (!probes.isEmpty() && nowTicks >= probes.get(0).expiresAtTicks) {
            reply(nowTicks, probes.remove(0), Kind.NACK, false);
        }
    }

    private void reply(long nowTicks, IndirectProbe probe, Kind kind, boolean heardRecently) {
        MemberRecord requester = table.get(probe.requester);
        if (requester != null && requester.isLive()) {
            Message message = sender.newMessage(kind, probe.requestSequenceNumber);
            message.heardRecently = heardRecently;
            sender.send(nowTicks, requester, message);
        }
    }

    /** Appends the state that determines future behavior, for tests that compare states. */
    void appendFingerprint(StringBuilder text, long nowTicks) {
        for (IndirectProbe probe : probes) {
            text.append(' ')
                    .append(probe.requester)
                    .append(probe.target)
                    .append(probe.expiresAtTicks - nowTicks);
        }
    }
}

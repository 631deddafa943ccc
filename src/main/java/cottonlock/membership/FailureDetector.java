package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.membership.Message.Kind;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Probes the members, one in each period: first directly and, if there is no answer, through other
 * members (SWIM). A member that answers neither way is reported to a {@link SuspicionListener}.
 * Confined to the thread of its {@link Membership}.
 */
@Deterministic
final class FailureDetector {
    /** Number of answers over which the share of unanswered first pings is averaged. */
    private static final double LOSS_AVERAGE_SAMPLES = 20;

    /**
     * A member is suspected once the probability that a live one is silent so long is at most this.
     */
    private static final double MAX_FALSE_SUSPICION_PROBABILITY = 0.02;

    /** Maximum number of periods over which a member is probed before it is suspected. */
    private static final int MAX_PROBE_PERIODS = 4;

    /** Datagrams of an indirect probe: request, ping, answer and relayed answer. */
    private static final int INDIRECT_PROBE_DATAGRAMS = 4;

    /** If no datagram has come for this number of periods, the fault may lie with this process. */
    private static final int MAX_LOCAL_SILENCE_PERIODS = 2;

    /** Members heard within this number of periods are preferred as helpers. */
    private static final int HEARD_WITHIN_PERIODS = 4;

    private static final int TICKS_PER_CENTISECOND = 100;

    private final MembershipProtocolConfig config;
    private final MemberTable table;
    private final ProbeSchedule schedule;
    private final DatagramSender sender;
    private final SplittableRandom random;
    private final SuspicionListener listener;
    private final SuspectSet suspects;
    private final IndirectProbes indirectProbes;
    private final LocalHealth localHealth;

    /** Members to be probed before the next one of the schedule. */
    private final Deque<MemberRecord> urgentTargets = new ArrayDeque<>();

    /** The probe in progress; null before the first one and while there are no members. */
    private Probe probe;

    /** Moving average of the share of answered probes whose first ping got no answer. */
    private double unansweredShare;

    private long periodEndsAtTicks;

    /** When a datagram of any member last came. */
    private long heardAtTicks = MemberRecord.NEVER;

    FailureDetector(MembershipContext context, SuspectSet suspects, SuspicionListener listener) {
        this.config = context.config();
        this.table = context.table();
        this.schedule = context.schedule();
        this.sender = context.sender();
        this.random = context.random();
        this.suspects = suspects;
        this.listener = listener;
        this.indirectProbes = new IndirectProbes(context);
        this.localHealth = new LocalHealth(config.maxLocalHealthScore());
    }

    /** Starts, or starts again; probes in progress are abandoned. */
    void start(long nowTicks) {
        probe = null;
        indirectProbes.clear();
        periodEndsAtTicks = nowTicks + random.nextLong(config.periodTicks());
    }

    /** A datagram of any member has come. */
    void messageReceived(long nowTicks) {
        heardAtTicks = nowTicks;
    }

    LocalHealth localHealth() {
        return localHealth;
    }

    IndirectProbes indirectProbes() {
        return indirectProbes;
    }

    /**
     * Called when a member becomes suspected: with some probability it is probed soon. The
     * probability is such that in a large membership only a few members do so, and the suspect can
     * answer them all.
     */
    void maybeProbeSoon(MemberRecord member) {
        if (random.nextInt(1 + table.liveCount()) < 2 * config.confirmationCount()
                && urgentTargets.size() < config.maxMembers()) {
            urgentTargets.add(member);
        }
    }

    /**
     * Makes a member the next one to be probed. Called before it is declared failed, and when
     * others report its failure.
     */
    void probeBeforeFailing(MemberRecord member) {
        if (!member.needsConfirmingProbe && urgentTargets.size() < config.maxMembers()) {
            member.needsConfirmingProbe = true;
            urgentTargets.addFirst(member);
        }
    }

    /** When {@link #timerFired} is due. */
    long dueAtTicks() {
        long dueAtTicks = Math.min(periodEndsAtTicks, indirectProbes.dueAtTicks());
        return isAwaitingDirectAck() ? Math.min(dueAtTicks, probe.ackDueTicks) : dueAtTicks;
    }

    private boolean isAwaitingDirectAck() {
        return probe != null && probe.isWaitingForDirectAck();
    }

    void timerFired(long nowTicks) {
        if (isAwaitingDirectAck() && nowTicks >= probe.ackDueTicks) {
            requestIndirectProbes(nowTicks);
        }
        if (nowTicks >= periodEndsAtTicks) {
            endPeriod(nowTicks);
        }
        indirectProbes.expire(nowTicks);
    }

    private void endPeriod(long nowTicks) {
        if (probe != null && !probe.finished && handleUnansweredProbe(nowTicks)) {
            return;
        }
        if (probe != null) {
            probe.target.needsConfirmingProbe = false;
        }
        startPeriod(nowTicks);
        pingOneOwnSuspect(nowTicks);
        MemberRecord target = nextTarget();
        if (target == null) {
            probe = null;
        } else {
            startProbe(nowTicks, target, 1);
        }
    }

    /** Ends an unanswered probe; returns whether the same member is probed for another period. */
    private boolean handleUnansweredProbe(long nowTicks) {
        probe.finished = true;
        // If no helper reports a result either, or no datagram comes at all, the fault may be
        // local.
        boolean faultMayBeLocal =
                probe.helpers > 0
                        ? probe.nacks == 0
                        : nowTicks - heardAtTicks
                                > MAX_LOCAL_SILENCE_PERIODS * config.periodTicks();
        if (faultMayBeLocal) {
            localHealth.degrade(1);
        }
        if (probe.target.update.state() == MemberState.ALIVE
                && probe.periods < silentPeriodsBeforeSuspicion()) {
            startPeriod(nowTicks);
            startProbe(nowTicks, probe.target, probe.periods + 1);
            return true;
        }
        listener.probeFailed(
                nowTicks,
                probe.target,
                "no answer to "
                        + table.self().name()
                        + (probe.helpers > 0 ? " nor to " + probe.helpers + " others" : ""));
        return false;
    }

    private void startPeriod(long nowTicks) {
        periodEndsAtTicks = nowTicks + config.periodTicks() * localHealth.multiplier();
    }

    private void startProbe(long nowTicks, MemberRecord target, int periods) {
        probe =
                new Probe(
                        target,
                        sender.nextSequenceNumber(),
                        nowTicks + config.answerTimeoutTicks() * localHealth.multiplier(),
                        periods);
        ping(nowTicks, target, probe.sequenceNumber);
    }

    /**
     * The number of silent periods after which a member is suspected: a live one is unlikely to be
     * silent for so long at the present rate of loss.
     */
    private int silentPeriodsBeforeSuspicion() {
        double arrivalProbability = Math.sqrt(1 - unansweredShare);
        double allHelpersFailProbability =
                Math.pow(
                        1 - Math.pow(arrivalProbability, INDIRECT_PROBE_DATAGRAMS),
                        config.indirectProbeCount());
        double silentPeriodProbability =
                unansweredShare * unansweredShare * allHelpersFailProbability;
        int needed = 1;
        double probability = silentPeriodProbability;
        while (probability > MAX_FALSE_SUSPICION_PROBABILITY && needed < MAX_PROBE_PERIODS) {
            needed++;
            probability *= silentPeriodProbability;
        }
        return needed;
    }

    /**
     * Records that the probed member has answered.
     *
     * @param answeredFirstPing false if it answered only a repeated or an indirect ping
     */
    private void recordAnswer(boolean answeredFirstPing) {
        unansweredShare += ((answeredFirstPing ? 0 : 1) - unansweredShare) / LOSS_AVERAGE_SAMPLES;
        localHealth.improve();
    }

    private void ping(long nowTicks, MemberRecord target, int sequenceNumber) {
        Message message = sender.newMessage(Kind.PING, sequenceNumber);
        message.target = target.update.name();
        sender.send(nowTicks, target, message);
    }

    /** Pings one member that this process accuses, to deliver the accusation with the ping. */
    private void pingOneOwnSuspect(long nowTicks) {
        int selfHash = table.selfHash();
        List<MemberRecord> accused =
                schedule.sample(
                        1,
                        !suspects.isEmpty(),
                        member ->
                                member.suspicion != null && member.suspicion.isAccusedBy(selfHash));
        if (!accused.isEmpty()) {
            ping(nowTicks, accused.get(0), sender.nextSequenceNumber());
        }
    }

    private MemberRecord nextTarget() {
        int selfHash = table.selfHash();
        while (!urgentTargets.isEmpty()) {
            MemberRecord member = urgentTargets.poll();
            boolean unverifiedSuspect =
                    member.suspicion != null && !member.suspicion.isAccusedBy(selfHash);
            if (!member.removed
                    && member.isLive()
                    && (member.needsConfirmingProbe || unverifiedSuspect)) {
                return member;
            }
            member.needsConfirmingProbe = false;
        }
        return schedule.next();
    }

    private void requestIndirectProbes(long nowTicks) {
        List<MemberRecord> helpers = chooseHelpers(nowTicks);
        for (MemberRecord helper : helpers) {
            Message message = sender.newMessage(Kind.PING_REQUEST, probe.sequenceNumber);
            message.target = probe.target.update.name();
            message.targetAddress = probe.target.update.address();
            sender.send(nowTicks, helper, message);
        }
        probe.helpers = helpers.isEmpty() ? Probe.NO_HELPERS : helpers.size();
        // The first ping may have been lost.
        ping(nowTicks, probe.target, probe.sequenceNumber);
    }

    /** Prefers members heard lately: those beyond a network partition can't help. */
    private List<MemberRecord> chooseHelpers(long nowTicks) {
        List<MemberRecord> helpers =
                schedule.sample(
                        config.indirectProbeCount(),
                        member ->
                                canHelp(member)
                                        && nowTicks - member.heardAtTicks
                                                < HEARD_WITHIN_PERIODS * config.periodTicks());
        return helpers.isEmpty()
                ? schedule.sample(config.indirectProbeCount(), this::canHelp)
                : helpers;
    }

    private boolean canHelp(MemberRecord member) {
        return member != probe.target && member.update.state() == MemberState.ALIVE;
    }

    /**
     * Handles the answer to a ping of this process's own probe or of one made for another member.
     */
    void ackReceived(long nowTicks, Message ack, MemberRecord member) {
        boolean responsive = isResponsive(ack.stallCentis);
        if (isAnswerToProbe(ack)) {
            probe.finished = true;
            if (probe.target != member) {
                listener.probeFailed(
                        nowTicks, probe.target, member.update.name() + " answers at its address");
            } else if (responsive) {
                member.ackedAtTicks = nowTicks;
                member.hearsThisProcess = true;
                recordAnswer(probe.helpers == 0);
            } else {
                listener.probeFailed(
                        nowTicks,
                        member,
                        "its module stands still for " + ack.stallCentis / 100.0 + " s");
            }
        }
        indirectProbes.ackReceived(nowTicks, ack, member, responsive);
    }

    private boolean isAnswerToProbe(Message message) {
        return probe != null && probe.sequenceNumber == message.sequenceNumber && !probe.finished;
    }

    /** Whether a process whose worker has been stalled for this long still counts as working. */
    boolean isResponsive(int stallCentis) {
        return (long) stallCentis * TICKS_PER_CENTISECOND <= config.stallTimeoutTicks();
    }

    /** A helper has reported the result of an indirect probe. */
    void indirectResultReceived(long nowTicks, Message message) {
        if (!isAnswerToProbe(message)) {
            return;
        }
        if (message.kind == Kind.NACK) {
            probe.nacks++;
        } else {
            probe.target.indirectAckAtTicks = nowTicks;
            probe.target.hearsThisProcess = message.heardRecently;
            probe.finished = true;
            recordAnswer(false);
        }
    }

    /** The state that determines future behavior as text, for tests that compare states. */
    String fingerprint(long nowTicks) {
        StringBuilder text = new StringBuilder();
        text.append(localHealth.score()).append(' ').append(periodEndsAtTicks - nowTicks);
        if (probe != null) {
            probe.appendFingerprint(text, nowTicks);
        }
        indirectProbes.appendFingerprint(text, nowTicks);
        urgentTargets.forEach(member -> text.append(' ').append(member.update.name()));
        return text.toString();
    }
}

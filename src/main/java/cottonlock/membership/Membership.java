package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.membership.Message.Kind;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.SplittableRandom;

/**
 * One process's part in the membership protocol, a pure state machine: datagrams, timer events and
 * the time are passed in as arguments; datagrams and notifications are passed out through {@link
 * MembershipActions} during the call.
 *
 * <p>The protocol is SWIM with Lifeguard's extensions and anti-entropy. A {@link FailureDetector}
 * probes the members; {@link SuspicionRules} turn missing answers into suspicions and suspicions
 * that are not refuted into failures; updates are piggybacked on datagrams; {@link AntiEntropy}
 * repairs views that still differ. docs/membership.md gives the reasons.
 *
 * <p>Not thread-safe: its owner must call it from one thread at a time. Times are in ticks of 0.1
 * ms and never decrease. Each call that takes the time may change when {@link #timerFired} is due,
 * and returns that time unless it says otherwise.
 */
@Deterministic
public final class Membership {
    /**
     * A call that comes later than this after the timer was due shows that the process was stalled.
     */
    private static final long MAX_TIMER_DELAY_TICKS = 1_000;

    private final MembershipContext context;
    private final MembershipProtocolConfig config;
    private final MemberTable table;
    private final DatagramSender sender;
    private final SuspectSet suspects;
    private final WorkerProgress workerProgress;
    private final SelfAnnouncer announcer;
    private final JoinProtocol joinProtocol;
    private final FailureDetector failureDetector;
    private final AntiEntropy antiEntropy;
    private final LocalMemberProtocol localMember;
    private final UpdateMerger merger;
    private final SuspicionRules suspicionRules;
    private final ContactScheduler contactScheduler;
    private final MessageReceiver receiver;
    private final MembershipViewBuilder viewBuilder;

    private long dueAtTicks;

    /** Whether datagrams are discarded until the timer fires, because they were queued too long. */
    private boolean discardsInput;

    /**
     * Creates the state of a process that has just started.
     *
     * @param self this process
     * @param reservedBytes bytes of each datagram that stay free for an authentication tag
     * @param random source of all random choices
     * @throws IllegalArgumentException if the name is not valid for a member
     */
    public Membership(
            MembershipProtocolConfig config,
            MembershipActions actions,
            LocalMember self,
            int reservedBytes,
            SplittableRandom random) {
        this(config, actions, self, reservedBytes, random, new ProtocolVariants());
    }

    Membership(
            MembershipProtocolConfig config,
            MembershipActions actions,
            LocalMember self,
            int reservedBytes,
            SplittableRandom random,
            ProtocolVariants variants) {
        this.config = config;
        this.context =
                MembershipContext.create(config, actions, self, reservedBytes, random, variants);
        this.table = context.table();
        this.sender = context.sender();
        this.suspects = new SuspectSet(variants);
        this.workerProgress = new WorkerProgress(config.stallTimeoutTicks());
        this.announcer = new SelfAnnouncer(context);
        this.joinProtocol = new JoinProtocol(context, announcer);
        this.failureDetector = new FailureDetector(context, suspects, this::probeFailed);
        this.antiEntropy = new AntiEntropy(context);
        this.localMember =
                new LocalMemberProtocol(
                        context, announcer, joinProtocol, failureDetector, workerProgress);
        this.merger = new UpdateMerger(context, suspects, failureDetector, localMember);
        this.suspicionRules = new SuspicionRules(context, suspects, failureDetector, merger);
        this.contactScheduler = new ContactScheduler(context, localMember, joinProtocol);
        this.receiver =
                new MessageReceiver(
                        context,
                        failureDetector,
                        antiEntropy,
                        localMember,
                        joinProtocol,
                        merger,
                        suspicionRules);
        this.viewBuilder =
                new MembershipViewBuilder(
                        context,
                        announcer,
                        localMember,
                        failureDetector.localHealth(),
                        workerProgress);
    }

    private void probeFailed(long nowTicks, MemberRecord member, String reason) {
        suspicionRules.probeFailed(nowTicks, member, reason);
    }

    /** Starts, or restarts after another process has taken part in place of this one. */
    public long start(long nowTicks) {
        MemberUpdate self = table.self();
        if (self.state() != MemberState.JOINING) {
            announcer.announce(
                    nowTicks, self.ownClaim(self.generation() + 1, 0, MemberState.JOINING));
        }
        merger.removeAll();
        localMember.start();
        announcer.setStateSince(nowTicks);
        failureDetector.start(nowTicks);
        contactScheduler.start(nowTicks);
        joinProtocol.start(nowTicks);
        merger.scheduleExpiryCheck(nowTicks);
        dueAtTicks = nowTicks;
        return dueAtTicks;
    }

    /**
     * Sets when the thread that serves requests last made progress. To be called before each other
     * call.
     */
    public void workerProgressedAt(long progressAtTicks) {
        workerProgress.progressedAt(progressAtTicks);
    }

    /** Counts an event noticed by the caller, such as a datagram that failed authentication. */
    public void countEvent(MembershipMetric metric) {
        context.metrics().increment(metric);
    }

    /**
     * Handles a received datagram.
     *
     * @param from address of its sender
     * @param length bytes of the datagram at the beginning of the array
     */
    public long datagramReceived(long nowTicks, String from, byte[] bytes, int length) {
        detectStall(nowTicks);
        if (discardsInput) {
            countEvent(MembershipMetric.STALE);
        } else {
            receiver.receive(nowTicks, from, bytes, length);
        }
        return schedule(nowTicks);
    }

    /** To be called when the time last returned has come. */
    public long timerFired(long nowTicks) {
        detectStall(nowTicks);
        discardsInput = false;
        localMember.refute(nowTicks, "others");
        if (table.self().state() == MemberState.LEFT) {
            contactScheduler.announceLeave(nowTicks);
        } else if (localMember.isDisplaced()) {
            contactScheduler.probeDisplacer(nowTicks);
        } else {
            runProtocol(nowTicks);
        }
        if (nowTicks >= merger.expiryCheckAtTicks()) {
            merger.removeExpired(nowTicks);
        }
        return schedule(nowTicks);
    }

    private void runProtocol(long nowTicks) {
        failureDetector.timerFired(nowTicks);
        suspicionRules.expireSuspicions(nowTicks);
        contactScheduler.pingContactAddresses(nowTicks);
        if (joinProtocol.isJoining() && nowTicks >= joinProtocol.dueAtTicks()) {
            joinProtocol.tryJoin(nowTicks);
        }
        if (nowTicks >= antiEntropy.dueAtTicks()) {
            antiEntropy.timerFired(nowTicks);
        }
    }

    /** Whether {@link #timerFired} is due. */
    public boolean isDue(long nowTicks) {
        return nowTicks >= dueAtTicks;
    }

    private long schedule(long nowTicks) {
        long next = Math.min(merger.expiryCheckAtTicks(), contactScheduler.dueAtTicks());
        if (table.self().state() != MemberState.LEFT && !localMember.isDisplaced()) {
            next = Math.min(next, failureDetector.dueAtTicks());
            next = Math.min(next, antiEntropy.dueAtTicks());
            next = Math.min(next, suspects.firstExpiryTicks());
            if (joinProtocol.isJoining()) {
                next = Math.min(next, joinProtocol.dueAtTicks());
            }
        }
        dueAtTicks = Math.max(nowTicks, next);
        return dueAtTicks;
    }

    /** Called first for each datagram and each timer event: detects a stall of this process. */
    private void detectStall(long nowTicks) {
        sender.setStall(workerProgress.stallTicks(nowTicks));
        if (nowTicks > dueAtTicks + MAX_TIMER_DELAY_TICKS) {
            processStalled(nowTicks, nowTicks - dueAtTicks);
            dueAtTicks = nowTicks;
        }
    }

    /**
     * Handles a stall of this process, during which expected answers may have been dropped unread.
     */
    private void processStalled(long nowTicks, long stallTicks) {
        if (config.maxLocalHealthScore() == 0 || !context.variants().tracksLocalHealth()) {
            return;
        }
        countEvent(MembershipMetric.LOCAL_STALLS);
        failureDetector.localHealth().degrade(stallTicks > config.periodTicks() ? 2 : 1);
        failureDetector.start(nowTicks);
        suspects.extendForStall(nowTicks, stallTicks);
        if (stallTicks > config.deadMemberRetentionTicks() / 2
                && table.self().state() != MemberState.LEFT) {
            rejoin(nowTicks);
        }
    }

    /**
     * Joins again after a stall so long that others may have removed members that failed meanwhile.
     * Neither this process's view nor the datagrams queued in its socket may be spread as new.
     */
    private void rejoin(long nowTicks) {
        discardsInput = true;
        merger.removeAll();
        MemberUpdate self = table.self();
        announcer.announce(
                nowTicks,
                self.ownClaim(self.generation(), self.incarnation() + 1, MemberState.JOINING));
        joinProtocol.restart(nowTicks);
    }

    /** Announces that this process ends. It still answers until it has ended. */
    public long leave(long nowTicks) {
        if (table.self().state() != MemberState.LEFT) {
            announcer.announce(nowTicks, table.self().withState(MemberState.LEFT, 0));
            contactScheduler.start(nowTicks);
            contactScheduler.announceLeave(nowTicks);
        }
        return schedule(nowTicks);
    }

    /** The largest payload that {@link #sendPayload} takes, in bytes. */
    public int maxPayloadBytes() {
        return sender.freeBytes(Kind.PAYLOAD);
    }

    /**
     * Sends data of another subsystem to a live member, once and unreliably.
     *
     * @param topic the subsystem that the data belongs to, 0 to 255
     * @param payload at most {@link #maxPayloadBytes} long
     * @return false if it could not be sent now
     */
    public boolean sendPayload(long nowTicks, String name, int topic, byte[] payload) {
        MemberRecord member = table.get(name);
        if (member == null
                || !member.isLive()
                || table.self().state() == MemberState.LEFT
                || localMember.isDisplaced()) {
            return false;
        }
        Message message = sender.newMessage(Kind.PAYLOAD);
        message.topic = topic;
        message.payload = payload;
        return sender.sendLowPriority(nowTicks, member.update.address(), sender.writerFor(message));
    }

    /** Number of members besides this process that may be running. */
    public int liveOthers() {
        return table.liveCount();
    }

    /** Digest of the view: views with the same live members have the same digest. */
    public long digest() {
        return table.digest();
    }

    /** A member's state; null if there is no other member with that name. */
    public MemberState stateOf(String name) {
        MemberRecord member = table.get(name);
        return member == null ? null : member.update.state();
    }

    /** The view at this time. */
    public MembershipView view(long nowTicks) {
        return viewBuilder.build(nowTicks);
    }

    /** The state that determines future behavior as text, for tests that compare states. */
    String fingerprint(long nowTicks) {
        StringBuilder text = new StringBuilder();
        text.append(table.self()).append(localMember.fingerprint());
        text.append(' ').append(contactScheduler.dueAtTicks() - nowTicks);
        text.append(' ').append(antiEntropy.dueAtTicks() - nowTicks);
        text.append(' ').append(joinProtocol.dueAtTicks() - nowTicks);
        text.append('\n').append(failureDetector.fingerprint(nowTicks));
        text.append('\n').append(context.schedule());
        for (MemberRecord member : table.members()) {
            text.append('\n').append(member.heardAtTicks >= joinProtocol.startedAtTicks());
            text.append(receiver.isHeardRecently(nowTicks, member));
            member.appendFingerprint(text, nowTicks);
        }
        return text.append("\ntelling ").append(sender.pendingUpdates()).toString();
    }
}

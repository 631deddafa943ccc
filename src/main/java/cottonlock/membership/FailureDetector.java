package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.membership.Message.Kind;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Probes one member after the other, directly and by others' help, and makes probes for others. The
 * less it is answered at all, the more it doubts itself, and the longer it takes over everything.
 */
@Deterministic
final class FailureDetector {

    /** Answers over which losses are remembered: ten seconds of probes. */
    private static final double REMEMBERED = 20;

    /**
     * The chance of no answer from a living member at which it is doubted: at 0.1 doubts filled
     * all.
     */
    private static final double UNUSUAL = 0.02;

    private static final int MOST_PERIODS = 4;

    /** Who is told what came of a probe. */
    interface SuspicionListener {
        /** A member has not answered, or badly, for a reason in words. */
        void suspect(long now, MemberRecord k, String reason);
    }

    /** A probe that has begun. */
    private static final class Probe {
        final MemberRecord target;
        final int seq;
        final long askAt;

        /** Periods that it has gone on for without an answer, this one among them. */
        final int periods;

        /** Others that were asked to help; -1: there was nobody to ask; 0: not yet. */
        int asked;

        int refused;
        boolean over;

        Probe(MemberRecord target, int seq, long askAt, int periods) {
            this.target = target;
            this.seq = seq;
            this.askAt = askAt;
            this.periods = periods;
        }

        boolean isAsking() {
            return !over && asked == 0;
        }
    }

    /** A probe made for another member. */
    private record Favour(int seq, int theirSeq, String asker, String target, long until) {}

    private final MembershipProtocolConfig rules;
    private final MemberTable table;
    private final ProbeSchedule ring;
    private final DatagramSender post;
    private final SuspicionListener judge;
    private final Collection<MemberRecord> suspects;
    private final SplittableRandom random;
    private final Deque<MemberRecord> urgent = new ArrayDeque<>();
    private final List<Favour> favours = new ArrayList<>();
    private Probe probe;
    private int doubt;

    /** The part of living members that did not answer at once, of late. */
    private double unanswered;

    private long roundAt;

    /** When this process last heard anybody. */
    private long heardAtTicks = MemberRecord.NEVER;

    /** Suspects: all that are in doubt, as they stand at any time. */
    FailureDetector(
            MembershipProtocolConfig rules,
            MemberTable table,
            ProbeSchedule ring,
            DatagramSender post,
            SuspicionListener judge,
            Collection<MemberRecord> suspects,
            SplittableRandom random) {
        this.rules = rules;
        this.table = table;
        this.ring = ring;
        this.post = post;
        this.judge = judge;
        this.suspects = suspects;
        this.random = random;
    }

    /** Begins, or begins anew: what was under way comes to nothing. */
    void start(long now) {
        probe = null;
        favours.clear();
        roundAt = now + random.nextLong(rules.periodTicks());
    }

    /** Somebody has been heard. */
    void messageReceived(long now) {
        heardAtTicks = now;
    }

    /** How far this process doubts itself. */
    int localHealthScore() {
        return doubt;
    }

    void degradeLocalHealth(int amount) {
        doubt = Math.min(rules.maxLocalHealthScore(), doubt + amount);
    }

    private void improveLocalHealth() {
        doubt = Math.max(0, doubt - 1);
    }

    /**
     * Somebody else doubts it: of a large fleet some look at once, by chance, or it could not
     * answer all.
     */
    void maybeProbeSoon(MemberRecord k) {
        if (random.nextInt(1 + table.liveCount()) < 2 * rules.confirmationCount()
                && urgent.size() < rules.maxMembers()) {
            urgent.add(k);
        }
    }

    /**
     * Others hold one for failed, or are about to, whom this process has not found so: it looks
     * soon.
     */
    void probeBeforeFailing(MemberRecord k) {
        if (!k.contested && urgent.size() < rules.maxMembers()) {
            k.contested = true;
            urgent.addFirst(k);
        }
    }

    /** When it wants to be called. */
    long dueAtTicks() {
        long at = roundAt;
        if (probe != null && probe.isAsking()) {
            at = Math.min(at, probe.askAt);
        }
        return favours.isEmpty() ? at : Math.min(at, favours.get(0).until);
    }

    void timerFired(long now) {
        if (probe != null && probe.isAsking() && now >= probe.askAt) {
            askOthers(now);
        }
        if (now >= roundAt) {
            round(now);
        }
        // In the order of their beginning, and so of their ends.
        while (!favours.isEmpty() && now >= favours.get(0).until) {
            done(now, favours.remove(0), Kind.NACK, false);
        }
    }

    private void round(long now) {
        if (probe != null && !probe.over) {
            probe.over = true;
            // Of those asked for help none has answered either, or nobody at all: the fault may lie
            // here.
            if (probe.asked > 0
                    ? probe.refused == 0
                    : now - heardAtTicks > 2 * rules.periodTicks()) {
                degradeLocalHealth(1);
            }
            if (probe.target.update.state() == MemberState.ALIVE
                    && probe.periods < periodsNeeded()) {
                roundAt = now + rules.periodTicks() * (1 + doubt);
                begin(now, probe.target, probe.periods + 1);
                return;
            }
            judge.suspect(
                    now,
                    probe.target,
                    "no answer to "
                            + table.self().name()
                            + (probe.asked > 0 ? " nor to " + probe.asked + " others" : ""));
        }
        if (probe != null) {
            probe.target.contested = false;
        }
        roundAt = now + rules.periodTicks() * (1 + doubt);
        remind(now);
        MemberRecord target = next();
        if (target == null) {
            probe = null;
        } else {
            begin(now, target, 1);
        }
    }

    private void begin(long now, MemberRecord target, int periods) {
        probe =
                new Probe(
                        target,
                        post.nextSequenceNumber(),
                        now + rules.answerTimeoutTicks() * (1 + doubt),
                        periods);
        ping(now, target, probe.seq);
    }

    /**
     * How many periods without an answer are unusual enough, by what is lost of late on living
     * members.
     */
    private int periodsNeeded() {
        double through = Math.sqrt(1 - unanswered);
        double helped = Math.pow(1 - Math.pow(through, 4), rules.indirectProbeCount());
        double none = unanswered * unanswered * helped;
        int needed = 1;
        for (double chance = none; chance > UNUSUAL && needed < MOST_PERIODS; chance *= none) {
            needed++;
        }
        return needed;
    }

    /** A living member has answered: at once, or only when asked again or by others. */
    private void answeredBy(boolean atOnce) {
        unanswered += ((atOnce ? 0 : 1) - unanswered) / REMEMBERED;
        improveLocalHealth();
    }

    private void ping(long now, MemberRecord target, int seq) {
        Message m = post.newMessage(Kind.PING, seq);
        m.target = target.update.name();
        post.send(now, target, m);
    }

    /**
     * Whom this process doubts hears of it from here, and need not wait for the word to go round.
     */
    private void remind(long now) {
        int self = MemberUpdate.nameHash(table.self().name());
        List<MemberRecord> mine =
                ring.sample(
                        1,
                        !suspects.isEmpty(),
                        k -> k.suspicion != null && k.suspicion.accusedBy(self));
        if (!mine.isEmpty()) {
            ping(now, mine.get(0), post.nextSequenceNumber());
        }
    }

    private MemberRecord next() {
        int self = MemberUpdate.nameHash(table.self().name());
        while (!urgent.isEmpty()) {
            MemberRecord k = urgent.poll();
            if (!k.removed
                    && k.update.state().isLive()
                    && (k.contested || k.suspicion != null && !k.suspicion.accusedBy(self))) {
                return k;
            }
            k.contested = false;
        }
        return ring.next();
    }

    private void askOthers(long now) {
        // Of those that were heard of late: beyond a cut nobody helps, and that says nothing of
        // this side.
        List<MemberRecord> helpers =
                ring.sample(
                        rules.indirectProbeCount(),
                        k ->
                                k != probe.target
                                        && k.update.state() == MemberState.ALIVE
                                        && now - k.heardAtTicks < 4 * rules.periodTicks());
        if (helpers.isEmpty()) {
            helpers =
                    ring.sample(
                            rules.indirectProbeCount(),
                            k -> k != probe.target && k.update.state() == MemberState.ALIVE);
        }
        for (MemberRecord helper : helpers) {
            Message m = post.newMessage(Kind.PING_REQUEST, probe.seq);
            m.target = probe.target.update.name();
            m.targetAddress = probe.target.update.address();
            post.send(now, helper, m);
        }
        probe.asked = helpers.isEmpty() ? -1 : helpers.size();
        // The first may have been lost.
        ping(now, probe.target, probe.seq);
    }

    /** An answer has come, to a probe of one's own or to one made for another. */
    void ackReceived(long now, Message m, MemberRecord k) {
        if (probe != null && probe.seq == m.sequenceNumber && !probe.over) {
            probe.over = true;
            if (probe.target != k) {
                judge.suspect(now, probe.target, k.update.name() + " answers at its address");
            } else if (isResponsive(m.stallCentis)) {
                k.ackedAtTicks = now;
                k.hearsThisProcess = true;
                answeredBy(probe.asked == 0);
            } else {
                judge.suspect(
                        now, k, "its module stands still for " + m.stallCentis / 100.0 + " s");
            }
        }
        for (Favour f : List.copyOf(favours)) {
            if (f.seq == m.sequenceNumber && f.target.equals(k.update.name())) {
                favours.remove(f);
                done(
                        now,
                        f,
                        isResponsive(m.stallCentis) ? Kind.INDIRECT_ACK : Kind.NACK,
                        m.heardRecently);
            }
        }
    }

    /**
     * Whether a module that has stood still for so many hundredths of a second still counts as
     * serving.
     */
    boolean isResponsive(int hundredths) {
        return hundredths * 100L <= rules.stallTimeoutTicks();
    }

    /** One that was asked to help has an answer, or has none. */
    void indirectResultReceived(long now, Message m) {
        if (probe == null || probe.seq != m.sequenceNumber || probe.over) {
            return;
        }
        if (m.kind == Kind.NACK) {
            probe.refused++;
        } else {
            probe.target.indirectAckAtTicks = now;
            probe.target.hearsThisProcess = m.heardRecently;
            probe.over = true;
            answeredBy(false);
        }
    }

    /** Another asks for help. */
    void pingRequestReceived(long now, Message m, MemberRecord asker) {
        if (m.target.equals(table.self().name()) || favours.size() >= rules.maxMembers()) {
            return;
        }
        Message ping = post.newMessage(Kind.PING, post.nextSequenceNumber());
        ping.target = m.target;
        ping.onBehalfOf = asker.update.name();
        favours.add(
                new Favour(
                        ping.sequenceNumber,
                        m.sequenceNumber,
                        asker.update.name(),
                        m.target,
                        now + rules.answerTimeoutTicks()));
        post.send(now, m.targetAddress, table.get(m.target), ping, 0);
    }

    private void done(long now, Favour f, Kind kind, boolean heard) {
        MemberRecord asker = table.get(f.asker);
        if (asker != null && asker.update.state().isLive()) {
            Message m = post.newMessage(kind, f.theirSeq);
            m.heardRecently = heard;
            post.send(now, asker, m);
        }
    }

    /** All that decides what it does next. */
    String fingerprint(long now) {
        StringBuilder text = new StringBuilder().append(doubt).append(' ').append(roundAt - now);
        if (probe != null) {
            text.append(' ')
                    .append(probe.target.update.name())
                    .append(probe.over)
                    .append(probe.asked)
                    .append(probe.periods)
                    .append(probe.refused)
                    .append(' ')
                    .append(probe.askAt - now);
        }
        favours.forEach(
                f -> text.append(' ').append(f.asker).append(f.target).append(f.until - now));
        urgent.forEach(k -> text.append(' ').append(k.update.name()));
        return text.toString();
    }
}

package cottonlock.membership;

import cottonlock.core.Deterministic;
import cottonlock.membership.Message.Kind;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * What one proxy knows of the others of its tier, and how it finds out.
 *
 * <p>One thread tells it what has come and when its time has come, each with the time in tenths of
 * a millisecond, never going back; it answers by datagrams during the call. It probes one member
 * after the other in shuffled rounds, has others probe who does not answer, and doubts who answers
 * nobody. Doubt that its subject does not clear in time becomes a failure. Changes ride on what is
 * sent anyway; a digest in each datagram tells whose view differs, and what differs is exchanged.
 * docs/membership.md tells why.
 */
@Deterministic
public final class Membership {
    /**
     * Tenths of a millisecond: called so much too late, it has stood still itself, as a busy core
     * does.
     */
    private static final long STILL = 1_000;

    /**
     * How often a starting process raises its life above others of its name before it gives way.
     */
    private static final int RAISES = 4;

    /** Periods of silence after which another process of this name is gone. */
    private static final int GONE = 20;

    /** How often a leaving process says so, a quarter of a period apart. */
    private static final int FAREWELLS = 3;

    private final MembershipProtocolConfig rules;
    private final ProtocolVariants habits;
    private final MembershipActions outlet;
    private final SplittableRandom random;
    private final Set<String> contacts;
    private final boolean closed;
    private final long[] counts = new long[MembershipMetric.values().length];
    private final MemberTable table;
    private final DatagramSender post;
    private final ProbeSchedule ring;
    private final FailureDetector prober;
    private final AntiEntropy exchange;
    private final Set<MemberRecord> suspects = new LinkedHashSet<>();

    /** When the first of their doubts ends; looked for anew after any of them has changed. */
    private long firstEnd;

    private boolean endsChanged = true;

    /** Whoever else goes by this name and is the later one; null: nobody. */
    private MemberUpdate displacedBy;

    /** When that one was last heard itself. */
    private long displacedAt;

    /** A doubt of this process that it must not clear while its module stands still. */
    private MemberUpdate accused;

    private int raises;
    private int farewells;
    private long wakeAt;
    private long contactAt;
    private long joinUntil;
    private long startedAt;
    private long stateSince;
    private long tidyAt;
    private long moduleAt = Long.MAX_VALUE;

    /** Whether what comes is passed over, until it is woken: it has queued up for too long. */
    private boolean deaf;

    /**
     * A process that has just started.
     *
     * @param contacts addresses at which others may be found; its own may be among them
     * @param closed whether nobody else's address is taken
     * @param life milliseconds since 1970, by this machine's clock, however wrong
     * @param tag bytes of each datagram that must stay free, for a tag
     * @throws IllegalArgumentException for a name that can't be a member's
     */
    public Membership(
            MembershipProtocolConfig rules,
            MembershipActions outlet,
            String name,
            String address,
            List<String> contacts,
            boolean closed,
            long generation,
            int tag,
            SplittableRandom random) {
        this(
                rules,
                outlet,
                name,
                address,
                contacts,
                closed,
                generation,
                tag,
                random,
                new ProtocolVariants());
    }

    Membership(
            MembershipProtocolConfig rules,
            MembershipActions outlet,
            String name,
            String address,
            List<String> contacts,
            boolean closed,
            long generation,
            int tag,
            SplittableRandom random,
            ProtocolVariants habits) {
        if (!DatagramCodec.isValidName(name)) {
            throw new IllegalArgumentException(
                    "expected a name of 1 to "
                            + DatagramCodec.MAX_NAME_LENGTH
                            + " letters, digits and marks, found \""
                            + name
                            + "\"");
        }
        this.rules = rules;
        this.habits = habits;
        this.outlet = outlet;
        this.contacts = new TreeSet<>(contacts);
        this.contacts.remove(address);
        this.closed = closed;
        this.random = random;
        long begun = Math.max(1, Math.min(generation, DatagramCodec.MAX_GENERATION / 2));
        this.table =
                new MemberTable(
                        new MemberUpdate(name, address, begun, 0, MemberState.JOINING, 0),
                        rules.maxMembers(),
                        new ContactAddresses(this.contacts));
        this.post = new DatagramSender(rules, table, outlet, counts, tag, habits);
        this.ring = new ProbeSchedule(random);
        this.prober = new FailureDetector(rules, table, ring, post, this::doubt, suspects, random);
        this.exchange = new AntiEntropy(rules, table, ring, post, counts, habits, random);
    }

    /**
     * It begins, or begins anew after another spoke for it; to be called again at the time
     * returned.
     */
    public long start(long now) {
        MemberUpdate me = table.self();
        if (me.state() != MemberState.JOINING) {
            be(
                    now,
                    new MemberUpdate(
                            me.name(),
                            me.address(),
                            me.generation() + 1,
                            0,
                            MemberState.JOINING,
                            0));
        }
        List.copyOf(table.members()).forEach(this::drop);
        displacedBy = null;
        raises = 0;
        startedAt = now;
        stateSince = now;
        prober.start(now);
        contactAt = now;
        joinUntil = now + rules.joinTimeoutTicks();
        tidyAt = now + rules.deadMemberRetentionTicks() / 4;
        wakeAt = now;
        return wakeAt;
    }

    /**
     * When the module's thread last made progress: to be told before each call, by the same clock.
     */
    public void workerProgressedAt(long progressAt) {
        moduleAt = progressAt;
    }

    private long lag(long now) {
        return Math.max(0, now - moduleAt);
    }

    private boolean hung(long now) {
        return lag(now) > rules.stallTimeoutTicks();
    }

    /**
     * Something is counted that happened outside: a datagram was turned down before it came here.
     */
    public void countEvent(MembershipMetric what) {
        counts[what.ordinal()]++;
    }

    /** Each call from outside begins with this. */
    private void begin(long now) {
        post.setStall(lag(now));
        if (now > wakeAt + STILL) {
            stood(now, now - wakeAt);
            wakeAt = now;
        }
    }

    // What has come

    /** A datagram has come; returns when to be called again. */
    public long datagramReceived(long now, String from, byte[] bytes, int length) {
        begin(now);
        Message m = deaf ? null : DatagramCodec.decode(bytes, length);
        if (deaf) {
            countEvent(MembershipMetric.STALE);
        } else if (m == null) {
            countEvent(MembershipMetric.MALFORMED);
        } else if (!m.sender.address().equals(from) || closed && !contacts.contains(from)) {
            countEvent(MembershipMetric.UNKNOWN_SENDERS);
        } else if (m.sender.name().equals(table.self().name())) {
            // Another process of this name; from this very address it is an echo.
            aboutMe(now, m.sender, m.sender.name());
            displacedAt =
                    displacedBy != null && from.equals(displacedBy.address()) ? now : displacedAt;
            if (m.kind != Kind.UPDATES) {
                tellOutdated(now, from, table.self());
            }
        } else {
            heard(now, m, from);
        }
        return plan(now);
    }

    private void heard(long now, Message m, String from) {
        MemberRecord k = table.get(m.sender.name());
        if (k != null && k.update.compareGenerations(m.sender) > 0) {
            // Of a former life: it may be late, or the process does not know yet that it was there
            // before.
            countEvent(MembershipMetric.STALE);
            for (MemberUpdate w : m.updates) {
                // Two that take each other for outdated would never hear why from one another.
                if (w.name().equals(table.self().name())) {
                    aboutMe(now, w, m.sender.name());
                }
            }
            if (m.kind != Kind.UPDATES) {
                tellOutdated(now, from, k.update);
            }
            return;
        }
        boolean anew = k == null || k.update.compareGenerations(m.sender) < 0;
        if (!anew && !k.acceptDatagramNumber(m.datagramNumber)) {
            countEvent(MembershipMetric.DUPLICATES);
            return;
        }
        take(now, m.sender, m.sender.name());
        k = table.get(m.sender.name());
        if (k == null) {
            if (m.kind == Kind.PING && displacedBy == null) {
                // There is no room for it; unanswered it would take this process for dead.
                post.send(now, from, null, post.newMessage(Kind.ACK, m.sequenceNumber), 0);
            }
            return;
        }
        if (anew) {
            k.acceptDatagramNumber(m.datagramNumber);
        }
        prober.messageReceived(now);
        k.heardAtTicks = now;
        k.stallCentis = m.stallCentis;
        int news = 0;
        for (MemberUpdate w : m.updates) {
            news += take(now, w, m.sender.name()) ? 1 : 0;
        }
        if (m.kind == Kind.PARTITION_PAGE || m.kind == Kind.UPDATES) {
            exchange.countNewUpdates(news);
        }
        if (displacedBy == null) {
            act(now, m, k);
            if (exchange.compareDigest(now, k, m.viewDigest)
                    && table.self().state() == MemberState.JOINING
                    && m.sender.state() == MemberState.ALIVE) {
                join(now);
            }
            if (k.isAccused() && m.kind != Kind.PING) {
                tell(now, k);
            }
        }
    }

    private void act(long now, Message m, MemberRecord k) {
        switch (m.kind) {
            case PING -> {
                Message answer = post.newMessage(Kind.ACK, m.sequenceNumber);
                MemberRecord asker = m.onBehalfOf.isEmpty() ? k : table.get(m.onBehalfOf);
                answer.heardRecently =
                        asker != null && now - asker.heardAtTicks < 3 * rules.periodTicks();
                post.send(now, k, answer);
            }
            case ACK -> prober.ackReceived(now, m, k);
            case PING_REQUEST -> prober.pingRequestReceived(now, m, k);
            case INDIRECT_ACK, NACK -> prober.indirectResultReceived(now, m);
            case PARTITION_DIGESTS ->
                    exchange.digestsReceived(
                            now, m, k, random.nextInt(DatagramCodec.MAX_PARTITIONS));
            case PARTITION_PAGE -> exchange.pageReceived(now, m, k);
            case PAYLOAD ->
                    outlet.payloadReceived(
                            k.update.name(), k.update.generation(), m.topic, m.payload);
            default -> {}
        }
    }

    // What is said of members

    /** Takes a word into the view if it outweighs what is there; returns whether it did. */
    private boolean take(long now, MemberUpdate w, String teller) {
        if (w.name().equals(table.self().name())) {
            aboutMe(now, w, teller);
            return false;
        }
        MemberRecord k = table.get(w.name());
        if (k == null) {
            if (w.state().isLive() && (!closed || contacts.contains(w.address())) && room()) {
                k = table.add(w, now);
                ring.add(k);
                applyUpdate(now, k, w, true, describeSource(w, teller));
                return true;
            }
        } else if (habits.supersedes(w, k.update)) {
            if (w.state() == MemberState.FAILED
                    && k.update.state().isLive()
                    && !habits.acceptsFailureReport(k, w, now)) {
                // Both sides of a cut have called each other failed: when it heals, that is no news
                // of the
                // dead. It is looked at from here first; who lives hears of it meanwhile, and
                // contradicts.
                prober.probeBeforeFailing(k);
            } else {
                applyUpdate(now, k, w, false, describeSource(w, teller));
                return true;
            }
        } else if (w.state() == MemberState.SUSPECT
                && k.suspicion != null
                && !k.update.supersedes(w)
                && k.suspicion.confirm(w.accuserHash())) {
            endsChanged = true;
            post.broadcast(w);
        }
        return false;
    }

    private String describeSource(MemberUpdate w, String teller) {
        if (w.name().equals(teller)) {
            return w.state() == MemberState.LEFT ? "it says so itself" : "heard from it";
        }
        MemberRecord accuser = w.accuserHash() == 0 ? null : table.byNameHash(w.accuserHash());
        return (accuser != null && !accuser.update.name().equals(teller)
                        ? "by the word of " + accuser.update.name() + ", "
                        : "")
                + "told by "
                + teller;
    }

    /** A member's word is another now; first: nothing was known of it. */
    private void applyUpdate(
            long now, MemberRecord k, MemberUpdate w, boolean first, String reason) {
        boolean anew = !first && k.update.compareGenerations(w) != 0;
        boolean other = first || anew || k.update.state() != w.state();
        if (anew) {
            table.setDivergedSince(k, MemberRecord.NEVER);
            k.resetForNewGeneration();
        }
        table.replace(k, w, !first);
        suspects.remove(k);
        endsChanged = true;
        k.suspicion = null;
        if (w.state() == MemberState.SUSPECT) {
            double fleet = Math.max(1, Math.log10(table.liveCount() + 1));
            long least = Math.round(rules.suspicionMultiplier() * fleet * rules.periodTicks());
            k.suspicion =
                    new SuspicionTimer(
                            now,
                            w.accuserHash(),
                            least,
                            Math.round(least * rules.maxSuspicionMultiplier()),
                            Math.min(rules.confirmationCount(), table.liveCount() - 1));
            suspects.add(k);
            prober.maybeProbeSoon(k);
        }
        post.broadcast(w);
        if (other) {
            k.stateSinceTicks = now;
            k.reason = anew ? "started again, " + reason : reason;
            outlet.memberStateChanged(w.name(), w.state(), k.reason);
        }
    }

    /** Makes room for one more, at the cost of the one that has been dead for longest. */
    private boolean room() {
        if (!table.isFull()) {
            return true;
        }
        MemberRecord oldest = table.longestDead();
        if (oldest == null) {
            countEvent(MembershipMetric.REJECTED_WHEN_FULL);
            return false;
        }
        drop(oldest);
        return true;
    }

    private void drop(MemberRecord k) {
        table.remove(k);
        ring.remove(k);
        suspects.remove(k);
        endsChanged = true;
    }

    private void doubt(long now, MemberRecord k, String reason) {
        int self = MemberUpdate.nameHash(table.self().name());
        endsChanged = true;
        if (k.update.state() == MemberState.SUSPECT) {
            if (k.suspicion.confirm(self)) {
                post.broadcast(k.update.withState(MemberState.SUSPECT, self));
            }
        } else if (k.update.state().isLive()) {
            countEvent(MembershipMetric.SUSPICIONS);
            applyUpdate(now, k, k.update.withState(MemberState.SUSPECT, self), false, reason);
            if (k.contested) {
                k.suspicion.confirmFully();
            }
        }
    }

    /** When the first doubt ends; the end of time where there is none. */
    private long firstEnd() {
        if (endsChanged) {
            firstEnd = Long.MAX_VALUE;
            for (MemberRecord k : suspects) {
                firstEnd = Math.min(firstEnd, habits.suspicionExpiryTicks(k.suspicion));
            }
            endsChanged = false;
        }
        return firstEnd;
    }

    private void judge(long now) {
        if (now < firstEnd()) {
            return;
        }
        endsChanged = true;
        for (MemberRecord k : List.copyOf(suspects)) {
            if (now < habits.suspicionExpiryTicks(k.suspicion)) {
                continue;
            }
            // Own ears count for more than what others say they have not heard.
            boolean heard =
                    k.heardAtTicks > k.suspicion.startedAtTicks()
                            && prober.isResponsive(k.stallCentis);
            if (heard && k.suspicion.defer(now, rules.periodTicks())) {
                tell(now, k);
                continue;
            }
            // Nobody is called failed at others' word alone, who may have missed that it has
            // cleared itself.
            if (!k.suspicion.accusedBy(MemberUpdate.nameHash(table.self().name()))
                    && habits.probesBeforeFailing()
                    && k.suspicion.defer(now, rules.periodTicks())) {
                prober.probeBeforeFailing(k);
                continue;
            }
            countEvent(MembershipMetric.FAILURES);
            String reason =
                    "doubted for "
                            + (now - k.suspicion.startedAtTicks()) / 10
                            + " ms by "
                            + k.suspicion.accuserCount()
                            + ", not cleared";
            applyUpdate(
                    now,
                    k,
                    k.update.withState(
                            MemberState.FAILED, MemberUpdate.nameHash(table.self().name())),
                    false,
                    reason);
        }
    }

    // What is said of this process itself

    private void aboutMe(long now, MemberUpdate w, String teller) {
        MemberUpdate me = table.self();
        int lives = w.compareGenerations(me);
        boolean stranger =
                closed && !w.address().equals(me.address()) && !contacts.contains(w.address());
        if (lives < 0 || me.state() == MemberState.LEFT || stranger) {
            return;
        }
        if (lives > 0) {
            boolean starting =
                    me.state() == MemberState.JOINING && displacedBy == null && raises < RAISES;
            if (!w.state().isLive() || w.address().equals(me.address()) || starting) {
                // It was this proxy in its former life, whatever the clocks say, or has given the
                // name free.
                raises += starting ? 1 : 0;
                comeBack(now, w);
            } else {
                if (displacedBy == null) {
                    outlet.memberStateChanged(
                            me.name(),
                            MemberState.LEFT,
                            "displaced: another process at "
                                    + w.address()
                                    + " goes by this name and has started later, told by "
                                    + teller);
                }
                displacedAt = displacedBy == null ? now : displacedAt;
                displacedBy = w;
            }
        } else if (displacedBy != null) {
            return;
        } else if (w.state() == MemberState.LEFT) {
            be(
                    now,
                    new MemberUpdate(
                            me.name(),
                            me.address(),
                            habits.nextGeneration(w.generation()),
                            0,
                            me.state(),
                            0));
        } else if (w.incarnation() > me.incarnation()
                || w.incarnation() == me.incarnation()
                        && w.state().compareTo(MemberState.ALIVE) > 0) {
            accused = accused == null || w.supersedes(accused) ? w : accused;
            refute(now, teller);
        }
    }

    /** Begins a life after the one that is told of. */
    private void comeBack(long now, MemberUpdate before) {
        MemberUpdate me = table.self();
        be(
                now,
                new MemberUpdate(
                        me.name(),
                        me.address(),
                        habits.nextGeneration(before.generation()),
                        0,
                        MemberState.JOINING,
                        0));
        joinUntil = now + rules.joinTimeoutTicks();
        if (displacedBy != null) {
            displacedBy = null;
            prober.start(now);
            outlet.memberStateChanged(
                    me.name(), MemberState.JOINING, "the other process of this name is gone");
        }
    }

    private void refute(long now, String teller) {
        if (accused != null && !hung(now)) {
            MemberUpdate me = table.self();
            countEvent(MembershipMetric.REFUTATIONS);
            outlet.memberStateChanged(
                    me.name(),
                    me.state(),
                    "contradicts that it is "
                            + accused.state().name().toLowerCase(Locale.ROOT)
                            + ", told by "
                            + teller);
            if (accused.compareGenerations(me) == 0 && accused.incarnation() >= me.incarnation()) {
                int incarnation = habits.nextIncarnation(accused.incarnation());
                be(
                        now,
                        new MemberUpdate(
                                me.name(),
                                me.address(),
                                me.generation(),
                                incarnation,
                                me.state(),
                                0));
            }
            accused = null;
            prober.degradeLocalHealth(1);
        }
    }

    /** This process says something else of itself. */
    private void be(long now, MemberUpdate w) {
        if (w.compareGenerations(table.self()) != 0) {
            post.resetDatagramNumbers();
        }
        if (w.state() != table.self().state()) {
            stateSince = now;
        }
        table.setSelf(w);
        post.broadcast(w);
    }

    // What is done by itself

    /** The time asked for has come, or is past; returns when to be called again. */
    public long timerFired(long now) {
        begin(now);
        deaf = false;
        refute(now, "others");
        if (table.self().state() == MemberState.LEFT) {
            farewell(now);
        } else if (displacedBy != null) {
            if (now >= contactAt) {
                askAfterMyself(now);
            }
        } else {
            prober.timerFired(now);
            judge(now);
            if (now >= contactAt) {
                call(now);
            }
            if (table.self().state() == MemberState.JOINING && now >= joinUntil) {
                join(now);
            }
            if (now >= exchange.dueAtTicks()) {
                exchange.timerFired(now);
            }
        }
        if (now >= tidyAt) {
            tidy(now);
        }
        return plan(now);
    }

    /** Whether its time has come: it may have asked to be called earlier or later since. */
    public boolean isDue(long now) {
        return now >= wakeAt;
    }

    private long plan(long now) {
        long at = Math.min(tidyAt, contactAt);
        if (table.self().state() != MemberState.LEFT && displacedBy == null) {
            at = Math.min(at, Math.min(prober.dueAtTicks(), exchange.dueAtTicks()));
            at = Math.min(at, firstEnd());
            if (table.self().state() == MemberState.JOINING) {
                at = Math.min(at, joinUntil);
            }
        }
        wakeAt = Math.max(now, at);
        return wakeAt;
    }

    /**
     * This process has stood still: what it waited for meanwhile may have come and gone unheard.
     */
    private void stood(long now, long late) {
        if (rules.maxLocalHealthScore() == 0 || !habits.tracksLocalHealth()) {
            return;
        }
        countEvent(MembershipMetric.LOCAL_STALLS);
        prober.degradeLocalHealth(late > rules.periodTicks() ? 2 : 1);
        prober.start(now);
        endsChanged = true;
        for (MemberRecord k : suspects) {
            k.suspicion.extendForStall(now, late);
        }
        if (late > rules.deadMemberRetentionTicks() / 2
                && table.self().state() != MemberState.LEFT) {
            // Others may have forgotten who has died meanwhile: nothing that it knows, or that has
            // waited in
            // its socket, may pass for news.
            deaf = true;
            List.copyOf(table.members()).forEach(this::drop);
            MemberUpdate me = table.self();
            be(
                    now,
                    new MemberUpdate(
                            me.name(),
                            me.address(),
                            me.generation(),
                            me.incarnation() + 1,
                            MemberState.JOINING,
                            0));
            joinUntil = now + rules.joinTimeoutTicks();
        }
    }

    /** Calls where nobody is known to live: who has failed may be back, or beyond a cut. */
    private void call(long now) {
        boolean alone = table.self().state() == MemberState.JOINING || table.liveCount() == 0;
        List<String> open = table.contactAddresses().candidates(table.self().address());
        for (int n = alone ? 2 : 1; n > 0 && !open.isEmpty(); n--) {
            String address = open.remove(random.nextInt(open.size()));
            post.send(now, address, null, post.newMessage(Kind.PING, post.nextSequenceNumber()), 0);
        }
        contactAt = now + rules.periodTicks() * (alone ? 1 : rules.contactIntervalPeriods());
    }

    /**
     * Another process goes by this name: asks it whether it is still there, and one more whether it
     * is.
     */
    private void askAfterMyself(long now) {
        if (now - displacedAt > GONE * rules.periodTicks()) {
            comeBack(now, displacedBy);
            return;
        }
        post.send(
                now,
                displacedBy.address(),
                null,
                post.newMessage(Kind.PING, post.nextSequenceNumber()),
                0);
        for (MemberRecord k : ring.sample(1, k -> k.update.state().isLive())) {
            post.send(
                    now,
                    k.update.address(),
                    null,
                    post.newMessage(Kind.PING, post.nextSequenceNumber()),
                    0);
        }
        contactAt = now + 4 * rules.periodTicks();
    }

    /** Takes itself for one of them once its view is theirs, or for the first where nobody is. */
    private void join(long now) {
        boolean agrees =
                table.liveCount() == 0
                        || table.anyMatch(
                                k ->
                                        k.update.state().isLive()
                                                && k.heardAtTicks >= startedAt
                                                && !k.diverges());
        if (agrees || now - startedAt > 5 * rules.joinTimeoutTicks()) {
            be(now, table.self().withState(MemberState.ALIVE, 0));
            outlet.memberStateChanged(
                    table.self().name(),
                    MemberState.ALIVE,
                    table.liveCount() == 0 ? "nobody else is there" : "its view is that of others");
        } else {
            joinUntil = now + rules.joinTimeoutTicks() / 4;
        }
    }

    private void tidy(long now) {
        tidyAt = now + rules.deadMemberRetentionTicks() / 4;
        for (MemberRecord k : List.copyOf(table.members())) {
            if (!k.update.state().isLive()
                    && now - k.stateSinceTicks >= rules.deadMemberRetentionTicks()) {
                drop(k);
            }
        }
    }

    /** The process ends on purpose: it says so, and answers on until it has ended. */
    public long leave(long now) {
        if (table.self().state() != MemberState.LEFT) {
            be(now, table.self().withState(MemberState.LEFT, 0));
            contactAt = now;
            farewell(now);
        }
        return plan(now);
    }

    private void farewell(long now) {
        if (now < contactAt) {
            return;
        }
        farewells++;
        contactAt = farewells < FAREWELLS ? now + rules.periodTicks() / 4 : Long.MAX_VALUE;
        if (displacedBy == null) {
            for (MemberRecord k :
                    ring.sample(2 + rules.indirectProbeCount(), k -> k.update.state().isLive())) {
                post.send(now, k, post.newMessage(Kind.UPDATES));
            }
        }
    }

    /** Tells a member what is held of it, so that it can contradict. */
    private void tell(long now, MemberRecord k) {
        if (now - k.notifiedAtTicks >= rules.answerTimeoutTicks()) {
            k.notifiedAtTicks = now;
            post.send(now, k, post.newMessage(Kind.UPDATES));
        }
    }

    /** Tells whoever speaks for a former life what is known of a later one. */
    private void tellOutdated(long now, String address, MemberUpdate newer) {
        if (!address.equals(table.self().address())) {
            DatagramCodec.Writer out = post.writerFor(post.newMessage(Kind.UPDATES));
            out.addUpdate(newer);
            post.send(now, address, out, DatagramSender.LOW_PRIORITY_RESERVE);
        }
    }

    // What others ride on, and what is seen

    /** What a rider's body may hold at most, in bytes. */
    public int maxPayloadBytes() {
        return post.freeBytes(Kind.PAYLOAD);
    }

    /** Sends what another subsystem tells a live member; false: it could not be sent now. */
    public boolean sendPayload(long now, String name, int topic, byte[] body) {
        MemberRecord k = table.get(name);
        if (k == null
                || !k.update.state().isLive()
                || table.self().state() == MemberState.LEFT
                || displacedBy != null) {
            return false;
        }
        Message m = post.newMessage(Kind.PAYLOAD);
        m.topic = topic;
        m.payload = body;
        return post.send(
                now, k.update.address(), post.writerFor(m), DatagramSender.LOW_PRIORITY_RESERVE);
    }

    /** How many others may be alive, as far as is known here. */
    public int liveOthers() {
        return table.liveCount();
    }

    /**
     * Of the view: those that hold the same members for alive have the same, whatever they doubt.
     */
    public long digest() {
        return table.digest();
    }

    /** What another is held for; null: it is not known. */
    public MemberState stateOf(String name) {
        MemberRecord k = table.get(name);
        return k == null ? null : k.update.state();
    }

    /** The view as it stands. */
    public MembershipView view(long now) {
        List<MembershipView.Member> lines = new ArrayList<>();
        MemberUpdate me = table.self();
        lines.add(
                new MembershipView.Member(
                        me.name(),
                        me.address(),
                        me.generation(),
                        me.incarnation(),
                        me.state(),
                        stateSince,
                        displacedBy == null
                                ? "this process"
                                : "displaced by one at " + displacedBy.address(),
                        MembershipView.Reach.SELF,
                        -1));
        for (MemberRecord k : table.members()) {
            lines.add(
                    new MembershipView.Member(
                            k.update.name(),
                            k.update.address(),
                            k.update.generation(),
                            k.update.incarnation(),
                            k.update.state(),
                            k.stateSinceTicks,
                            k.reason,
                            reach(k, now),
                            k.diverges() ? now - k.divergedSinceTicks : -1));
        }
        Map<MembershipMetric, Long> counted = new EnumMap<>(MembershipMetric.class);
        for (MembershipMetric c : MembershipMetric.values()) {
            counted.put(c, counts[c.ordinal()]);
        }
        return new MembershipView(
                lines, table.digest(), prober.localHealthScore(), hung(now), counted);
    }

    /** Whether it is reached directly, and which way is cut where it is not. */
    private MembershipView.Reach reach(MemberRecord k, long now) {
        if (!k.update.state().isLive()) {
            return MembershipView.Reach.UNREACHABLE;
        }
        if (k.ackedAtTicks >= k.indirectAckAtTicks) {
            return k.ackedAtTicks == MemberRecord.NEVER
                    ? MembershipView.Reach.UNKNOWN
                    : MembershipView.Reach.BIDIRECTIONAL;
        }
        long round =
                rules.periodTicks() * (table.liveCount() + 2) * (1 + prober.localHealthScore());
        return now - k.heardAtTicks < 2 * round
                ? MembershipView.Reach.INBOUND_ONLY
                : k.hearsThisProcess
                        ? MembershipView.Reach.OUTBOUND_ONLY
                        : MembershipView.Reach.INDIRECT;
    }

    /**
     * All that decides what comes next, for whoever plays every order of messages: alike means the
     * same.
     */
    String fingerprint(long now) {
        StringBuilder text = new StringBuilder();
        text.append(table.self())
                .append(displacedBy)
                .append(accused)
                .append(raises)
                .append(' ')
                .append(contactAt - now)
                .append(' ')
                .append(exchange.dueAtTicks() - now)
                .append(' ')
                .append(joinUntil - now)
                .append('\n')
                .append(prober.fingerprint(now))
                .append('\n')
                .append(ring);
        for (MemberRecord k : table.members()) {
            text.append('\n')
                    .append(k.update)
                    .append(k.diverges())
                    .append(k.stallCentis)
                    .append(now - k.heardAtTicks < 3 * rules.periodTicks())
                    .append(k.heardAtTicks >= startedAt);
            if (k.suspicion != null) {
                text.append(k.suspicion.accuserCount())
                        .append(' ')
                        .append(k.suspicion.expiresAtTicks() - now);
            }
        }
        return text.append("\ntelling ").append(post.pendingUpdates()).toString();
    }
}

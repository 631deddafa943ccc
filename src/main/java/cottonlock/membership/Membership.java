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

    /** Where its datagrams go, and who is told of changes. */
    public interface Outlet {
        /** Sends a datagram, or loses it. */
        void send(String address, byte[] datagram);

        /** A member is something else now, for a reason in words. */
        void changed(String name, MemberState state, String reason);

        /**
         * Another subsystem of that member's process has told something; {@code topic} says which.
         */
        default void rode(String name, long life, int topic, byte[] body) {}
    }

    private final MembershipProtocolConfig rules;
    private final ProtocolVariants habits;
    private final Outlet outlet;
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
            Outlet outlet,
            String name,
            String address,
            List<String> contacts,
            boolean closed,
            long life,
            int tag,
            SplittableRandom random) {
        this(
                rules,
                outlet,
                name,
                address,
                contacts,
                closed,
                life,
                tag,
                random,
                new ProtocolVariants());
    }

    Membership(
            MembershipProtocolConfig rules,
            Outlet outlet,
            String name,
            String address,
            List<String> contacts,
            boolean closed,
            long life,
            int tag,
            SplittableRandom random,
            ProtocolVariants habits) {
        if (!DatagramCodec.isName(name)) {
            throw new IllegalArgumentException(
                    "expected a name of 1 to "
                            + DatagramCodec.LONGEST_NAME
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
        long begun = Math.max(1, Math.min(life, DatagramCodec.LAST_LIFE / 2));
        this.table =
                new MemberTable(
                        new MemberUpdate(name, address, begun, 0, MemberState.JOINING, 0),
                        rules.most(),
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
        MemberUpdate me = table.me();
        if (me.state() != MemberState.JOINING) {
            be(
                    now,
                    new MemberUpdate(
                            me.name(), me.address(), me.life() + 1, 0, MemberState.JOINING, 0));
        }
        List.copyOf(table.all()).forEach(this::drop);
        displacedBy = null;
        raises = 0;
        startedAt = now;
        stateSince = now;
        prober.start(now);
        contactAt = now;
        joinUntil = now + rules.join();
        tidyAt = now + rules.forget() / 4;
        wakeAt = now;
        return wakeAt;
    }

    /**
     * When the module's thread last made progress: to be told before each call, by the same clock.
     */
    public void module(long progressAt) {
        moduleAt = progressAt;
    }

    private long lag(long now) {
        return Math.max(0, now - moduleAt);
    }

    private boolean hung(long now) {
        return lag(now) > rules.hung();
    }

    /**
     * Something is counted that happened outside: a datagram was turned down before it came here.
     */
    public void count(MembershipMetric what) {
        counts[what.ordinal()]++;
    }

    /** Each call from outside begins with this. */
    private void begin(long now) {
        post.lag(lag(now));
        if (now > wakeAt + STILL) {
            stood(now, now - wakeAt);
            wakeAt = now;
        }
    }

    // What has come

    /** A datagram has come; returns when to be called again. */
    public long heard(long now, String from, byte[] bytes, int length) {
        begin(now);
        Message m = deaf ? null : DatagramCodec.read(bytes, length);
        if (deaf) {
            count(MembershipMetric.OUTDATED);
        } else if (m == null) {
            count(MembershipMetric.MALFORMED);
        } else if (!m.sender.address().equals(from) || closed && !contacts.contains(from)) {
            count(MembershipMetric.STRANGERS);
        } else if (m.sender.name().equals(table.me().name())) {
            // Another process of this name; from this very address it is an echo.
            aboutMe(now, m.sender, m.sender.name());
            displacedAt =
                    displacedBy != null && from.equals(displacedBy.address()) ? now : displacedAt;
            if (m.kind != Kind.WORDS) {
                tellOutdated(now, from, table.me());
            }
        } else {
            heard(now, m, from);
        }
        return plan(now);
    }

    private void heard(long now, Message m, String from) {
        MemberRecord k = table.get(m.sender.name());
        if (k != null && k.word.compareLives(m.sender) > 0) {
            // Of a former life: it may be late, or the process does not know yet that it was there
            // before.
            count(MembershipMetric.OUTDATED);
            for (MemberUpdate w : m.words) {
                // Two that take each other for outdated would never hear why from one another.
                if (w.name().equals(table.me().name())) {
                    aboutMe(now, w, m.sender.name());
                }
            }
            if (m.kind != Kind.WORDS) {
                tellOutdated(now, from, k.word);
            }
            return;
        }
        boolean anew = k == null || k.word.compareLives(m.sender) < 0;
        if (!anew && !k.fresh(m.counter)) {
            count(MembershipMetric.REPEATED);
            return;
        }
        take(now, m.sender, m.sender.name());
        k = table.get(m.sender.name());
        if (k == null) {
            if (m.kind == Kind.PING && displacedBy == null) {
                // There is no room for it; unanswered it would take this process for dead.
                post.send(now, from, null, post.message(Kind.ACK, m.seq), 0);
            }
            return;
        }
        if (anew) {
            k.fresh(m.counter);
        }
        prober.heard(now);
        k.heardAt = now;
        k.lag = m.lag;
        int news = 0;
        for (MemberUpdate w : m.words) {
            news += take(now, w, m.sender.name()) ? 1 : 0;
        }
        if (m.kind == Kind.PAGE || m.kind == Kind.WORDS) {
            exchange.brought(news);
        }
        if (displacedBy == null) {
            act(now, m, k);
            if (exchange.compare(now, k, m.digest)
                    && table.me().state() == MemberState.JOINING
                    && m.sender.state() == MemberState.ALIVE) {
                join(now);
            }
            if (k.accused() && m.kind != Kind.PING) {
                tell(now, k);
            }
        }
    }

    private void act(long now, Message m, MemberRecord k) {
        switch (m.kind) {
            case PING -> {
                Message answer = post.message(Kind.ACK, m.seq);
                MemberRecord asker = m.behalf.isEmpty() ? k : table.get(m.behalf);
                answer.heard = asker != null && now - asker.heardAt < 3 * rules.period();
                post.send(now, k, answer);
            }
            case ACK -> prober.answered(now, m, k);
            case ASK -> prober.favour(now, m, k);
            case RELAY, NACK -> prober.helped(now, m);
            case MARKS -> exchange.marks(now, m, k, random.nextInt(DatagramCodec.MOST_PARTS));
            case PAGE -> exchange.correct(now, m, k);
            case RIDER -> outlet.rode(k.word.name(), k.word.life(), m.topic, m.body);
            default -> {}
        }
    }

    // What is said of members

    /** Takes a word into the view if it outweighs what is there; returns whether it did. */
    private boolean take(long now, MemberUpdate w, String teller) {
        if (w.name().equals(table.me().name())) {
            aboutMe(now, w, teller);
            return false;
        }
        MemberRecord k = table.get(w.name());
        if (k == null) {
            if (w.state().lives() && (!closed || contacts.contains(w.address())) && room()) {
                k = table.add(w, now);
                ring.add(k);
                changed(now, k, w, true, by(w, teller));
                return true;
            }
        } else if (habits.outweighs(w, k.word)) {
            if (w.state() == MemberState.FAILED
                    && k.word.state().lives()
                    && !habits.believes(k, w, now)) {
                // Both sides of a cut have called each other failed: when it heals, that is no news
                // of the
                // dead. It is looked at from here first; who lives hears of it meanwhile, and
                // contradicts.
                prober.contest(k);
            } else {
                changed(now, k, w, false, by(w, teller));
                return true;
            }
        } else if (w.state() == MemberState.SUSPECT
                && k.suspicion != null
                && !k.word.outweighs(w)
                && k.suspicion.confirm(w.by())) {
            endsChanged = true;
            post.repeat(w);
        }
        return false;
    }

    private String by(MemberUpdate w, String teller) {
        if (w.name().equals(teller)) {
            return w.state() == MemberState.LEFT ? "it says so itself" : "heard from it";
        }
        MemberRecord accuser = w.by() == 0 ? null : table.hashed(w.by());
        return (accuser != null && !accuser.word.name().equals(teller)
                        ? "by the word of " + accuser.word.name() + ", "
                        : "")
                + "told by "
                + teller;
    }

    /** A member's word is another now; first: nothing was known of it. */
    private void changed(long now, MemberRecord k, MemberUpdate w, boolean first, String reason) {
        boolean anew = !first && k.word.compareLives(w) != 0;
        boolean other = first || anew || k.word.state() != w.state();
        if (anew) {
            table.differs(k, MemberRecord.NEVER);
            k.startedAnew();
        }
        table.replace(k, w, !first);
        suspects.remove(k);
        endsChanged = true;
        k.suspicion = null;
        if (w.state() == MemberState.SUSPECT) {
            double fleet = Math.max(1, Math.log10(table.alive() + 1));
            long least = Math.round(rules.suspicion() * fleet * rules.period());
            k.suspicion =
                    new SuspicionTimer(
                            now,
                            w.by(),
                            least,
                            Math.round(least * rules.longest()),
                            Math.min(rules.confirmations(), table.alive() - 1));
            suspects.add(k);
            prober.urge(k);
        }
        post.repeat(w);
        if (other) {
            k.since = now;
            k.reason = anew ? "started again, " + reason : reason;
            outlet.changed(w.name(), w.state(), k.reason);
        }
    }

    /** Makes room for one more, at the cost of the one that has been dead for longest. */
    private boolean room() {
        if (!table.full()) {
            return true;
        }
        MemberRecord oldest = table.longestDead();
        if (oldest == null) {
            count(MembershipMetric.FULL);
            return false;
        }
        drop(oldest);
        return true;
    }

    private void drop(MemberRecord k) {
        table.drop(k);
        ring.remove(k);
        suspects.remove(k);
        endsChanged = true;
    }

    private void doubt(long now, MemberRecord k, String reason) {
        int self = MemberUpdate.hash(table.me().name());
        endsChanged = true;
        if (k.word.state() == MemberState.SUSPECT) {
            if (k.suspicion.confirm(self)) {
                post.repeat(k.word.with(MemberState.SUSPECT, self));
            }
        } else if (k.word.state().lives()) {
            count(MembershipMetric.SUSPICIONS);
            changed(now, k, k.word.with(MemberState.SUSPECT, self), false, reason);
            if (k.contested) {
                k.suspicion.certain();
            }
        }
    }

    /** When the first doubt ends; the end of time where there is none. */
    private long firstEnd() {
        if (endsChanged) {
            firstEnd = Long.MAX_VALUE;
            for (MemberRecord k : suspects) {
                firstEnd = Math.min(firstEnd, habits.end(k.suspicion));
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
            if (now < habits.end(k.suspicion)) {
                continue;
            }
            // Own ears count for more than what others say they have not heard.
            boolean heard = k.heardAt > k.suspicion.since() && prober.sound(k.lag);
            if (heard && k.suspicion.defer(now, rules.period())) {
                tell(now, k);
                continue;
            }
            // Nobody is called failed at others' word alone, who may have missed that it has
            // cleared itself.
            if (!k.suspicion.accusedBy(MemberUpdate.hash(table.me().name()))
                    && habits.looksItself()
                    && k.suspicion.defer(now, rules.period())) {
                prober.contest(k);
                continue;
            }
            count(MembershipMetric.FAILURES);
            String reason =
                    "doubted for "
                            + (now - k.suspicion.since()) / 10
                            + " ms by "
                            + k.suspicion.accusers()
                            + ", not cleared";
            changed(
                    now,
                    k,
                    k.word.with(MemberState.FAILED, MemberUpdate.hash(table.me().name())),
                    false,
                    reason);
        }
    }

    // What is said of this process itself

    private void aboutMe(long now, MemberUpdate w, String teller) {
        MemberUpdate me = table.me();
        int lives = w.compareLives(me);
        boolean stranger =
                closed && !w.address().equals(me.address()) && !contacts.contains(w.address());
        if (lives < 0 || me.state() == MemberState.LEFT || stranger) {
            return;
        }
        if (lives > 0) {
            boolean starting =
                    me.state() == MemberState.JOINING && displacedBy == null && raises < RAISES;
            if (!w.state().lives() || w.address().equals(me.address()) || starting) {
                // It was this proxy in its former life, whatever the clocks say, or has given the
                // name free.
                raises += starting ? 1 : 0;
                comeBack(now, w);
            } else {
                if (displacedBy == null) {
                    outlet.changed(
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
                            me.name(), me.address(), habits.begun(w.life()), 0, me.state(), 0));
        } else if (w.turn() > me.turn()
                || w.turn() == me.turn() && w.state().compareTo(MemberState.ALIVE) > 0) {
            accused = accused == null || w.outweighs(accused) ? w : accused;
            refute(now, teller);
        }
    }

    /** Begins a life after the one that is told of. */
    private void comeBack(long now, MemberUpdate before) {
        MemberUpdate me = table.me();
        be(
                now,
                new MemberUpdate(
                        me.name(),
                        me.address(),
                        habits.begun(before.life()),
                        0,
                        MemberState.JOINING,
                        0));
        joinUntil = now + rules.join();
        if (displacedBy != null) {
            displacedBy = null;
            prober.start(now);
            outlet.changed(
                    me.name(), MemberState.JOINING, "the other process of this name is gone");
        }
    }

    private void refute(long now, String teller) {
        if (accused != null && !hung(now)) {
            MemberUpdate me = table.me();
            count(MembershipMetric.REFUTATIONS);
            outlet.changed(
                    me.name(),
                    me.state(),
                    "contradicts that it is "
                            + accused.state().name().toLowerCase(Locale.ROOT)
                            + ", told by "
                            + teller);
            if (accused.compareLives(me) == 0 && accused.turn() >= me.turn()) {
                int turn = habits.raised(accused.turn());
                be(now, new MemberUpdate(me.name(), me.address(), me.life(), turn, me.state(), 0));
            }
            accused = null;
            prober.doubtMore(1);
        }
    }

    /** This process says something else of itself. */
    private void be(long now, MemberUpdate w) {
        if (w.compareLives(table.me()) != 0) {
            post.startAnew();
        }
        if (w.state() != table.me().state()) {
            stateSince = now;
        }
        table.be(w);
        post.repeat(w);
    }

    // What is done by itself

    /** The time asked for has come, or is past; returns when to be called again. */
    public long wake(long now) {
        begin(now);
        deaf = false;
        refute(now, "others");
        if (table.me().state() == MemberState.LEFT) {
            farewell(now);
        } else if (displacedBy != null) {
            if (now >= contactAt) {
                askAfterMyself(now);
            }
        } else {
            prober.wake(now);
            judge(now);
            if (now >= contactAt) {
                call(now);
            }
            if (table.me().state() == MemberState.JOINING && now >= joinUntil) {
                join(now);
            }
            if (now >= exchange.at()) {
                exchange.wake(now);
            }
        }
        if (now >= tidyAt) {
            tidy(now);
        }
        return plan(now);
    }

    /** Whether its time has come: it may have asked to be called earlier or later since. */
    public boolean wakesBy(long now) {
        return now >= wakeAt;
    }

    private long plan(long now) {
        long at = Math.min(tidyAt, contactAt);
        if (table.me().state() != MemberState.LEFT && displacedBy == null) {
            at = Math.min(at, Math.min(prober.at(), exchange.at()));
            at = Math.min(at, firstEnd());
            if (table.me().state() == MemberState.JOINING) {
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
        if (rules.doubts() == 0 || !habits.doubtsItself()) {
            return;
        }
        count(MembershipMetric.STANDSTILLS);
        prober.doubtMore(late > rules.period() ? 2 : 1);
        prober.start(now);
        endsChanged = true;
        for (MemberRecord k : suspects) {
            k.suspicion.stood(now, late);
        }
        if (late > rules.forget() / 2 && table.me().state() != MemberState.LEFT) {
            // Others may have forgotten who has died meanwhile: nothing that it knows, or that has
            // waited in
            // its socket, may pass for news.
            deaf = true;
            List.copyOf(table.all()).forEach(this::drop);
            MemberUpdate me = table.me();
            be(
                    now,
                    new MemberUpdate(
                            me.name(),
                            me.address(),
                            me.life(),
                            me.turn() + 1,
                            MemberState.JOINING,
                            0));
            joinUntil = now + rules.join();
        }
    }

    /** Calls where nobody is known to live: who has failed may be back, or beyond a cut. */
    private void call(long now) {
        boolean alone = table.me().state() == MemberState.JOINING || table.alive() == 0;
        List<String> open = table.addresses().open(table.me().address());
        for (int n = alone ? 2 : 1; n > 0 && !open.isEmpty(); n--) {
            String address = open.remove(random.nextInt(open.size()));
            post.send(now, address, null, post.message(Kind.PING, post.next()), 0);
        }
        contactAt = now + rules.period() * (alone ? 1 : rules.contact());
    }

    /**
     * Another process goes by this name: asks it whether it is still there, and one more whether it
     * is.
     */
    private void askAfterMyself(long now) {
        if (now - displacedAt > GONE * rules.period()) {
            comeBack(now, displacedBy);
            return;
        }
        post.send(now, displacedBy.address(), null, post.message(Kind.PING, post.next()), 0);
        for (MemberRecord k : ring.some(1, k -> k.word.state().lives())) {
            post.send(now, k.word.address(), null, post.message(Kind.PING, post.next()), 0);
        }
        contactAt = now + 4 * rules.period();
    }

    /** Takes itself for one of them once its view is theirs, or for the first where nobody is. */
    private void join(long now) {
        boolean agrees =
                table.alive() == 0
                        || table.any(
                                k ->
                                        k.word.state().lives()
                                                && k.heardAt >= startedAt
                                                && !k.differs());
        if (agrees || now - startedAt > 5 * rules.join()) {
            be(now, table.me().with(MemberState.ALIVE, 0));
            outlet.changed(
                    table.me().name(),
                    MemberState.ALIVE,
                    table.alive() == 0 ? "nobody else is there" : "its view is that of others");
        } else {
            joinUntil = now + rules.join() / 4;
        }
    }

    private void tidy(long now) {
        tidyAt = now + rules.forget() / 4;
        for (MemberRecord k : List.copyOf(table.all())) {
            if (!k.word.state().lives() && now - k.since >= rules.forget()) {
                drop(k);
            }
        }
    }

    /** The process ends on purpose: it says so, and answers on until it has ended. */
    public long leave(long now) {
        if (table.me().state() != MemberState.LEFT) {
            be(now, table.me().with(MemberState.LEFT, 0));
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
        contactAt = farewells < FAREWELLS ? now + rules.period() / 4 : Long.MAX_VALUE;
        if (displacedBy == null) {
            for (MemberRecord k : ring.some(2 + rules.helpers(), k -> k.word.state().lives())) {
                post.send(now, k, post.message(Kind.WORDS));
            }
        }
    }

    /** Tells a member what is held of it, so that it can contradict. */
    private void tell(long now, MemberRecord k) {
        if (now - k.toldAt >= rules.answer()) {
            k.toldAt = now;
            post.send(now, k, post.message(Kind.WORDS));
        }
    }

    /** Tells whoever speaks for a former life what is known of a later one. */
    private void tellOutdated(long now, String address, MemberUpdate newer) {
        if (!address.equals(table.me().address())) {
            DatagramCodec.Writer out = post.begin(post.message(Kind.WORDS));
            out.word(newer);
            post.send(now, address, out, DatagramSender.SPARE);
        }
    }

    // What others ride on, and what is seen

    /** What a rider's body may hold at most, in bytes. */
    public int riderRoom() {
        return post.room(Kind.RIDER);
    }

    /** Sends what another subsystem tells a live member; false: it could not be sent now. */
    public boolean ride(long now, String name, int topic, byte[] body) {
        MemberRecord k = table.get(name);
        if (k == null
                || !k.word.state().lives()
                || table.me().state() == MemberState.LEFT
                || displacedBy != null) {
            return false;
        }
        Message m = post.message(Kind.RIDER);
        m.topic = topic;
        m.body = body;
        return post.send(now, k.word.address(), post.begin(m), DatagramSender.SPARE);
    }

    /** How many others may be alive, as far as is known here. */
    public int alive() {
        return table.alive();
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
        return k == null ? null : k.word.state();
    }

    /** The view as it stands. */
    public MembershipView view(long now) {
        List<MembershipView.Line> lines = new ArrayList<>();
        MemberUpdate me = table.me();
        lines.add(
                new MembershipView.Line(
                        me.name(),
                        me.address(),
                        me.life(),
                        me.turn(),
                        me.state(),
                        stateSince,
                        displacedBy == null
                                ? "this process"
                                : "displaced by one at " + displacedBy.address(),
                        MembershipView.Reach.SELF,
                        -1));
        for (MemberRecord k : table.all()) {
            lines.add(
                    new MembershipView.Line(
                            k.word.name(),
                            k.word.address(),
                            k.word.life(),
                            k.word.turn(),
                            k.word.state(),
                            k.since,
                            k.reason,
                            reach(k, now),
                            k.differs() ? now - k.differsSince : -1));
        }
        Map<MembershipMetric, Long> counted = new EnumMap<>(MembershipMetric.class);
        for (MembershipMetric c : MembershipMetric.values()) {
            counted.put(c, counts[c.ordinal()]);
        }
        return new MembershipView(lines, table.digest(), prober.doubt(), hung(now), counted);
    }

    /** Whether it is reached directly, and which way is cut where it is not. */
    private MembershipView.Reach reach(MemberRecord k, long now) {
        if (!k.word.state().lives()) {
            return MembershipView.Reach.NONE;
        }
        if (k.answeredAt >= k.relayedAt) {
            return k.answeredAt == MemberRecord.NEVER
                    ? MembershipView.Reach.UNTRIED
                    : MembershipView.Reach.BOTH;
        }
        long round = rules.period() * (table.alive() + 2) * (1 + prober.doubt());
        return now - k.heardAt < 2 * round
                ? MembershipView.Reach.HEARS_NOT
                : k.hearsMe ? MembershipView.Reach.NOT_HEARD : MembershipView.Reach.BY_OTHERS;
    }

    /**
     * All that decides what comes next, for whoever plays every order of messages: alike means the
     * same.
     */
    String fingerprint(long now) {
        StringBuilder text = new StringBuilder();
        text.append(table.me())
                .append(displacedBy)
                .append(accused)
                .append(raises)
                .append(' ')
                .append(contactAt - now)
                .append(' ')
                .append(exchange.at() - now)
                .append(' ')
                .append(joinUntil - now)
                .append('\n')
                .append(prober.fingerprint(now))
                .append('\n')
                .append(ring);
        for (MemberRecord k : table.all()) {
            text.append('\n')
                    .append(k.word)
                    .append(k.differs())
                    .append(k.lag)
                    .append(now - k.heardAt < 3 * rules.period())
                    .append(k.heardAt >= startedAt);
            if (k.suspicion != null) {
                text.append(k.suspicion.accusers()).append(' ').append(k.suspicion.end() - now);
            }
        }
        return text.append("\ntelling ").append(post.repeating()).toString();
    }
}

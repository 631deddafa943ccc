package cottonlock.net;

import cottonlock.admin.Figures;
import cottonlock.decision.Outcome;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;

/** A backend's actor: the one owner of the connections to it, kept ones first. */
final class BackendActor implements Runnable {
    /** More than the sockets there are: what the links tell always fits. */
    private static final int MOST = 4_096;
    /** Parts of the idle time after which a connection is retired, before the backend does it. */
    private static final double RETIRE = 0.8;
    /** Nanoseconds after an answer within which a second one may come, some milliseconds late: used again at
     * once, the connection would give it to the next attempt. Seen: 0.1 to 4 ms. */
    static final long SETTLE = 5_000_000;
    /** How often the resting connections are looked through at least, in microseconds. */
    private static final long LOOK = 500_000;

    private final Mailbox mailbox;
    private final Places places;
    private final Keeping keeping;
    private final Workers workers;
    private final int connectLimit;
    private final long retireAfter;
    private final long settle;
    private final Buffers buffers;
    private final HttpWriter writer;
    private final Watchdog watchdog;
    private final Clock clock;
    private final Figures figures;
    private final Log log;
    private InetSocketAddress address;
    private final Deque<Link> resting = new ArrayDeque<>();
    private final Set<Link> links = new HashSet<>();
    /** Attempts that wait for connections to settle: sooner than a new one is up, which also costs more. */
    private final Deque<ClientRequest.Attempt> held = new ArrayDeque<>();
    private boolean leaving;
    /** What the list and the operators said last; told by the module's thread, looked at where bytes go
     * out. */
    private volatile boolean ready = true;

    /** Times in milliseconds; how long a connection settles, in nanoseconds. */
    BackendActor(InetSocketAddress address, Places places, Keeping keeping, Workers workers,
                 long connectLimit, long idle, long settle, Buffers buffers, HttpWriter writer,
                 Watchdog watchdog, Clock clock, Figures figures, Log log) {
        this.address = address;
        this.places = places;
        this.keeping = keeping;
        this.workers = workers;
        this.connectLimit = (int) Math.max(1, Math.min(Integer.MAX_VALUE, connectLimit));
        this.retireAfter = (long) (idle * RETIRE * 1_000_000);
        this.settle = settle;
        this.buffers = buffers;
        this.writer = writer;
        this.watchdog = watchdog;
        this.clock = clock;
        this.figures = figures;
        this.log = log;
        this.mailbox = new Mailbox(MOST, log);
    }

    @Override
    public void run() {
        places.join(this);
        try {
            while (!leaving || !links.isEmpty() || !held.isEmpty()) {
                mailbox.next(held.isEmpty() ? LOOK : unsettled() / 1_000);
                retire();
                while (!held.isEmpty() && unsettled() <= 0) {
                    send(held.poll());
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            places.leave(this);
        }
    }

    /** From the module's thread: whether what is still on its way to a connection may go out. */
    void ready(boolean now) {
        ready = now;
    }

    /** Whether anything new may be written to it; from any thread. */
    boolean ready() {
        return ready;
    }

    /** From the module's thread, which never waits here: false when the mailbox is full. */
    boolean attempt(ClientRequest.Attempt attempt) {
        return mailbox.offer(() -> send(attempt));
    }

    /** From the module's thread: the list has told where it listens now. */
    void listensAt(InetSocketAddress now) {
        mailbox.offer(() -> {
            if (!now.equals(address)) {
                address = now;
                resting.forEach(Link::kill);
                resting.clear();
            }
        });
    }

    /** From the module's thread: it has gone from the list; what is out may still end. */
    void leave() {
        ready = false;
        mailbox.offer(() -> {
            leaving = true;
            resting.forEach(Link::kill);
            resting.clear();
        });
    }

    /** From the module's thread: what rests is worth less than it costs. */
    void release() {
        mailbox.offer(() -> {
            resting.forEach(Link::kill);
            resting.clear();
        });
    }

    /** From another backend's actor: sockets have run out, so the longest at rest is closed. */
    void spareOne() {
        mailbox.offer(() -> {
            Link spare = resting.pollFirst();
            if (spare != null) {
                spare.kill();
            }
        });
    }

    /** The proxy closes: nothing that is out is waited for. */
    void end() {
        mailbox.offer(() -> {
            leaving = true;
            links.forEach(Link::kill);
        });
    }

    /** For tests alone: carried out on its thread, after all that it has been told. */
    void then(Runnable next) {
        mailbox.put(next);
    }

    /** From a link: its attempt is over and it may carry the next. */
    void rests(Link link) {
        mailbox.put(() -> {
            if (leaving || !link.address().equals(address) || !keeping.worthwhile()) {
                link.kill();
            } else {
                link.restingSince = System.nanoTime();
                resting.addLast(link);
            }
        });
    }

    /** From a link: its attempt, not its first, broke off so many nanoseconds after it was sent. */
    void brokeWhenUsedAgain(long after) {
        keeping.broke(after);
    }

    /** From a link: it has given back all that it held. */
    void ended(Link link) {
        places.give();
        mailbox.put(() -> {
            links.remove(link);
            resting.remove(link);
        });
    }

    /** Nanoseconds until the connection that has rested longest has settled; 0 where none rests. */
    private long unsettled() {
        return resting.isEmpty() ? 0 : settle - (System.nanoTime() - resting.peekFirst().restingSince);
    }

    /** Takes the connection that was used last, of those that have settled; null if none has. */
    private Link settled() {
        long now = System.nanoTime();
        for (Iterator<Link> links = resting.descendingIterator(); links.hasNext();) {
            Link link = links.next();
            if (now - link.restingSince >= settle) {
                links.remove();
                return link;
            }
        }
        return null;
    }

    private void send(ClientRequest.Attempt attempt) {
        // Looked through now and then only, some had rested too long when they were used, and were reset.
        retire();
        if (!keeping.worthwhile()) {
            resting.forEach(Link::kill);
            resting.clear();
        }
        for (Link link = settled(); link != null; link = settled()) {
            if (!attempt.attach(link)) {
                resting.addLast(link);
                return;
            }
            if (attempt.req.body.spooled() && elsewhere(link, attempt)) {
                return;
            }
            if (link.send(attempt)) {
                return;
            }
            if (attempt.settled()) {
                return;
            }
        }
        if (resting.size() > held.size()) {
            held.add(attempt);
            return;
        }
        if (!places.take()) {
            log.warn("out of sockets", "an attempt got no connection");
            attempt.settle(Outcome.NO_CONNECTION);
            return;
        }
        Link link = new Link(this, address, connectLimit, buffers, writer, watchdog, clock, figures, log,
            attempt);
        links.add(link);
        try {
            workers.serve(link);
        } catch (OutOfMemoryError e) {
            // No thread can be had: this attempt fails, the proxy must not.
            log.warn("no thread", "an attempt got no connection");
            links.remove(link);
            places.give();
            attempt.settle(Outcome.NO_CONNECTION);
        }
    }

    /** A long body is written on another thread: a backend that reads slowly must not stop this actor. */
    private boolean elsewhere(Link link, ClientRequest.Attempt attempt) {
        try {
            workers.serve(() -> {
                if (!link.send(attempt) && !attempt.settled()) {
                    mailbox.put(() -> send(attempt));
                }
            });
            return true;
        } catch (OutOfMemoryError e) {
            return false;
        }
    }

    private void retire() {
        long now = System.nanoTime();
        while (!resting.isEmpty() && now - resting.peekFirst().restingSince > retireAfter) {
            resting.pollFirst().kill();
        }
    }
}

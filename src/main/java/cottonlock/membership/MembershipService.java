package cottonlock.membership;

import cottonlock.setup.MembershipConfig;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Carries a {@link Membership} on one UDP socket with one thread. Datagrams that are none of the
 * fleet's go to whoever shares the socket. Its calls may come from any thread.
 */
public final class MembershipService implements Runnable {
    /** Milliseconds between looks at whether another process of this proxy has taken over. */
    private static final int LOOK = 100;

    /**
     * Datagrams that are read before the machine is woken, though its time has come: after a
     * standstill what has queued up must be heard before anybody is judged, and a flood must not
     * hold it up for good.
     */
    private static final int BACKLOG = 2_048;

    /** Who takes the datagrams of others on the same socket. */
    public interface Others {
        void came(InetSocketAddress from, byte[] bytes, int length);
    }

    private final DatagramSocket socket;
    private final LongSupplier clock;
    private final LongSupplier moduleAt;
    private final BooleanSupplier replaced;
    private final Others others;
    private final Consumer<String> log;
    private final DatagramAuthenticator seal;
    private final Membership machine;
    private final String name;

    /** Where members are, as sockets need it; bounded, as names come and go. */
    private final Map<String, InetSocketAddress> addresses;

    private long wakeAt;
    private volatile boolean closed;
    private boolean standingBy;

    /**
     * Joins the fleet when it is run.
     *
     * @param name this proxy's, the same over its restarts
     * @param address where others reach the socket
     * @param contacts where others may be found
     * @param closed whether no other address may belong to one of them
     * @param life milliseconds since 1970
     * @param clock tenths of a millisecond, never going back
     * @param moduleAt when the module's thread last made progress, by that clock
     * @param replaced whether another process of this proxy serves in its place
     * @throws IOException for a key that can't be had
     */
    public MembershipService(
            MembershipConfig plan,
            DatagramSocket socket,
            String name,
            String address,
            List<String> contacts,
            boolean closed,
            long generation,
            SplittableRandom random,
            LongSupplier clock,
            LongSupplier moduleAt,
            BooleanSupplier replaced,
            Others others,
            Consumer<String> log)
            throws IOException {
        this.socket = socket;
        this.clock = clock;
        this.moduleAt = moduleAt;
        this.replaced = replaced;
        this.others = others;
        this.log = log;
        this.name = name;
        List<Path> keys = new ArrayList<>();
        for (String key : List.of(plan.keyFile(), plan.nextKeyFile())) {
            if (!key.isEmpty()) {
                keys.add(Path.of(key));
            }
        }
        this.seal = keys.isEmpty() ? null : new DatagramAuthenticator(keys);
        int most = plan.protocol().maxMembers() * 2;
        this.addresses =
                new LinkedHashMap<>() {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(
                            Map.Entry<String, InetSocketAddress> eldest) {
                        return size() > most;
                    }
                };
        this.machine =
                new Membership(
                        plan.protocol(),
                        new Sending(),
                        name,
                        address,
                        contacts,
                        closed,
                        generation,
                        seal == null ? 0 : DatagramAuthenticator.TAG_BYTES,
                        random);
    }

    /** What the machine answers through; on this actor's thread, or under its lock. */
    private final class Sending implements MembershipActions {
        @Override
        public void send(String address, byte[] datagram) {
            byte[] bytes = seal == null ? datagram : seal.sign(datagram);
            try {
                InetSocketAddress to =
                        addresses.computeIfAbsent(address, MembershipService::parsed);
                socket.send(new DatagramPacket(bytes, bytes.length, to));
            } catch (IOException | IllegalArgumentException e) {
                // It counts as lost, as any may be.
                if (!closed) {
                    log.accept(
                            "a datagram to " + address + " could not be sent: " + e.getMessage());
                }
            }
        }

        @Override
        public void memberStateChanged(String who, MemberState state, String reason) {
            log.accept(
                    (who.equals(name) ? "this process is " : who + " is ")
                            + state.name().toLowerCase(Locale.ROOT)
                            + ": "
                            + reason);
        }
    }

    /** An address as words have it, of digits alone: no name is ever looked up. */
    private static InetSocketAddress parsed(String address) {
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, colon);
        if (!host.startsWith("[") && !Character.isDigit(host.charAt(0))) {
            throw new IllegalArgumentException("no address of digits");
        }
        return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
    }

    /** The form in which members are told one another's addresses. */
    public static String addressText(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    @Override
    public void run() {
        try {
            // Another process of this proxy sees first that it has been replaced, and falls silent.
            Thread.sleep(replaced == null ? 0 : LOOK * 3 / 2);
        } catch (InterruptedException e) {
            return;
        }
        synchronized (machine) {
            wakeAt = machine.start(clock.getAsLong());
        }
        DatagramPacket packet =
                new DatagramPacket(
                        new byte[DatagramCodec.MAX_DATAGRAM_BYTES + 1],
                        DatagramCodec.MAX_DATAGRAM_BYTES + 1);
        boolean quiet = false;
        int read = 0;
        long lookAt = 0;
        while (!closed) {
            long now = clock.getAsLong();
            if (replaced != null && now >= lookAt) {
                lookAt = now + LOOK * 10L;
                standBy(replaced.getAsBoolean());
            }
            if (now >= wakeAt && (quiet || read >= BACKLOG)) {
                wake(now);
                quiet = false;
                read = 0;
                continue;
            }
            try {
                socket.setSoTimeout((int) Math.max(1, Math.min(LOOK, (wakeAt - now) / 10)));
                packet.setLength(DatagramCodec.MAX_DATAGRAM_BYTES + 1);
                socket.receive(packet);
                read++;
                came(
                        (InetSocketAddress) packet.getSocketAddress(),
                        packet.getData(),
                        packet.getLength());
            } catch (SocketTimeoutException e) {
                quiet = true;
            } catch (IOException e) {
                if (!closed) {
                    log.accept("a datagram could not be received: " + e.getMessage());
                }
            }
        }
    }

    private void wake(long now) {
        synchronized (machine) {
            machine.workerProgressedAt(moduleAt.getAsLong());
            wakeAt = standingBy ? now + LOOK * 10L : machine.timerFired(now);
        }
    }

    private void came(InetSocketAddress from, byte[] bytes, int length) {
        if (length == 0 || (bytes[0] & 0xff) != DatagramCodec.MAGIC) {
            others.came(from, bytes, length);
            return;
        }
        synchronized (machine) {
            int inner = seal == null ? length : seal.verify(bytes, length);
            if (inner < 0) {
                machine.countEvent(MembershipMetric.UNAUTHENTICATED);
            } else if (!standingBy) {
                long now = clock.getAsLong();
                machine.workerProgressedAt(moduleAt.getAsLong());
                wakeAt = machine.datagramReceived(now, addressText(from), bytes, inner);
            }
        }
    }

    /**
     * Says nothing while another process of this proxy speaks for both; begins anew when that has
     * died.
     */
    private void standBy(boolean silent) {
        if (silent != standingBy) {
            standingBy = silent;
            log.accept(
                    silent
                            ? "another process of this proxy speaks for both"
                            : "the other process of this proxy is gone, this one speaks again");
            if (!silent) {
                synchronized (machine) {
                    wakeAt = machine.start(clock.getAsLong());
                }
            }
        }
    }

    /** The process ends on purpose: the others are told. */
    public void leave() {
        synchronized (machine) {
            if (!standingBy && !closed) {
                wakeAt = machine.leave(clock.getAsLong());
            }
        }
    }

    /** The view as it stands. */
    public MembershipView view() {
        synchronized (machine) {
            return machine.view(clock.getAsLong());
        }
    }

    /**
     * The view as operators are told it: a line of figures, then one for each member, itself first.
     */
    public String statusLines() {
        long now = clock.getAsLong();
        MembershipView view = view();
        StringBuilder text = new StringBuilder();
        text.append("view=")
                .append(Long.toHexString(view.digest()))
                .append(" alive=")
                .append(view.liveCount())
                .append(" members=")
                .append(view.members().size())
                .append(" differs_ms=")
                .append(ms(view.divergedForTicks()))
                .append(" self_doubt=")
                .append(view.localHealthScore())
                .append(" hung=")
                .append(view.workerStalled());
        view.metrics()
                .forEach(
                        (count, n) -> text.append(' ').append(count.label()).append('=').append(n));
        for (MembershipView.Member l : view.members()) {
            text.append('\n')
                    .append(l.name())
                    .append(' ')
                    .append(l.state().name().toLowerCase(Locale.ROOT))
                    .append(' ')
                    .append(l.address())
                    .append(" life=")
                    .append(l.generation())
                    .append(" turn=")
                    .append(l.incarnation())
                    .append(" since_ms=")
                    .append((now - l.stateSinceTicks()) / 10)
                    .append(" reach=")
                    .append(l.reach().label())
                    .append(" differs_ms=")
                    .append(ms(l.divergedForTicks()))
                    .append(" why=")
                    .append(l.reason());
        }
        return text.append('\n').toString();
    }

    /** For the figures: how many are what, as fields of a JSON object, each behind a comma. */
    public String metricsJson() {
        MembershipView view = view();
        StringBuilder json = new StringBuilder();
        for (MemberState state : MemberState.values()) {
            json.append(",\"members_")
                    .append(state.name().toLowerCase(Locale.ROOT))
                    .append("\":")
                    .append(view.members().stream().filter(l -> l.state() == state).count());
        }
        json.append(",\"members_differ_ms\":")
                .append(ms(view.divergedForTicks()))
                .append(",\"members_self_doubt\":")
                .append(view.localHealthScore());
        view.metrics()
                .forEach(
                        (count, n) ->
                                json.append(",\"members_")
                                        .append(count.label())
                                        .append("_count\":")
                                        .append(n));
        return json.toString();
    }

    private static long ms(long tenths) {
        return tenths < 0 ? -1 : tenths / 10;
    }

    /** Ends it at once; its socket belongs to whoever opened it. */
    public void close() {
        closed = true;
    }
}

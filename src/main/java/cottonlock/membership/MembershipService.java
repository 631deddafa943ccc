package cottonlock.membership;

import cottonlock.concurrent.RunCompletion;
import cottonlock.core.Ticks;
import cottonlock.setup.MembershipConfig;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Runs a {@link Membership} on a UDP socket. The thread that executes {@link #run} owns the
 * socket's input and the timer; the other methods may be called by any thread. The state machine,
 * its actions and the authenticator are guarded by the state machine's monitor.
 */
public final class MembershipService implements Runnable, AutoCloseable {
    /** Interval of the checks whether another process of this proxy has taken over. */
    private static final int REPLACED_CHECK_INTERVAL_MILLIS = 100;

    /**
     * Delay before a process that takes over starts, so that the replaced one notices first and
     * stops sending.
     */
    private static final int TAKEOVER_DELAY_MILLIS = 150;

    /**
     * Maximum number of datagrams read before an overdue timer fires. After a stall the queued
     * datagrams are read first, as they may contain expected answers; a flood must not delay the
     * timer forever.
     */
    private static final int MAX_DATAGRAMS_BEFORE_TIMER = 2_048;

    /** One byte more than the valid maximum, to recognize datagrams that are too long. */
    private static final int BUFFER_BYTES = DatagramCodec.MAX_DATAGRAM_BYTES + 1;

    private final DatagramSocket socket;
    private final MembershipHost host;

    /** Null if datagrams are not authenticated. */
    private final DatagramAuthenticator authenticator;

    private final SocketMembershipActions actions;

    /** Also the lock of this class. */
    private final Membership membership;

    /** Written under the lock, read by the owner thread. */
    private volatile long dueAtTicks;

    /** Whether another process of this proxy takes part. Written by the owner under the lock. */
    private boolean standingBy;

    /** Written by any thread. */
    private volatile boolean closed;

    private final RunCompletion completion = new RunCompletion();

    /** Owner thread only: whether a read has timed out since the timer last fired. */
    private boolean inputDrained;

    /** Owner thread only: datagrams read since the timer last fired. */
    private int datagramsRead;

    /** Owner thread only: when to check next whether another process has taken over. */
    private long replacedCheckAtTicks;

    /**
     * Creates a service that joins the other members when it is run.
     *
     * @param socket closed by {@link #close}
     * @param self this process
     * @throws IOException if a key file can't be read or holds no valid key
     * @throws IllegalArgumentException if the name is not valid for a member
     */
    public MembershipService(
            MembershipConfig config,
            DatagramSocket socket,
            LocalMember self,
            SplittableRandom random,
            MembershipHost host)
            throws IOException {
        this.socket = socket;
        this.host = host;
        List<Path> keyFiles = keyFiles(config);
        this.authenticator = keyFiles.isEmpty() ? null : new DatagramAuthenticator(keyFiles);
        this.actions =
                new SocketMembershipActions(
                        socket,
                        authenticator,
                        self.name(),
                        config.protocol().maxMembers() * 2,
                        host.log());
        this.membership =
                new Membership(
                        config.protocol(),
                        actions,
                        self,
                        authenticator == null ? 0 : DatagramAuthenticator.TAG_BYTES,
                        random);
    }

    private static List<Path> keyFiles(MembershipConfig config) {
        List<Path> files = new ArrayList<>();
        for (String file : List.of(config.keyFile(), config.nextKeyFile())) {
            if (!file.isEmpty()) {
                files.add(Path.of(file));
            }
        }
        return files;
    }

    /**
     * Runs the protocol until {@link #close} is called or the thread is interrupted at the start.
     */
    @Override
    public void run() {
        if (!completion.begin()) {
            return;
        }
        try {
            if (!completion.awaitClose(host.replaced() == null ? 0 : TAKEOVER_DELAY_MILLIS)) {
                runUntilClosed();
            }
        } catch (InterruptedException e) {
            // The process is ending before it has joined.
        } finally {
            completion.end();
        }
    }

    private void runUntilClosed() {
        start();
        DatagramPacket packet = new DatagramPacket(new byte[BUFFER_BYTES], BUFFER_BYTES);
        while (!closed) {
            long nowTicks = host.clock().getAsLong();
            checkReplaced(nowTicks);
            if (nowTicks >= dueAtTicks
                    && (inputDrained || datagramsRead >= MAX_DATAGRAMS_BEFORE_TIMER)) {
                fireTimer(nowTicks);
                inputDrained = false;
                datagramsRead = 0;
            } else {
                receive(packet, nowTicks);
            }
        }
    }

    private void start() {
        synchronized (membership) {
            dueAtTicks = membership.start(host.clock().getAsLong());
        }
    }

    private void fireTimer(long nowTicks) {
        synchronized (membership) {
            membership.workerProgressedAt(host.workerProgress().getAsLong());
            dueAtTicks =
                    standingBy
                            ? nowTicks + Ticks.ofMillis(REPLACED_CHECK_INTERVAL_MILLIS)
                            : membership.timerFired(nowTicks);
        }
    }

    private void receive(DatagramPacket packet, long nowTicks) {
        try {
            long waitMillis =
                    Math.min(REPLACED_CHECK_INTERVAL_MILLIS, Ticks.toMillis(dueAtTicks - nowTicks));
            socket.setSoTimeout((int) Math.max(1, waitMillis));
            packet.setLength(BUFFER_BYTES);
            socket.receive(packet);
            datagramsRead++;
            dispatch(
                    (InetSocketAddress) packet.getSocketAddress(),
                    packet.getData(),
                    packet.getLength());
        } catch (SocketTimeoutException e) {
            inputDrained = true;
        } catch (IOException e) {
            if (!closed) {
                host.log().accept("a datagram could not be received: " + e.getMessage());
            }
        }
    }

    private void dispatch(InetSocketAddress from, byte[] bytes, int length) {
        if (length == 0 || (bytes[0] & 0xff) != DatagramCodec.MAGIC) {
            host.foreignDatagrams().datagramReceived(from, bytes, length);
            return;
        }
        synchronized (membership) {
            int contentLength =
                    authenticator == null ? length : authenticator.verify(bytes, length);
            if (contentLength < 0) {
                membership.countEvent(MembershipMetric.UNAUTHENTICATED);
            } else if (!standingBy) {
                long nowTicks = host.clock().getAsLong();
                membership.workerProgressedAt(host.workerProgress().getAsLong());
                dueAtTicks =
                        membership.datagramReceived(
                                nowTicks, SocketAddresses.format(from), bytes, contentLength);
            }
        }
    }

    /** Stands by while another process of this proxy takes part; starts again when it has ended. */
    private void checkReplaced(long nowTicks) {
        if (host.replaced() == null || nowTicks < replacedCheckAtTicks) {
            return;
        }
        replacedCheckAtTicks = nowTicks + Ticks.ofMillis(REPLACED_CHECK_INTERVAL_MILLIS);
        boolean replaced = host.replaced().getAsBoolean();
        if (replaced == standingBy) {
            return;
        }
        synchronized (membership) {
            standingBy = replaced;
        }
        if (replaced) {
            host.log()
                    .accept(
                            "standing by: another process of this proxy takes part in the"
                                    + " membership");
        } else {
            host.log().accept("rejoining: the other process of this proxy has ended");
            start();
        }
    }

    /** Announces that the process ends. It still takes part until {@link #close}. */
    public void leave() {
        synchronized (membership) {
            if (!standingBy && !closed) {
                dueAtTicks = membership.leave(host.clock().getAsLong());
            }
        }
    }

    /** The view at this time. */
    public MembershipView view() {
        synchronized (membership) {
            return membership.view(host.clock().getAsLong());
        }
    }

    /** The answer to the management command MEMBERS. */
    public String statusLines() {
        long nowTicks = host.clock().getAsLong();
        return MembershipReport.statusLines(view(), nowTicks);
    }

    /** Fields of the metrics' JSON object, each preceded by a comma. */
    public String metricsJson() {
        return MembershipReport.metricsJson(view());
    }

    /**
     * Stops immediately, without an announcement, and closes the socket. When this method returns,
     * {@link #run} has returned and the socket's address is free.
     */
    @Override
    public void close() {
        closed = true;
        completion.close();
        actions.close();
        socket.close();
        completion.awaitEnd();
    }
}

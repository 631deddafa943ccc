package cottonlock.proxy.control;

import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.http.BufferPool;
import cottonlock.proxy.http.MalformedMessageException;
import cottonlock.proxy.io.HttpLineStream;
import cottonlock.proxy.io.JsonLineAssembler;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.rollout.ConfigurationRollout;
import cottonlock.rollout.ConfigurationVersion;
import cottonlock.rollout.RolloutStatus;
import cottonlock.rollout.WatchAttempt;
import cottonlock.setup.RolloutConfig;
import cottonlock.setup.Settings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Drives a {@link ConfigurationRollout} on sockets: one thread with one watch on a control server,
 * and a second connection while it compares that server with another one. The class is loaded only
 * if the operator's file configures a rollout.
 */
public final class RolloutActor implements Runnable {
    /** Enough for the settings of several hundred request classes. */
    private static final int MAX_MESSAGE_CHARS = 128 << 10;

    /** Enough for a number and a digest. */
    private static final int MAX_COMPARISON_CHARS = 1 << 10;

    private static final int TICKS_PER_MILLI = 10;

    private final RolloutConfig config;
    private final String base;
    private final RolloutVersionApplier applier;
    private final TickClock clock;
    private final SplittableRandom random;
    private final RateLimitedLog log;

    /** The near servers, followed by the far ones. */
    private final List<InetSocketAddress> servers = new ArrayList<>();

    /** Not from the buffer pool: requests must not wait for buffers that control messages use. */
    private final byte[] watchBuffer = new byte[BufferPool.SIZE];

    private final byte[] comparisonBuffer = new byte[BufferPool.SIZE];

    /** Set by {@link #begin}, then owned by this actor's thread. */
    private ConfigurationRollout rollout;

    /** Written by the thread that owns the rollout, read by any thread. */
    private volatile RolloutStatus status;

    /** The open watch, if any: set by the actor's thread, closed by any thread. */
    private volatile HttpLineStream watch;

    /** The open comparison, if any: set by the actor's thread, closed by any thread. */
    private volatile HttpLineStream comparison;

    private volatile boolean closed;

    /**
     * Creates the rollout actor of a process.
     *
     * @param processSettings the settings with which the process was started
     * @param settingsConsumer applies other settings: all of them or, if it throws, none; called by
     *     {@link #begin} and by the actor's thread
     * @param file stores the version in force for the next process
     */
    public RolloutActor(
            RolloutConfig config,
            Settings processSettings,
            Consumer<Settings> settingsConsumer,
            SharedFile file,
            TickClock clock,
            SplittableRandom random,
            RateLimitedLog log) {
        this.config = config;
        for (String address : config.nearControlAddresses()) {
            servers.add(ProxyConfiguration.address("rollout.control", address));
        }
        for (String address : config.farControlAddresses()) {
            servers.add(ProxyConfiguration.address("rollout.far", address));
        }
        this.base = ConfigurationVersionDigest.ofBase(processSettings);
        this.applier =
                new RolloutVersionApplier(
                        settingsConsumer,
                        base,
                        new ConfigurationVersionStore(file, base, log),
                        log);
        this.clock = clock;
        this.random = random;
        this.log = log;
    }

    /** Applies the stored version, if any; called once, before the thread is started. */
    public void begin() {
        ConfigurationVersion stored = applier.applyStored();
        rollout = new ConfigurationRollout(clock.now(), config, stored, random);
        status = rollout.status();
    }

    /** Metrics as JSON object fields, each preceded by a comma. Callable from any thread. */
    public String metrics() {
        RolloutStatus current = status;
        return ",\"configuration_version\":"
                + current.inForce().number()
                + ",\"configuration_digest\":\""
                + current.inForce().digestHex()
                + "\",\"configuration_known\":"
                + current.highestKnown().number()
                + ",\"configuration_behind_ms\":"
                + millisSince(current.behindSinceTicks())
                + ",\"configuration_control_lost_ms\":"
                + millisSince(current.disconnectedSinceTicks())
                + ",\"configuration_ahead_ms\":"
                + millisSince(current.serverStaleSinceTicks())
                + ",\"configuration_refused_count\":"
                + current.rejectedCount()
                + ",\"configuration_calls_count\":"
                + current.callCount()
                + ",\"configuration_failed_count\":"
                + current.failureCount()
                + ",\"configuration_base\":\""
                + base
                + '"';
    }

    /**
     * Milliseconds since the given time, at least 0; -1 for a negative argument, which means that
     * the condition does not hold.
     */
    private long millisSince(long sinceTicks) {
        return sinceTicks < 0 ? -1 : Math.max(0, clock.now() - sinceTicks) / TICKS_PER_MILLI;
    }

    @Override
    public void run() {
        try {
            while (!closed) {
                WatchAttempt attempt = rollout.nextWatch(clock.now());
                long delayTicks = Math.max(0, attempt.startAtTicks() - clock.now());
                Thread.sleep(delayTicks / TICKS_PER_MILLI);
                attempt(attempt);
                status = rollout.status();
                if (Thread.interrupted()) {
                    return;
                }
            }
        } catch (InterruptedException e) {
            // The proxy is closing.
        }
    }

    private void attempt(WatchAttempt attempt) {
        InetSocketAddress server = servers.get(attempt.server());
        try {
            watchUntilMigration(server, attempt.timeoutTicks());
            rollout.watchMigrated(clock.now());
        } catch (IOException | MalformedMessageException | RuntimeException e) {
            rollout.watchFailed(clock.now());
            if (!closed) {
                log.info("control", "the watch at " + server + " ended: " + e.getMessage());
            }
        }
    }

    private void watchUntilMigration(InetSocketAddress server, long timeoutTicks)
            throws IOException, MalformedMessageException {
        ConfigurationVersion requestedFrom = rollout.requestedFrom();
        long deadlineTicks = clock.now() + timeoutTicks;
        try (HttpLineStream lines = new HttpLineStream(watchBuffer)) {
            watch = lines;
            if (closed) {
                throw new IOException("the actor was closed before the watch was open");
            }
            String target =
                    "/catalog/configuration?stream=1&service="
                            + config.serviceName()
                            + "&index="
                            + requestedFrom.number()
                            + "&digest="
                            + requestedFrom.digestHex();
            open(lines, server, deadlineTicks, target);
            JsonLineAssembler assembler =
                    new JsonLineAssembler(MAX_MESSAGE_CHARS, "a version is too long");
            while (awaitLine(lines, deadlineTicks)) {
                lines.readWithin(millisUntil(deadlineTicks));
                String line = lines.readLine(MAX_MESSAGE_CHARS);
                if (line == null) {
                    throw new IOException("the control server ended the stream");
                }
                String message = assembler.add(line);
                if (message != null) {
                    if (!message.isBlank()) {
                        handleAnnouncement(server, ConfigurationVersionParser.parse(utf8(message)));
                    }
                    deadlineTicks = clock.now() + ConfigurationRollout.SILENCE_TIMEOUT_TICKS;
                }
            }
        }
    }

    /** Decodes a message of the stream, which returns each byte as one character. */
    private static String utf8(String bytes) {
        return new String(bytes.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }

    /** Milliseconds until the deadline, at least 1: a timeout of 0 would mean no limit. */
    private long millisUntil(long deadlineTicks) {
        return Math.max(1, (deadlineTicks - clock.now()) / TICKS_PER_MILLI);
    }

    private void open(
            HttpLineStream lines, InetSocketAddress server, long deadlineTicks, String target)
            throws IOException, MalformedMessageException {
        lines.connect(server, (int) millisUntil(deadlineTicks));
        lines.get(target, millisUntil(deadlineTicks));
    }

    /**
     * Waits until there are bytes to read; meanwhile performs the comparisons that become due.
     *
     * @return false if the watch is to migrate to another server
     */
    private boolean awaitLine(HttpLineStream lines, long deadlineTicks) throws IOException {
        while (true) {
            status = rollout.status();
            long nowTicks = clock.now();
            if (rollout.shouldMigrate(nowTicks)) {
                return false;
            }
            if (lines.hasBufferedBytes()) {
                return true;
            }
            int other = rollout.nextComparison(nowTicks);
            if (other >= 0) {
                compareWith(other);
                continue;
            }
            if (nowTicks >= deadlineTicks) {
                throw new SocketTimeoutException("no line arrived before the deadline");
            }
            long checkAtTicks = Math.min(deadlineTicks, rollout.nextCheckAtTicks());
            lines.readWithin(Math.max(1, (checkAtTicks - nowTicks) / TICKS_PER_MILLI));
            try {
                if (!lines.awaitBytes()) {
                    throw new IOException("the control server ended the stream");
                }
                return true;
            } catch (SocketTimeoutException e) {
                // Nothing has been read; check for due actions again.
            }
        }
    }

    private void compareWith(int serverIndex) {
        InetSocketAddress server = servers.get(serverIndex);
        try (HttpLineStream lines = new HttpLineStream(comparisonBuffer)) {
            comparison = lines;
            if (closed) {
                throw new IOException("the actor was closed before the comparison");
            }
            open(
                    lines,
                    server,
                    clock.now() + config.callTimeoutTicks(),
                    "/catalog/configuration/version?service=" + config.serviceName());
            String line = lines.readLine(MAX_COMPARISON_CHARS);
            ConfigurationVersion version =
                    ConfigurationVersionParser.parse(line == null ? "" : utf8(line)).version();
            rollout.comparisonAnswered(clock.now(), serverIndex, version);
        } catch (IOException | MalformedMessageException | RuntimeException e) {
            rollout.comparisonFailed();
            if (!closed) {
                log.info("control", "the comparison with " + server + " failed: " + e.getMessage());
            }
        }
    }

    private void handleAnnouncement(InetSocketAddress server, ConfigurationVersionMessage message)
            throws IOException {
        ConfigurationVersion inForce = rollout.status().inForce();
        ConfigurationVersion version = message.version();
        if (!rollout.versionAnnounced(clock.now(), version)) {
            return;
        }
        if (message.content().isEmpty()) {
            throw new IOException("version " + version + " was announced without its settings");
        }
        if (applier.applyAnnounced(version, message.content().get(), inForce, server.toString())) {
            rollout.applied(version);
        } else {
            rollout.rejected(version);
        }
    }

    /**
     * Ends the actor, including a blocking read of its thread, which the caller must have
     * interrupted before. {@link #run} returns shortly afterwards.
     */
    public void close() {
        closed = true;
        closeIfOpen(watch);
        closeIfOpen(comparison);
    }

    private static void closeIfOpen(HttpLineStream stream) {
        if (stream != null) {
            stream.close();
        }
    }
}

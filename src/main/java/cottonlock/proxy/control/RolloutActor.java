package cottonlock.proxy.control;

import cottonlock.proxy.BufferPool;
import cottonlock.proxy.HttpReader;
import cottonlock.proxy.MalformedMessageException;
import cottonlock.proxy.MessageHead;
import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.io.JsonReader;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import cottonlock.rollout.ConfigurationRollout;
import cottonlock.rollout.ConfigurationVersion;
import cottonlock.rollout.RolloutStatus;
import cottonlock.rollout.WatchAttempt;
import cottonlock.setup.InvalidSettingsException;
import cottonlock.setup.RolloutConfig;
import cottonlock.setup.Settings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Carries a {@link ConfigurationRollout}: one thread, with one watch on a control machine and a
 * second connection while it compares. Loaded only where an operator's file asks for it.
 */
public final class RolloutActor implements Runnable {
    /** Characters of a line: settings of some hundred request classes. */
    private static final int LONGEST_LINE = 128 << 10;

    /** Of a line that tells a number and a digest. */
    private static final int LONGEST_ANSWER = 1 << 10;

    /**
     * Processes that ended while they took a version in, after which it is refused: one or two may
     * have been ended by chance in these milliseconds.
     */
    private static final int ENDS = 3;

    private final RolloutConfig plan;
    private final List<InetSocketAddress> machines = new ArrayList<>();
    private final Consumer<Settings> takeIn;
    private final String base;
    private final SharedFile kept;
    private final TickClock clock;
    private final SplittableRandom random;
    private final RateLimitedLog log;

    /** Its own: requests must not wait for what control's lines are read with. */
    private final byte[] watchBuffer = new byte[BufferPool.SIZE];

    private final byte[] compareBuffer = new byte[BufferPool.SIZE];
    private ConfigurationRollout rollout;
    private volatile RolloutStatus figures;
    private volatile Socket socket;
    private volatile boolean closed;

    /**
     * For a process that was built by these settings.
     *
     * @param takeIn takes other settings in, all or, by an exception, none
     * @param kept where the version in force is kept for the next process
     */
    public RolloutActor(
            RolloutConfig plan,
            Settings built,
            Consumer<Settings> takeIn,
            SharedFile kept,
            TickClock clock,
            SplittableRandom random,
            RateLimitedLog log) {
        this.plan = plan;
        plan.nearControlAddresses()
                .forEach(a -> machines.add(ProxyConfiguration.address("rollout.control", a)));
        plan.farControlAddresses()
                .forEach(a -> machines.add(ProxyConfiguration.address("rollout.far", a)));
        this.takeIn = takeIn;
        this.base = ConfigurationVersionParser.base(built);
        this.kept = kept;
        this.clock = clock;
        this.random = random;
        this.log = log;
    }

    /** Before the proxy serves: takes in what an earlier process has kept. */
    public void begin() {
        ConfigurationVersion last = ConfigurationVersion.NONE;
        ConfigurationVersionParser line = keptLine();
        if (line != null && !line.base().equals(base)) {
            log.each(
                    "version",
                    line.version
                            + " of an earlier process is built on other settings than the "
                            + "file's, which are in force");
        } else if (line != null) {
            String fault = tried(line);
            if (fault == null) {
                last = line.version;
                log.each("version", last + " of an earlier process is in force");
            } else {
                warn(
                        line.version
                                + " of an earlier process can't be used, the file's settings "
                                + "are in force: "
                                + fault);
            }
        }
        rollout = new ConfigurationRollout(clock.now(), plan, last, random);
        figures = rollout.status();
    }

    /** For the figures: fields of a JSON object, each behind a comma. */
    public String figures() {
        RolloutStatus f = figures;
        return ",\"configuration_version\":"
                + f.inForce().number()
                + ",\"configuration_digest\":\""
                + f.inForce().digestHex()
                + "\",\"configuration_known\":"
                + f.highestKnown().number()
                + ",\"configuration_behind_ms\":"
                + since(f.behindSinceTicks())
                + ",\"configuration_control_lost_ms\":"
                + since(f.disconnectedSinceTicks())
                + ",\"configuration_ahead_ms\":"
                + since(f.serverStaleSinceTicks())
                + ",\"configuration_refused_count\":"
                + f.rejectedCount()
                + ",\"configuration_calls_count\":"
                + f.callCount()
                + ",\"configuration_failed_count\":"
                + f.failureCount()
                + ",\"configuration_base\":\""
                + base
                + '"';
    }

    private long since(long at) {
        return at < 0 ? -1 : Math.max(0, clock.now() - at) / 10;
    }

    @Override
    public void run() {
        try {
            while (!closed) {
                WatchAttempt call = rollout.nextWatch(clock.now());
                Thread.sleep(Math.max(0, call.startAtTicks() - clock.now()) / 10);
                try {
                    watch(machines.get(call.server()), call.timeoutTicks());
                    rollout.watchMigrated(clock.now());
                } catch (IOException | MalformedMessageException | RuntimeException e) {
                    rollout.watchFailed(clock.now());
                    if (!closed) {
                        log.info(
                                "control",
                                "the watch at "
                                        + machines.get(call.server())
                                        + " ended: "
                                        + e.getMessage());
                    }
                }
                figures = rollout.status();
                if (Thread.interrupted()) {
                    return;
                }
            }
        } catch (InterruptedException e) {
            // The proxy closes.
        }
    }

    /** Watches a machine until another knows more. */
    private void watch(InetSocketAddress at, long limit)
            throws IOException, MalformedMessageException {
        ConfigurationVersion asks = rollout.requestedFrom();
        long answerBy = clock.now() + limit;
        try (Socket watching = new Socket()) {
            socket = watching;
            HttpReader reader =
                    call(
                            watching,
                            watchBuffer,
                            at,
                            answerBy,
                            "/catalog/configuration?stream=1"
                                    + "&service="
                                    + plan.serviceName()
                                    + "&index="
                                    + asks.number()
                                    + "&digest="
                                    + asks.digestHex());
            long silentAt = answerBy;
            StringBuilder text = new StringBuilder();
            JsonReader.Nesting nesting = new JsonReader.Nesting();
            while (comes(reader, silentAt)) {
                reader.within(Math.max(1, (silentAt - clock.now()) / 10));
                String line = reader.line(LONGEST_LINE);
                if (line == null) {
                    throw new IOException("control ended it");
                }
                text.append(line).append('\n');
                nesting.add(line);
                if (text.length() > LONGEST_LINE) {
                    throw new IOException("a version is too long");
                }
                if (nesting.goesOn()) {
                    continue;
                }
                if (!text.toString().isBlank()) {
                    told(at, ConfigurationVersionParser.read(utf8(text)));
                }
                text.setLength(0);
                silentAt = clock.now() + ConfigurationRollout.SILENCE_TIMEOUT_TICKS;
            }
        }
    }

    /** The reader gives each byte as one character. */
    private static String utf8(CharSequence bytes) {
        return new String(
                bytes.toString().getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }

    private HttpReader call(
            Socket with, byte[] buffer, InetSocketAddress at, long answerBy, String target)
            throws IOException, MalformedMessageException {
        with.connect(at, (int) Math.max(1, (answerBy - clock.now()) / 10));
        with.getOutputStream()
                .write(
                        ("GET "
                                        + target
                                        + " HTTP/1.1\r\nHost: "
                                        + at.getHostString()
                                        + ":"
                                        + at.getPort()
                                        + "\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
        HttpReader reader = new HttpReader(with, buffer);
        reader.within(Math.max(1, (answerBy - clock.now()) / 10));
        MessageHead head = reader.answer(0);
        if (!head.start[1].equals("200")) {
            throw new IOException("status " + head.start[1]);
        }
        return reader;
    }

    /**
     * Waits for a line, and compares meanwhile where that is due; false when the watch is to be
     * left.
     */
    private boolean comes(HttpReader reader, long silentAt) throws IOException {
        while (true) {
            figures = rollout.status();
            long now = clock.now();
            if (rollout.shouldMigrate(now)) {
                return false;
            }
            if (reader.ahead()) {
                return true;
            }
            int other = rollout.nextComparison(now);
            if (other >= 0) {
                compare(other);
                continue;
            }
            if (now >= silentAt) {
                throw new SocketTimeoutException("no line for too long");
            }
            reader.within(Math.max(1, (Math.min(silentAt, rollout.nextCheckAtTicks()) - now) / 10));
            try {
                if (!reader.await()) {
                    throw new IOException("control ended it");
                }
                return true;
            } catch (SocketTimeoutException e) {
                // Time to look around: nothing has been read.
            }
        }
    }

    private void compare(int other) {
        InetSocketAddress at = machines.get(other);
        try (Socket asking = new Socket()) {
            HttpReader reader =
                    call(
                            asking,
                            compareBuffer,
                            at,
                            clock.now() + plan.callTimeoutTicks(),
                            "/catalog/configuration/version?service=" + plan.serviceName());
            String line = reader.line(LONGEST_ANSWER);
            rollout.comparisonAnswered(
                    clock.now(),
                    other,
                    ConfigurationVersionParser.read(line == null ? "" : utf8(line)).version);
        } catch (IOException | MalformedMessageException | RuntimeException e) {
            rollout.comparisonFailed();
            if (!closed) {
                log.info("control", at + " could not be compared with: " + e.getMessage());
            }
        }
    }

    private void told(InetSocketAddress by, ConfigurationVersionParser line) throws IOException {
        ConfigurationVersion before = rollout.status().inForce();
        if (!rollout.versionAnnounced(clock.now(), line.version)) {
            return;
        }
        if (line.content == null) {
            throw new IOException("version " + line.version + " was told without its settings");
        }
        String fault = tried(line);
        if (fault == null) {
            rollout.applied(line.version);
            keep(line);
            log.each("version", line.version + " is in force, told by " + by);
        } else {
            rollout.rejected(line.version);
            warn(
                    line.version
                            + " is refused, "
                            + (before.equals(ConfigurationVersion.NONE)
                                    ? "the file's settings stay"
                                    : before + " stays")
                            + " in force: "
                            + fault);
        }
    }

    private void warn(String text) {
        log.each(System.Logger.Level.WARNING, "version", text);
    }

    /** Takes a version in; else why it can't be, and nothing of it is in force. */
    private String tried(ConfigurationVersionParser line) {
        try {
            Settings settings = line.judged(base);
            if (mark(line.version) > ENDS) {
                return ENDS + " processes ended while they took it in";
            }
            takeIn.accept(settings);
            unmark(line.version);
            return null;
        } catch (InvalidSettingsException e) {
            unmark(line.version);
            return e.getMessage();
        } catch (RuntimeException e) {
            unmark(line.version);
            return e.toString();
        }
    }

    /** The version that is kept, or null. */
    private ConfigurationVersionParser keptLine() {
        for (String line : kept.read()) {
            String[] words = line.split(" ");
            if (words.length == 5 && words[0].equals("version") && HttpReader.digits(words[1])) {
                try {
                    String content =
                            new String(
                                    Base64.getDecoder().decode(words[4]), StandardCharsets.UTF_8);
                    ConfigurationVersion version =
                            new ConfigurationVersion(
                                    Long.parseLong(words[1]), Long.parseUnsignedLong(words[2], 16));
                    if (ConfigurationVersionParser.digest(content) == version.digest()) {
                        return ConfigurationVersionParser.of(version, words[3], content);
                    }
                } catch (IllegalArgumentException e) {
                    // Told below, as what has another digest.
                }
                warn("the one kept by an earlier process is damaged, and passed over");
            }
        }
        return null;
    }

    /**
     * Keeps a version for the next process and forgets what was tried before, unless another
     * process of this proxy has kept a later one.
     */
    private void keep(ConfigurationVersionParser line) {
        kept.change(
                lines -> {
                    ConfigurationVersionParser there = keptLine();
                    if (there != null
                            && there.base().equals(base)
                            && there.version.compareTo(line.version) > 0) {
                        return lines;
                    }
                    return List.of(
                            "version "
                                    + line.version.number()
                                    + " "
                                    + line.version.digestHex()
                                    + " "
                                    + line.base()
                                    + " "
                                    + Base64.getEncoder()
                                            .encodeToString(
                                                    line.content.getBytes(StandardCharsets.UTF_8)));
                });
    }

    /**
     * Notes that a version is about to be taken in; how often that was noted and never crossed out.
     */
    private int mark(ConfigurationVersion version) {
        int[] ends = {1};
        kept.change(
                lines -> {
                    List<String> others = new ArrayList<>();
                    for (String line : lines) {
                        String[] words = line.split(" ", 3);
                        if (line.startsWith("tries " + version + " ")) {
                            ends[0] +=
                                    HttpReader.digits(words[2])
                                            ? (int) Math.min(ENDS, Long.parseLong(words[2]))
                                            : 0;
                        } else {
                            others.add(line);
                        }
                    }
                    others.add("tries " + version + " " + ends[0]);
                    return others;
                });
        return ends[0];
    }

    private void unmark(ConfigurationVersion version) {
        kept.change(
                lines ->
                        lines.stream()
                                .filter(l -> !l.startsWith("tries " + version + " "))
                                .toList());
    }

    /** The proxy closes: its thread has been interrupted, and a read that it may be in ends. */
    public void close() {
        closed = true;
        Socket watching = socket;
        if (watching != null) {
            Sockets.close(watching);
        }
    }
}

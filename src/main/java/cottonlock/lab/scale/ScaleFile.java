package cottonlock.lab.scale;

import cottonlock.config.ConfigurationDocument;
import cottonlock.config.Fields;
import cottonlock.config.InvalidConfigurationException;
import cottonlock.config.MembershipTable;
import cottonlock.setup.MembershipConfig;
import cottonlock.setup.MembershipProtocolConfig;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A scale run as read from its file; docs/lab.md lists every key with unit, range and default. */
final class ScaleFile {
    /** All events of the timeline, in the order in which they run. */
    static final List<String> EVENTS =
            List.of("ordinary", "rack", "zone", "regions", "control_killed", "control_restarted");

    private static final String NAME_PATTERN = "[A-Za-z0-9._-]{1,40}";
    private static final double NANOS_PER_SECOND = 1e9;

    /** The proxies: their number, how many are real processes, and how they are laid out. */
    record Fleet(int size, int real, int perJvm, int regions, int zones, int racks, int services) {}

    /**
     * The control machines: their number, the calls per second that each answers, and the time
     * until another machine takes over the address of a dead one.
     */
    record Control(int machines, double callsPerSecond, long takeoverNanos) {}

    /** The changes of an ordinary day, of which a fraction is played within a duration. */
    record Day(int changes, int restarts, int failures, double playedFraction, long durationNanos) {
        /**
         * Returns how many of {@code aDay} occurrences per day are played: at least one if there
         * are any.
         */
        int playedCount(int aDay) {
            return aDay == 0 ? 0 : (int) Math.max(1, Math.round(aDay * playedFraction));
        }
    }

    /** The bounds of the verdict; infinite if the file sets none. */
    record Expect(double inForceMs, double cpuShare, double rssMb, double bytesPerSecond) {}

    final String name;
    final String about;
    final long seed;
    final Fleet fleet;
    final Control control;
    final Day day;
    final List<String> events;

    /**
     * Time limit for all proxies to hold the first list, and for their membership views to be
     * complete, in nanoseconds.
     */
    final long settleTimeoutNanos;

    /** Time limit for a change to be in force, in nanoseconds. */
    final long changeTimeoutNanos;

    /** Duration of an outage, in nanoseconds. */
    final long outageNanos;

    /** Quiet time after each event, in nanoseconds. */
    final long quietNanos;

    final double lateLimitMs;

    /** Maximum number of processes. */
    final int processes;

    /** Maximum memory of the run, in megabytes. */
    final int memoryMb;

    /** Settings of the membership protocol; null if membership is off. */
    final MembershipProtocolConfig membership;

    /** The membership table for the operator file, without the keys that the run sets itself. */
    final String membershipToml;

    final Expect expect;

    /** Reads a file with some of its values overridden; a null seed keeps that of the file. */
    static ScaleFile read(Path file, List<String> sets, Long seed)
            throws InvalidConfigurationException {
        ConfigurationDocument doc = ConfigurationDocument.toml(file);
        for (String set : sets) {
            doc.set(set);
        }
        if (seed != null) {
            doc.set("seed=" + seed);
        }
        if (!doc.has("membership") || !Fields.of(doc).table("membership").has("enabled")) {
            // Unlike in production, membership is on by default: it is part of the cost of the
            // control plane.
            doc.set("membership.enabled=true");
        }
        Fields top = Fields.of(doc);
        ScaleFile read =
                new ScaleFile(
                        top, String.valueOf(file.getFileName()).replaceAll("\\.toml$", ""), file);
        top.throwIfInvalid();
        return read;
    }

    /** Returns whether a TOML file describes a scale run: only those have the key {@code fleet}. */
    static boolean isScaleFile(Path file) throws InvalidConfigurationException {
        return ConfigurationDocument.toml(file).has("fleet");
    }

    private ScaleFile(Fields top, String stem, Path file) {
        name = top.matching("name", stem, NAME_PATTERN, "a short name");
        about = top.text("about", "");
        seed = (long) top.number("seed", 1, 0, 1L << 53);
        Fields f = top.table("fleet");
        fleet =
                new Fleet(
                        f.integer("size", 100, 2, 4_096),
                        f.integer("real", 4, 0, 190),
                        f.integer("per_jvm", 200, 1, 1_000),
                        f.integer("regions", 2, 1, 8),
                        f.integer("zones", 7, 1, 64),
                        f.integer("racks", 4, 1, 64),
                        f.integer("services", 460, 1, 4_096));
        if (fleet.regions > fleet.zones) {
            f.addFault("regions", "expected no more than zones, found " + fleet.regions);
        }
        if (fleet.real > fleet.size / fleet.regions) {
            f.addFault(
                    "real", "expected no more than the proxies of one region, found " + fleet.real);
        }
        Fields c = top.table("control");
        control =
                new Control(
                        c.integer("machines", 3, 1, 60),
                        c.number("calls_s", 50, 1, 1e6),
                        seconds(c, "takeover_s", 1));
        if (control.machines < fleet.regions) {
            c.addFault(
                    "machines", "expected one for each region at least, found " + control.machines);
        }
        Fields d = top.table("day");
        day =
                new Day(
                        d.integer("changes", 2_100, 0, 100_000),
                        d.integer("restarts", 350, 0, 10_000),
                        d.integer("failures", 4, 0, 1_000),
                        d.number("part", 0.01, 0.0001, 1),
                        seconds(d, "over_s", 20));
        events = top.texts("events", EVENTS);
        if (!EVENTS.containsAll(events) || new HashSet<>(events).size() < events.size()) {
            top.addFault("events", "expected some of " + String.join(", ", EVENTS) + ", each once");
        }
        settleTimeoutNanos = seconds(top, "settle_s", 60);
        changeTimeoutNanos = seconds(top, "patience_s", 20);
        outageNanos = seconds(top, "lost_s", 5);
        quietNanos = seconds(top, "quiet_s", 2);
        lateLimitMs = top.number("late_limit_ms", 500, 1, 60_000);
        Fields bounds = top.table("bounds");
        processes = bounds.integer("processes", 200, 2, 200);
        memoryMb = bounds.integer("memory_mb", Integer.MAX_VALUE, 64, Integer.MAX_VALUE);
        Fields m = top.table("membership");
        membershipToml = m.toToml(Set.of("enabled", "listen", "advertise", "seeds"));
        // Uses the production reader, so that the table means the same here as in production.
        MembershipConfig plan = MembershipTable.read(m, file);
        membership = plan == null ? null : plan.protocol();
        if (membership != null && membership.maxMembers() < fleet.size) {
            m.addFault(
                    "most",
                    "expected fleet.size ("
                            + fleet.size
                            + ") or more, found "
                            + membership.maxMembers());
        }
        Fields e = top.table("expect");
        expect =
                new Expect(
                        bound(e, "in_force_ms"),
                        bound(e, "cpu_share"),
                        bound(e, "rss_mb"),
                        bound(e, "bytes_s"));
    }

    private static double bound(Fields f, String key) {
        return f.has(key) ? f.number(key, Double.NaN, 0, 1e12) : Double.POSITIVE_INFINITY;
    }

    private static long seconds(Fields f, String key, double defaultSeconds) {
        return (long) (NANOS_PER_SECOND * f.number(key, defaultSeconds, 0.1, 600));
    }

    /** Returns the names of the zones, as in the settings. */
    List<String> zoneNames() {
        List<String> names = new ArrayList<>();
        for (int z = 0; z < fleet.zones; z++) {
            names.add("z" + z);
        }
        return names;
    }
}

package cottonlock.config;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Checks the platform's JSON ({@code EDGE_CONFIG}) more closely than {@code serve} does, which
 * takes what it can use: a slip that would only show in service is told here. The settings may hold
 * more than a proxy reads.
 */
public final class PlatformFile {
    /** Microseconds: a day, beyond which a time is taken for a slip in its unit. */
    private static final double DAY = 86_400e6;

    private PlatformFile() {}

    /** Throws all that is wrong with it. */
    public static void check(Path file) throws InvalidConfigurationException {
        Fields top = Fields.of(ConfigurationDocument.json(file));
        top.text("name", "");
        top.address("listen", null);
        top.address("discovery", null);
        top.formed("seed", null, "[0-9a-fA-F]{1,16}", "up to 16 hex digits");
        top.address("mgmt", "");
        top.address("peer_listen", "");
        top.address("peers_all", "");
        for (String peer : top.texts("peers", List.of())) {
            if (!Fields.isAddress(peer)) {
                top.fault("peers", "expected " + Fields.ADDRESS_WORDS + ", found \"" + peer + "\"");
            }
        }
        Fields limits = top.table("limits");
        limits.number("cores", 1, 0.01, 1024);
        limits.whole("memory_mb", 192, 32, 1 << 20);
        limits.whole("sockets", 1024, 64, 1 << 20);
        known(top.table("known"));
        if (top.has("settings")) {
            settings(top.table("settings"));
        } else {
            top.fault("settings", "expected a table, but the key is not there");
        }
        top.end();
    }

    private static void known(Fields known) {
        known.number("seq", 0, 0, Double.MAX_VALUE);
        known.flag("whole", true);
        Set<String> hosts = new HashSet<>();
        for (Fields host : known.tables("hosts")) {
            if (!hosts.add(host.text("host", null))) {
                host.fault("host", "stands twice in the list");
            }
            host.address("dial", null);
            host.word("health", null, "active", "leaving", "left");
            host.number("share", 1, 0, 1e6);
            host.number("born_ms", 0, 0, Double.MAX_VALUE);
            host.number("block", 0, 0, Double.MAX_VALUE);
            host.mayHoldMore();
        }
    }

    private static void settings(Fields settings) {
        Set<String> names = new HashSet<>();
        List<Fields> categories = settings.tables("Categories");
        if (categories.isEmpty()) {
            settings.fault("Categories", "expected a list with one table or more");
        }
        for (Fields category : categories) {
            if (!names.add(category.text("Name", null))) {
                category.fault("Name", "stands twice in the list");
            }
            double due = category.number("DueTime", Double.NaN, 1, DAY);
            double expiry = category.number("Expiry", 60e6, 1, DAY);
            if (expiry < due) {
                category.fault("Expiry", "expected no less than DueTime");
            }
            category.word("Repeat", "safe", "safe", "keyed", "unsafe");
            category.word("KeyScope", "all", "all", "zone", "cell");
            category.number("RepeatWindow", 0, 0, DAY);
            category.number("Credit", 1, 0, 1e9);
            category.number("LateCredit", 0, 0, 1e9);
            category.mayHoldMore();
        }
        double shares = 0;
        names.clear();
        for (Fields tenant : settings.tables("Projects")) {
            if (!names.add(tenant.text("Name", null))) {
                tenant.fault("Name", "stands twice in the list");
            }
            shares += tenant.number("Share", 0, 0, 1);
            tenant.number("QuotaRps", 0, 0, 1e9);
            tenant.mayHoldMore();
        }
        // A little more than one is what rounded shares add up to.
        if (shares > 1.001) {
            settings.fault("Projects", "expected shares of 1 at most together, found " + shares);
        }
        settings.word("MembershipMode", "automatic", "automatic", "subscribe");
        settings.texts("Zones", List.of());
        settings.texts("Flavors", List.of());
        Fields limits = settings.table("Limits");
        limits.whole("MaxHandOffs", 1, 1, 1000);
        for (String flag : List.of("Cancel", "RetryAfter", "PeerMessages")) {
            limits.flag(flag, false);
        }
        for (String time : List.of("MaxRetryAfter", "ConnectTimeout", "ConnIdle")) {
            limits.number(time, 0, 0, DAY);
        }
        limits.mayHoldMore();
        Fields obligations = settings.table("Obligations");
        obligations.flag("RemovalNotBinding", false);
        obligations.number("ColdShare", 1, 0, 1);
        obligations.number("FallMultiple", 1, 0, 1e6);
        for (String time : List.of("AskWithin", "Cold", "Fall")) {
            obligations.number(time, 0, 0, DAY);
        }
        obligations.mayHoldMore();
        settings.word("Workload", "chain", "chain", "mesh", "proxy");
        settings.whole("FleetSize", 1, 1, 1 << 20);
        settings.whole("Me", 0, 0, 1 << 20);
        Fields fees = settings.table("Fees");
        fees.number("Connection", 0, 0, 1e6);
        fees.number("Handshake", 0, 0, 1e6);
        fees.mayHoldMore();
        settings.mayHoldMore();
    }
}

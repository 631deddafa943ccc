package cottonlock.config;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Checks the platform's JSON file ({@code EDGE_CONFIG}) for the command {@code check}. The check is
 * stricter than {@code serve}, which replaces some invalid values by defaults. The settings may
 * contain keys that a proxy doesn't read.
 */
public final class PlatformFile {
    /** A time of more than a day is probably given in the wrong unit. */
    private static final double MAX_TIME_MICROS = 86_400e6;

    private static final double DEFAULT_EXPIRY_MICROS = 60e6;

    /** Rounding may make the shares add up to slightly more than 1. */
    private static final double MAX_SUM_OF_SHARES = 1.001;

    private static final double MAX_RATE = 1e9;
    private static final double MAX_FEE = 1e6;
    private static final int MAX_COUNT = 1 << 20;

    private PlatformFile() {}

    /**
     * Checks a file.
     *
     * @throws InvalidConfigurationException with all faults of the file
     */
    public static void check(Path file) throws InvalidConfigurationException {
        Fields top = Fields.of(ConfigurationDocument.json(file));
        top.text("name", "");
        top.address("listen", null);
        top.address("discovery", null);
        top.matching("seed", null, "[0-9a-fA-F]{1,16}", "up to 16 hex digits");
        top.address("mgmt", "");
        top.address("peer_listen", "");
        top.address("peers_all", "");
        Addresses.read(top, "peers");
        Fields limits = top.table("limits");
        limits.number("cores", 1, 0.01, 1024);
        limits.integer("memory_mb", 192, 32, MAX_COUNT);
        limits.integer("sockets", 1024, 64, MAX_COUNT);
        checkEndpointList(top.table("known"));
        if (top.has("settings")) {
            checkSettings(top.table("settings"));
        } else {
            top.addFault("settings", "expected a table, but the key is not there");
        }
        top.throwIfInvalid();
    }

    private static void checkEndpointList(Fields list) {
        list.number("seq", 0, 0, Double.MAX_VALUE);
        list.bool("whole", true);
        Set<String> hosts = new HashSet<>();
        for (Fields host : list.tables("hosts")) {
            if (!hosts.add(host.text("host", null))) {
                host.addFault("host", "occurs twice in the list");
            }
            host.address("dial", null);
            host.oneOf("health", null, "active", "leaving", "left");
            host.number("share", 1, 0, 1e6);
            host.number("born_ms", 0, 0, Double.MAX_VALUE);
            host.number("block", 0, 0, Double.MAX_VALUE);
            host.allowOtherKeys();
        }
    }

    private static void checkSettings(Fields settings) {
        checkRequestClasses(settings);
        checkTenants(settings);
        settings.oneOf("MembershipMode", "automatic", "automatic", "subscribe");
        settings.texts("Zones", List.of());
        settings.texts("Flavors", List.of());
        checkLimits(settings.table("Limits"));
        checkObligations(settings.table("Obligations"));
        settings.oneOf("Workload", "chain", "chain", "mesh", "proxy");
        settings.integer("FleetSize", 1, 1, MAX_COUNT);
        settings.integer("Me", 0, 0, MAX_COUNT);
        Fields fees = settings.table("Fees");
        fees.number("Connection", 0, 0, MAX_FEE);
        fees.number("Handshake", 0, 0, MAX_FEE);
        fees.allowOtherKeys();
        settings.allowOtherKeys();
    }

    private static void checkRequestClasses(Fields settings) {
        List<Fields> requestClasses = settings.tables("Categories");
        if (requestClasses.isEmpty()) {
            settings.addFault("Categories", "expected a list with one table or more");
        }
        Set<String> names = new HashSet<>();
        for (Fields requestClass : requestClasses) {
            if (!names.add(requestClass.text("Name", null))) {
                requestClass.addFault("Name", "occurs twice in the list");
            }
            double latencyObjective =
                    requestClass.number("DueTime", Double.NaN, 1, MAX_TIME_MICROS);
            double timeout =
                    requestClass.number("Expiry", DEFAULT_EXPIRY_MICROS, 1, MAX_TIME_MICROS);
            if (timeout < latencyObjective) {
                requestClass.addFault("Expiry", "expected no less than DueTime");
            }
            requestClass.oneOf("Repeat", "safe", "safe", "keyed", "unsafe");
            requestClass.oneOf("KeyScope", "all", "all", "zone", "cell");
            requestClass.number("RepeatWindow", 0, 0, MAX_TIME_MICROS);
            requestClass.number("Credit", 1, 0, MAX_RATE);
            requestClass.number("LateCredit", 0, 0, MAX_RATE);
            requestClass.allowOtherKeys();
        }
    }

    private static void checkTenants(Fields settings) {
        double sumOfShares = 0;
        Set<String> names = new HashSet<>();
        for (Fields tenant : settings.tables("Projects")) {
            if (!names.add(tenant.text("Name", null))) {
                tenant.addFault("Name", "occurs twice in the list");
            }
            sumOfShares += tenant.number("Share", 0, 0, 1);
            tenant.number("QuotaRps", 0, 0, MAX_RATE);
            tenant.allowOtherKeys();
        }
        if (sumOfShares > MAX_SUM_OF_SHARES) {
            settings.addFault(
                    "Projects", "expected shares that add up to at most 1, found " + sumOfShares);
        }
    }

    private static void checkLimits(Fields limits) {
        limits.integer("MaxHandOffs", 1, 1, 1000);
        for (String flag : List.of("Cancel", "RetryAfter", "PeerMessages")) {
            limits.bool(flag, false);
        }
        for (String time : List.of("MaxRetryAfter", "ConnectTimeout", "ConnIdle")) {
            limits.number(time, 0, 0, MAX_TIME_MICROS);
        }
        limits.allowOtherKeys();
    }

    private static void checkObligations(Fields obligations) {
        obligations.bool("RemovalNotBinding", false);
        obligations.number("ColdShare", 1, 0, 1);
        obligations.number("FallMultiple", 1, 0, 1e6);
        for (String time : List.of("AskWithin", "Cold", "Fall")) {
            obligations.number(time, 0, 0, MAX_TIME_MICROS);
        }
        obligations.allowOtherKeys();
    }
}

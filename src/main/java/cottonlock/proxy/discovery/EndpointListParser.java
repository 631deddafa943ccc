package cottonlock.proxy.discovery;

import cottonlock.decision.api.Endpoint;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import cottonlock.setup.InvalidSettingsException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Turns discovery's JSON into lines of the module's list and the addresses to dial. */
public final class EndpointListParser {
    /** A list as told: whole, or only what changed. */
    public record News(long version, boolean whole, List<Entry> entries) {}

    /** One backend: the module's line of it and where it listens. */
    public record Entry(Endpoint member, InetSocketAddress dial) {}

    private final RateLimitedLog log;
    private final List<String> zones;
    private final List<String> kinds;

    public EndpointListParser(RateLimitedLog log, List<String> zones, List<String> kinds) {
        this.log = log;
        this.zones = new ArrayList<>(zones);
        this.kinds = new ArrayList<>(kinds);
    }

    public News read(Object json) {
        if (!(json instanceof Map<?, ?> map) || !(map.get("hosts") instanceof List<?> hosts)) {
            throw new InvalidSettingsException("a list without hosts");
        }
        List<Entry> entries = new ArrayList<>();
        for (Object host : hosts) {
            try {
                if (!(host instanceof Map<?, ?> fields)) {
                    throw new InvalidSettingsException("a host that is no object");
                }
                entries.add(entry(fields));
            } catch (InvalidSettingsException e) {
                // One odd line must not cost the news of all the others.
                log.warn("list", "left out a host: " + e.getMessage());
            }
        }
        return new News(whole(map, "seq", "0"), "true".equals(map.get("whole")), entries);
    }

    private Entry entry(Map<?, ?> fields) {
        String id = text(fields, "host", null);
        Endpoint.State state =
                switch (text(fields, "health", null)) {
                    case "active" -> Endpoint.State.READY;
                    case "leaving" -> Endpoint.State.DRAINING;
                    case "left" -> Endpoint.State.GONE;
                    default -> throw new InvalidSettingsException("unknown health of " + id);
                };
        try {
            return entry(fields, id, state);
        } catch (InvalidSettingsException e) {
            if (state == Endpoint.State.READY) {
                throw e;
            }
            // That it drains or is gone binds, whatever else is odd about it.
            log.warn("list", "only the health of a host is taken: " + e.getMessage());
            return new Entry(
                    new Endpoint(id, number(zones, ""), number(kinds, ""), 0, state, 0, 0), null);
        }
    }

    private Entry entry(Map<?, ?> fields, String id, Endpoint.State state) {
        double size;
        try {
            size = Double.parseDouble(text(fields, "share", "1"));
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("the share of " + id + " is not a number");
        }
        if (!(size >= 0 && size < Double.POSITIVE_INFINITY)) {
            throw new InvalidSettingsException("the share of " + id + " is out of range");
        }
        Endpoint member =
                new Endpoint(
                        id,
                        number(zones, text(fields, "site", "")),
                        number(kinds, text(fields, "class", "")),
                        (int) whole(fields, "block", "0"),
                        state,
                        size,
                        whole(fields, "born_ms", "0") * 10);
        String dial = text(fields, "dial", "");
        if (dial.isEmpty() && state != Endpoint.State.READY) {
            return new Entry(member, null);
        }
        try {
            return new Entry(member, Sockets.address(dial));
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException("the dial of " + id + " is not an address: " + dial);
        }
    }

    private static String text(Map<?, ?> fields, String name, String otherwise) {
        Object value = fields.get(name);
        if (value instanceof String text) {
            return text;
        }
        if (otherwise == null) {
            throw new InvalidSettingsException("a host without " + name);
        }
        return otherwise;
    }

    private static long whole(Map<?, ?> fields, String name, String otherwise) {
        try {
            return Long.parseLong(text(fields, name, otherwise));
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException(name + " is not a whole number");
        }
    }

    /** The place of a name in the settings' list; names that it lacks come behind it. */
    private synchronized int number(List<String> names, String name) {
        int place = names.indexOf(name);
        if (place < 0) {
            place = names.size();
            names.add(name);
        }
        return place;
    }
}

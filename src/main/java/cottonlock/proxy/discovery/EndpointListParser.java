package cottonlock.proxy.discovery;

import cottonlock.decision.api.Endpoint;
import cottonlock.proxy.io.JsonValue;
import cottonlock.proxy.io.JsonValue.JsonArray;
import cottonlock.proxy.io.JsonValue.JsonObject;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import cottonlock.setup.InvalidSettingsException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses discovery's messages; no other class knows their field names. Zones and machine kinds are
 * mapped to their indexes in the settings' lists. Safe for use by any thread.
 */
public final class EndpointListParser {
    private static final int TICKS_PER_MILLI = 10;

    private final RateLimitedLog log;

    /** Names by index; names that the settings lack are appended. Guarded by this. */
    private final List<String> zones;

    private final List<String> kinds;

    /** A parser for the zones and machine kinds of the settings. */
    public EndpointListParser(RateLimitedLog log, List<String> zones, List<String> kinds) {
        this.log = log;
        this.zones = new ArrayList<>(zones);
        this.kinds = new ArrayList<>(kinds);
    }

    /**
     * Parses a message. Invalid hosts are logged and left out of the result.
     *
     * @throws InvalidSettingsException if the message has no list of hosts
     */
    public EndpointList parse(JsonValue message) {
        if (!(message instanceof JsonObject object)
                || !(object.get("hosts") instanceof JsonArray hosts)) {
            throw new InvalidSettingsException("a list without hosts");
        }
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (JsonValue host : hosts.elements()) {
            try {
                if (!(host instanceof JsonObject fields)) {
                    throw new InvalidSettingsException("a host is not a JSON object");
                }
                entries.add(parseHost(fields));
            } catch (InvalidSettingsException e) {
                log.warn("list", "left out a host: " + e.getMessage());
            }
        }
        boolean complete = object.text("whole", "").equals("true");
        return new EndpointList(parseInteger(object, "seq"), complete, entries);
    }

    /** Accepts that a backend drains or is gone even if its other fields are invalid. */
    private EndpointList.Entry parseHost(JsonObject fields) {
        String id = requiredText(fields, "host");
        Endpoint.State state = parseState(id, requiredText(fields, "health"));
        try {
            return parseHost(fields, id, state);
        } catch (InvalidSettingsException e) {
            if (state == Endpoint.State.READY) {
                throw e;
            }
            log.warn(
                    "list",
                    "used only the health of a host with an invalid field: " + e.getMessage());
            int zone = indexOrAppend(zones, "");
            int kind = indexOrAppend(kinds, "");
            return new EndpointList.Entry(new Endpoint(id, zone, kind, 0, state, 0, 0), null);
        }
    }

    private static Endpoint.State parseState(String id, String health) {
        return switch (health) {
            case "active" -> Endpoint.State.READY;
            case "leaving" -> Endpoint.State.DRAINING;
            case "left" -> Endpoint.State.GONE;
            default -> throw new InvalidSettingsException("unknown health of " + id);
        };
    }

    private EndpointList.Entry parseHost(JsonObject fields, String id, Endpoint.State state) {
        double share = parseShare(fields, id);
        Endpoint endpoint =
                new Endpoint(
                        id,
                        indexOrAppend(zones, fields.text("site", "")),
                        indexOrAppend(kinds, fields.text("class", "")),
                        (int) parseInteger(fields, "block"),
                        state,
                        share,
                        parseInteger(fields, "born_ms") * TICKS_PER_MILLI);
        return new EndpointList.Entry(endpoint, parseAddress(fields, id, state));
    }

    private static double parseShare(JsonObject fields, String id) {
        double share;
        try {
            share = Double.parseDouble(fields.text("share", "1"));
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("the share of " + id + " is not a number");
        }
        if (!(share >= 0 && share < Double.POSITIVE_INFINITY)) {
            throw new InvalidSettingsException("the share of " + id + " is out of range");
        }
        return share;
    }

    private static InetSocketAddress parseAddress(
            JsonObject fields, String id, Endpoint.State state) {
        String dial = fields.text("dial", "");
        if (dial.isEmpty() && state != Endpoint.State.READY) {
            return null;
        }
        try {
            return Sockets.parseAddress(dial);
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException("the dial of " + id + " is not an address: " + dial);
        }
    }

    private static String requiredText(JsonObject fields, String name) {
        String text = fields.text(name, null);
        if (text == null) {
            throw new InvalidSettingsException("a host without " + name);
        }
        return text;
    }

    /** An integer field; 0 where it is absent. */
    private static long parseInteger(JsonObject fields, String name) {
        try {
            return Long.parseLong(fields.text(name, "0"));
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException(name + " is not a whole number");
        }
    }

    private synchronized int indexOrAppend(List<String> names, String name) {
        int index = names.indexOf(name);
        if (index < 0) {
            index = names.size();
            names.add(name);
        }
        return index;
    }
}

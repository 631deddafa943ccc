package cottonlock.proxy.control;

import cottonlock.proxy.discovery.EndpointListParser;
import cottonlock.proxy.io.JsonReader;
import cottonlock.proxy.io.Sockets;
import cottonlock.setup.InvalidSettingsException;
import cottonlock.setup.Settings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads the configuration file of one proxy; whatever is wrong with it is a {@link
 * InvalidSettingsException}.
 */
public final class ProxyConfiguration {
    private final Map<?, ?> root;

    private ProxyConfiguration(Map<?, ?> root) {
        this.root = root;
    }

    public static ProxyConfiguration read(Path file) {
        try {
            if (JsonReader.read(Files.readString(file)) instanceof Map<?, ?> map) {
                return new ProxyConfiguration(map);
            }
            throw new InvalidSettingsException("the configuration is no JSON object");
        } catch (IOException e) {
            throw new InvalidSettingsException("the configuration cannot be read: " + e);
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException("the configuration is not JSON: " + e.getMessage());
        }
    }

    /**
     * Turns it down unless it may follow the one in force: a file that lacks a key that stands
     * there, or that no work could be served by, is taken for one that was cut off or mistyped.
     */
    public void mayFollow(ProxyConfiguration before) {
        for (Object key : before.root.keySet()) {
            // Who serves beside us and what was last known may come and go; the rest may not.
            if (!root.containsKey(key)
                    && !String.valueOf(key).startsWith("peer")
                    && !key.equals("known")) {
                throw new InvalidSettingsException("the key " + key + " is missing");
            }
        }
        sameKeys("settings", before.root.get("settings"), root.get("settings"));
        seed();
        Settings settings = settings();
        servable(settings);
        List<String> tenants = before.settings().each("Projects", "Name");
        if (!tenants.equals(settings.each("Projects", "Name"))) {
            // Lanes and quotas are laid out by their order: one moved would get another's.
            throw new InvalidSettingsException(
                    "settings.Projects names other tenants, for which a new process is needed");
        }
    }

    /** Turns down settings that no work could be served by, whatever was in force before. */
    public static void servable(Settings settings) {
        List<String> names = settings.each("Categories", "Name");
        if (names.isEmpty() || names.contains("") || Set.copyOf(names).size() < names.size()) {
            throw new InvalidSettingsException(
                    "settings.Categories has no category, or one without a name of its own");
        }
        for (int i = 0; i < names.size(); i++) {
            above(settings, "Categories." + i + ".DueTime");
            above(settings, "Categories." + i + ".Expiry");
        }
        above(settings, "Limits.MaxHandOffs");
    }

    /**
     * All keys of the one in the other too; of a list of objects, those that all of the one's have.
     */
    private static void sameKeys(String path, Object before, Object now) {
        if (before instanceof Map<?, ?> old) {
            if (!(now instanceof Map<?, ?> map)) {
                throw new InvalidSettingsException(path + " is no object");
            }
            old.forEach(
                    (key, value) -> {
                        if (map.get(key) == null) {
                            throw new InvalidSettingsException(
                                    "the key " + path + "." + key + " is missing");
                        }
                        sameKeys(path + "." + key, value, map.get(key));
                    });
        } else if (before instanceof List<?> old
                && !old.isEmpty()
                && old.get(0) instanceof Map<?, ?> first) {
            if (!(now instanceof List<?> list)) {
                throw new InvalidSettingsException(path + " is no list");
            }
            for (Object key : first.keySet()) {
                boolean inAll =
                        old.stream().allMatch(o -> o instanceof Map<?, ?> m && m.containsKey(key));
                for (int i = 0; inAll && i < list.size(); i++) {
                    if (!(list.get(i) instanceof Map<?, ?> map) || map.get(key) == null) {
                        throw new InvalidSettingsException(
                                "the key " + path + "." + i + "." + key + " is missing");
                    }
                }
            }
        }
    }

    private static void above(Settings settings, String path) {
        double value = settings.number(path, Double.NaN);
        if (!(value > 0 && value < Double.POSITIVE_INFINITY)) {
            throw new InvalidSettingsException(
                    "settings."
                            + path
                            + " must be over 0, found "
                            + settings.text(path, "nothing"));
        }
    }

    /** A plain value, or what stands in where there is none. */
    public String text(String name, String otherwise) {
        return root.get(name) instanceof String text ? text : otherwise;
    }

    /** The settings as paths and values, as the module is built from them. */
    public Settings settings() {
        if (!(root.get("settings") instanceof Map<?, ?> map)) {
            throw new InvalidSettingsException("no settings");
        }
        return settings(map);
    }

    /** The settings of an object as JSON has it. */
    public static Settings settings(Map<?, ?> map) {
        Settings settings = new Settings();
        put(settings, "", map);
        return settings;
    }

    private static void put(Settings settings, String path, Object value) {
        if (value instanceof Map<?, ?> map) {
            map.forEach(
                    (name, inner) ->
                            put(settings, (path.isEmpty() ? "" : path + ".") + name, inner));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            settings.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                put(settings, path + "." + i, list.get(i));
            }
        } else if (value instanceof List<?> list) {
            List<String> words = new ArrayList<>();
            list.forEach(word -> words.add(String.valueOf(word)));
            settings.put(path, String.join(",", words));
        } else if (value != null) {
            settings.put(path, value.toString());
        }
    }

    /** An address that must be there. */
    public InetSocketAddress address(String name) {
        InetSocketAddress address = addressIfAny(name);
        if (address == null) {
            throw new InvalidSettingsException("no " + name);
        }
        return address;
    }

    public InetSocketAddress addressIfAny(String name) {
        Object value = root.get(name);
        return value == null ? null : address(name, value);
    }

    public List<InetSocketAddress> addresses(String name) {
        List<InetSocketAddress> list = new ArrayList<>();
        if (root.get(name) instanceof List<?> values) {
            values.forEach(value -> list.add(address(name, value)));
        }
        return list;
    }

    public static InetSocketAddress address(String name, Object value) {
        try {
            return Sockets.address(String.valueOf(value));
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException(name + " is not an address: " + value);
        }
    }

    /** The seed for random numbers: 16 hex digits. */
    public long seed() {
        try {
            return Long.parseUnsignedLong(String.valueOf(root.get("seed")), 16);
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("seed is not a hex number: " + root.get("seed"));
        }
    }

    /** A limit on resources, or what stands in where none is given. */
    public int limit(String name, int otherwise) {
        Object value = root.get("limits") instanceof Map<?, ?> limits ? limits.get(name) : null;
        try {
            return value == null ? otherwise : (int) Double.parseDouble(value.toString());
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("limit " + name + " is not a number: " + value);
        }
    }

    /** The list of backends as this proxy last had it. */
    public EndpointListParser.News known(EndpointListParser directory) {
        return root.get("known") == null
                ? new EndpointListParser.News(0, true, List.of())
                : directory.read(root.get("known"));
    }
}

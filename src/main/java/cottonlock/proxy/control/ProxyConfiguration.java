package cottonlock.proxy.control;

import cottonlock.proxy.discovery.EndpointList;
import cottonlock.proxy.discovery.EndpointListParser;
import cottonlock.proxy.io.JsonReader;
import cottonlock.proxy.io.JsonValue;
import cottonlock.proxy.io.JsonValue.JsonArray;
import cottonlock.proxy.io.JsonValue.JsonNull;
import cottonlock.proxy.io.JsonValue.JsonObject;
import cottonlock.proxy.io.MalformedJsonException;
import cottonlock.proxy.io.Sockets;
import cottonlock.setup.InvalidSettingsException;
import cottonlock.setup.Settings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The configuration file of one proxy: addresses, limits and the settings. Immutable. Any fault in
 * the file is reported as an {@link InvalidSettingsException} that names the key.
 */
public final class ProxyConfiguration {
    private static final String SETTINGS_KEY = "settings";
    private static final String CACHED_LIST_KEY = "known";
    private static final String PEER_KEY_PREFIX = "peer";
    private static final int SEED_RADIX = 16;

    private final JsonObject root;

    private ProxyConfiguration(JsonObject root) {
        this.root = root;
    }

    /**
     * Reads a configuration file.
     *
     * @throws InvalidSettingsException if it cannot be read or is not a JSON object
     */
    public static ProxyConfiguration read(Path file) {
        try {
            if (JsonReader.read(Files.readString(file)) instanceof JsonObject object) {
                return new ProxyConfiguration(object);
            }
            throw new InvalidSettingsException("the configuration is no JSON object");
        } catch (IOException e) {
            throw new InvalidSettingsException("the configuration cannot be read: " + e);
        } catch (MalformedJsonException e) {
            throw new InvalidSettingsException("the configuration is not JSON: " + e.getMessage());
        }
    }

    /**
     * Checks that this configuration may replace another one in a running process. A file that
     * lacks a key of the previous one, or whose settings could serve no request, is taken for
     * truncated or mistyped.
     *
     * @throws InvalidSettingsException if it may not
     */
    public void requireCompatibleWith(ProxyConfiguration previous) {
        for (String key : previous.root.fields().keySet()) {
            boolean optional = key.startsWith(PEER_KEY_PREFIX) || key.equals(CACHED_LIST_KEY);
            if (!root.has(key) && !optional) {
                throw new InvalidSettingsException("the key " + key + " is missing");
            }
        }
        requireKeysOf(SETTINGS_KEY, previous.root.get(SETTINGS_KEY), root.get(SETTINGS_KEY));
        seed();
        Settings settings = settings();
        requireServable(settings);
        List<String> tenants = previous.settings().fieldOfEach("Projects", "Name");
        if (!tenants.equals(settings.fieldOfEach("Projects", "Name"))) {
            // Lanes and quotas are assigned by the tenants' positions.
            throw new InvalidSettingsException(
                    "settings.Projects names other tenants, for which a new process is needed");
        }
    }

    /**
     * Checks that a proxy with these settings could serve requests: there are request classes,
     * their names are unique and not empty, and their latency objectives, their expiries and the
     * limit of attempts are positive.
     *
     * @throws InvalidSettingsException if it could not
     */
    public static void requireServable(Settings settings) {
        List<String> names = settings.fieldOfEach("Categories", "Name");
        if (names.isEmpty() || names.contains("") || Set.copyOf(names).size() < names.size()) {
            throw new InvalidSettingsException(
                    "settings.Categories is empty or has a category without a unique name");
        }
        for (int i = 0; i < names.size(); i++) {
            requirePositive(settings, "Categories." + i + ".DueTime");
            requirePositive(settings, "Categories." + i + ".Expiry");
        }
        requirePositive(settings, "Limits.MaxHandOffs");
    }

    /** Requires all keys of the previous value, at any depth. */
    private static void requireKeysOf(String path, JsonValue previous, JsonValue value) {
        if (previous instanceof JsonObject object) {
            requireObjectKeysOf(path, object, value);
        } else if (previous instanceof JsonArray array
                && !array.elements().isEmpty()
                && array.elements().get(0) instanceof JsonObject) {
            requireElementKeysOf(path, array, value);
        }
    }

    private static void requireObjectKeysOf(String path, JsonObject previous, JsonValue value) {
        if (!(value instanceof JsonObject object)) {
            throw new InvalidSettingsException(path + " is not an object");
        }
        previous.fields()
                .forEach(
                        (key, previousValue) -> {
                            String keyPath = path + "." + key;
                            requirePresent(keyPath, object.get(key));
                            requireKeysOf(keyPath, previousValue, object.get(key));
                        });
    }

    /** Requires in each element the keys that all previous elements have. */
    private static void requireElementKeysOf(String path, JsonArray previous, JsonValue value) {
        if (!(value instanceof JsonArray array)) {
            throw new InvalidSettingsException(path + " is not a list");
        }
        for (String key : ((JsonObject) previous.elements().get(0)).fields().keySet()) {
            if (!previous.elements().stream().allMatch(element -> hasKey(element, key))) {
                continue;
            }
            for (int i = 0; i < array.elements().size(); i++) {
                JsonValue element = array.elements().get(i);
                requirePresent(
                        path + "." + i + "." + key,
                        element instanceof JsonObject object ? object.get(key) : JsonNull.NULL);
            }
        }
    }

    private static boolean hasKey(JsonValue value, String key) {
        return value instanceof JsonObject object && object.has(key);
    }

    private static void requirePresent(String path, JsonValue value) {
        if (value instanceof JsonNull) {
            throw new InvalidSettingsException("the key " + path + " is missing");
        }
    }

    private static void requirePositive(Settings settings, String path) {
        double value = settings.number(path, Double.NaN);
        if (!(value > 0 && value < Double.POSITIVE_INFINITY)) {
            throw new InvalidSettingsException(
                    "settings."
                            + path
                            + " must be greater than 0, found "
                            + settings.text(path, "none"));
        }
    }

    /** The text of a key; the fallback, which may be null, if the key has no text. */
    public String text(String name, String fallback) {
        return root.text(name, fallback);
    }

    /**
     * The settings as paths and values, from which the load balancer is built.
     *
     * @throws InvalidSettingsException if the file has no settings
     */
    public Settings settings() {
        if (!(root.get(SETTINGS_KEY) instanceof JsonObject object)) {
            throw new InvalidSettingsException("no settings");
        }
        return settings(object);
    }

    /** Flattens a JSON object into settings, one path for each value. */
    public static Settings settings(JsonObject object) {
        Settings settings = new Settings();
        object.fields().forEach((name, value) -> put(settings, name, value));
        return settings;
    }

    private static void put(Settings settings, String path, JsonValue value) {
        if (value instanceof JsonObject object) {
            object.fields().forEach((name, inner) -> put(settings, path + "." + name, inner));
        } else if (value instanceof JsonArray array) {
            putElements(settings, path, array.elements());
        } else if (!(value instanceof JsonNull)) {
            settings.put(path, value.toString());
        }
    }

    /** Each object of a list gets a path of its own; a list of words becomes one value. */
    private static void putElements(Settings settings, String path, List<JsonValue> elements) {
        if (elements.stream().anyMatch(JsonObject.class::isInstance)) {
            settings.put(path + ".count", Integer.toString(elements.size()));
            for (int i = 0; i < elements.size(); i++) {
                put(settings, path + "." + i, elements.get(i));
            }
        } else {
            String words =
                    elements.stream().map(JsonValue::toString).collect(Collectors.joining(","));
            settings.put(path, words);
        }
    }

    /**
     * A required address.
     *
     * @throws InvalidSettingsException if it is absent or malformed
     */
    public InetSocketAddress address(String name) {
        InetSocketAddress address = addressOrNull(name);
        if (address == null) {
            throw new InvalidSettingsException("no " + name);
        }
        return address;
    }

    /**
     * An optional address; null if it is absent.
     *
     * @throws InvalidSettingsException if it is malformed
     */
    public InetSocketAddress addressOrNull(String name) {
        JsonValue value = root.get(name);
        return value instanceof JsonNull ? null : address(name, value.toString());
    }

    /**
     * A list of addresses; empty if the key is absent or not a list.
     *
     * @throws InvalidSettingsException if an address is malformed
     */
    public List<InetSocketAddress> addresses(String name) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        if (root.get(name) instanceof JsonArray array) {
            array.elements().forEach(value -> addresses.add(address(name, value.toString())));
        }
        return addresses;
    }

    /**
     * Parses an address.
     *
     * @param name the key that holds it, for the exception's message
     * @throws InvalidSettingsException if it is malformed
     */
    public static InetSocketAddress address(String name, String text) {
        try {
            return Sockets.parseAddress(text);
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException(name + " is not an address: " + text);
        }
    }

    /**
     * The seed for random numbers, 16 hex digits in the file.
     *
     * @throws InvalidSettingsException if it is absent or not a number
     */
    public long seed() {
        String seed = root.get("seed").toString();
        try {
            return Long.parseUnsignedLong(seed, SEED_RADIX);
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("seed is not a hex number: " + seed);
        }
    }

    /**
     * A limit on resources; the fallback if none is configured.
     *
     * @throws InvalidSettingsException if it is not a number
     */
    public int limit(String name, int fallback) {
        JsonValue value =
                root.get("limits") instanceof JsonObject limits ? limits.get(name) : JsonNull.NULL;
        try {
            return value instanceof JsonNull
                    ? fallback
                    : (int) Double.parseDouble(value.toString());
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("limit " + name + " is not a number: " + value);
        }
    }

    /**
     * This configuration without the endpoint list, which takes megabytes for a large fleet and is
     * used at the start only.
     */
    public ProxyConfiguration withoutCachedEndpointList() {
        Map<String, JsonValue> fields = new LinkedHashMap<>(root.fields());
        fields.remove(CACHED_LIST_KEY);
        return new ProxyConfiguration(new JsonObject(fields));
    }

    /** The endpoint list that the file holds from before this start; empty if it holds none. */
    public EndpointList cachedEndpointList(EndpointListParser parser) {
        JsonValue cached = root.get(CACHED_LIST_KEY);
        return cached instanceof JsonNull
                ? new EndpointList(0, true, List.of())
                : parser.parse(cached);
    }
}

package cottonlock.setup;

import cottonlock.core.Ticks;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The settings of one load balancer: text values by path, such as {@code Limits.MaxRetryAfter},
 * which are converted to a type when read. Settings that are never read are ignored. Durations are
 * given in microseconds and read in ticks. Not thread-safe.
 *
 * <p>Each method that reads a value throws {@link InvalidSettingsException} if the value is not of
 * its type; the message names the path and the value.
 */
public final class Settings {
    private final Map<String, String> valuesByPath = new HashMap<>();

    /**
     * Adds a setting in the form {@code path=value}.
     *
     * @throws InvalidSettingsException if the text is not of this form
     */
    public void put(String pathAndValue) {
        int equals = pathAndValue.indexOf('=');
        if (equals <= 0) {
            throw new InvalidSettingsException(
                    "a setting is not of the form path=value: " + pathAndValue);
        }
        put(pathAndValue.substring(0, equals), pathAndValue.substring(equals + 1));
    }

    /** Adds a setting, or replaces an earlier one with the same path. */
    public void put(String path, String value) {
        valuesByPath.put(path, value);
    }

    /** A copy of all settings, in the order of their paths. */
    public SortedMap<String, String> sortedByPath() {
        return new TreeMap<>(valuesByPath);
    }

    /** The value as text. */
    public String text(String path, String defaultValue) {
        return valuesByPath.getOrDefault(path, defaultValue);
    }

    /** The value as a boolean: {@code true} or 1, {@code false} or 0. */
    public boolean flag(String path, boolean defaultValue) {
        String value = valuesByPath.get(path);
        if (value == null) {
            return defaultValue;
        }
        return switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default ->
                    throw new InvalidSettingsException(
                            "setting " + path + " is neither true nor false: " + value);
        };
    }

    /** The value as a number. */
    public double number(String path, double defaultValue) {
        String value = valuesByPath.get(path);
        if (value == null) {
            return defaultValue;
        }
        try {
            double number = Double.parseDouble(value);
            if (!Double.isNaN(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, like NaN.
        }
        throw new InvalidSettingsException("setting " + path + " is not a number: " + value);
    }

    /** The value as a whole number, truncated and limited to the range of an int. */
    public int count(String path, int defaultValue) {
        double number = number(path, defaultValue);
        return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, number));
    }

    /** The value as a list of texts separated by commas; empty if there is none. */
    public List<String> list(String path) {
        String value = text(path, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    /**
     * The values of one field in each item of a list of objects; empty where an item lacks the
     * field.
     */
    public List<String> fieldOfEach(String path, String field) {
        List<String> values = new ArrayList<>();
        for (int i = 0; i < count(path + ".count", 0); i++) {
            values.add(text(path + "." + i + "." + field, ""));
        }
        return values;
    }

    /** A duration in ticks, rounded down; 0 if the setting is absent. */
    public long ticksRoundedDown(String path) {
        return ticksRoundedDown(path, 0);
    }

    /**
     * A duration in ticks, rounded down.
     *
     * @param defaultMicros the default, in microseconds
     */
    public long ticksRoundedDown(String path, double defaultMicros) {
        return (long) Math.floor(number(path, defaultMicros) / Ticks.MICROSECONDS_PER_TICK);
    }

    /** A duration in ticks, rounded up; 0 if the setting is absent. */
    public long ticksRoundedUp(String path) {
        return (long) Math.ceil(number(path, 0) / Ticks.MICROSECONDS_PER_TICK);
    }

    /**
     * The value as one of a few words.
     *
     * @param defaultWord the default
     * @param valuesByWord the value for each word
     */
    public <T> T choice(String path, String defaultWord, Map<String, T> valuesByWord) {
        String word = text(path, defaultWord);
        T value = valuesByWord.get(word);
        if (value == null) {
            throw new InvalidSettingsException(
                    "setting " + path + " has an unknown value: " + word);
        }
        return value;
    }
}

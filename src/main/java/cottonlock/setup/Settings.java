package cottonlock.setup;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** The settings of one instance, by path; what is not asked for is ignored. */
public final class Settings {
    /** Microseconds, the unit of the settings, in the module's: a tenth of a millisecond. */
    public static final long MICROS = 100;

    private final Map<String, String> values = new HashMap<>();

    /** Takes a setting in the form path=value. */
    public void put(String pair) {
        int equals = pair.indexOf('=');
        if (equals <= 0) {
            throw new InvalidSettingsException("a setting is not of the form path=value: " + pair);
        }
        put(pair.substring(0, equals), pair.substring(equals + 1));
    }

    public void put(String path, String value) {
        values.put(path, value);
    }

    /** All of them, in the order of their paths. */
    public SortedMap<String, String> sorted() {
        return new TreeMap<>(values);
    }

    public String text(String path, String otherwise) {
        return values.getOrDefault(path, otherwise);
    }

    public boolean flag(String path, boolean otherwise) {
        String value = values.get(path);
        if (value == null) {
            return otherwise;
        }
        return switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default ->
                    throw new InvalidSettingsException(
                            "setting " + path + " is neither true nor false: " + value);
        };
    }

    public double number(String path, double otherwise) {
        String value = values.get(path);
        if (value == null) {
            return otherwise;
        }
        try {
            double number = Double.parseDouble(value);
            if (!Double.isNaN(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Told below, as for a value that is no number at all.
        }
        throw new InvalidSettingsException("setting " + path + " is not a number: " + value);
    }

    public int count(String path, int otherwise) {
        return (int)
                Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, number(path, otherwise)));
    }

    /** A list of plain values; empty where there is none. */
    public List<String> words(String path) {
        String value = text(path, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    /** The values of one field of each item of a list of objects. */
    public List<String> each(String path, String field) {
        List<String> list = new ArrayList<>();
        for (int i = 0; i < count(path + ".count", 0); i++) {
            list.add(text(path + "." + i + "." + field, ""));
        }
        return list;
    }

    /** A time in tenths of a millisecond, cut to whole ones. */
    public long timeDown(String path) {
        return timeDown(path, 0);
    }

    /** The same, with the microseconds that stand in where none are given. */
    public long timeDown(String path, double otherwise) {
        return (long) Math.floor(number(path, otherwise) / MICROS);
    }

    /** A time in tenths of a millisecond, whole ones that cover it. */
    public long timeUp(String path) {
        return (long) Math.ceil(number(path, 0) / MICROS);
    }

    /** A setting that must be one of a few words: the place of its value among them. */
    public int choice(String path, String... words) {
        String value = text(path, words[0]);
        for (int i = 0; i < words.length; i++) {
            if (words[i].equals(value)) {
                return i;
            }
        }
        throw new InvalidSettingsException("setting " + path + " has an unknown value: " + value);
    }
}

package cottonlock.bench;

import java.util.HashMap;
import java.util.Map;

/** The settings of one instance, by path; what is not asked for is ignored. */
final class Settings {
    private final Map<String, String> values = new HashMap<>();

    void put(String pair) {
        int equals = pair.indexOf('=');
        if (equals <= 0) {
            throw new Malformed("a setting is not of the form path=value: " + pair);
        }
        values.put(pair.substring(0, equals), pair.substring(equals + 1));
    }

    String text(String path, String otherwise) {
        return values.getOrDefault(path, otherwise);
    }

    boolean flag(String path, boolean otherwise) {
        String value = values.get(path);
        if (value == null) {
            return otherwise;
        }
        return switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw new Malformed("setting " + path + " is neither true nor false: " + value);
        };
    }

    double number(String path, double otherwise) {
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
        throw new Malformed("setting " + path + " is not a number: " + value);
    }

    int count(String path, int otherwise) {
        return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, number(path, otherwise)));
    }

    /** A time in tenths of a millisecond, cut to whole ones. */
    long timeDown(String path) {
        return (long) Math.floor(number(path, 0) / WireHost.MICROS);
    }

    /** A time in tenths of a millisecond, whole ones that cover it. */
    long timeUp(String path) {
        return (long) Math.ceil(number(path, 0) / WireHost.MICROS);
    }

    /** A setting that must be one of a few words: the place of its value among them. */
    int choice(String path, String... words) {
        String value = text(path, words[0]);
        for (int i = 0; i < words.length; i++) {
            if (words[i].equals(value)) {
                return i;
            }
        }
        throw new Malformed("setting " + path + " has an unknown value: " + value);
    }
}

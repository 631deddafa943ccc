package cottonlock.proxy.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which backends operators have ejected, and when others were returned to service. Stored as lines:
 * {@code out ID} and {@code back ID TICKS}. Immutable.
 *
 * @param ejected ids of the ejected backends
 * @param returnedAtTicks when other backends were returned to service, by id; recent returns only
 */
record EjectionState(Set<String> ejected, Map<String, Long> returnedAtTicks) {
    /** How long a return to service is kept: longer than any backend's slow start. */
    private static final long RETURN_RETENTION_TICKS = 3_000_000;

    private static final String EJECTED_KEYWORD = "out";
    private static final String RETURNED_KEYWORD = "back";
    private static final String SEPARATOR = " ";

    EjectionState {
        ejected = Set.copyOf(ejected);
        returnedAtTicks = Map.copyOf(returnedAtTicks);
    }

    /** Parses stored lines; malformed lines and old returns are ignored. */
    static EjectionState parse(List<String> lines, long nowTicks) {
        Set<String> ejected = new HashSet<>();
        Map<String, Long> returnedAtTicks = new HashMap<>();
        for (String line : lines) {
            List<String> words = List.of(line.split(SEPARATOR, 0));
            if (words.size() == 2 && words.get(0).equals(EJECTED_KEYWORD)) {
                ejected.add(words.get(1));
            } else if (isRecentReturn(words, nowTicks)) {
                long returnTicks = Math.min(nowTicks, Long.parseLong(words.get(2)));
                returnedAtTicks.put(words.get(1), returnTicks);
            }
        }
        return new EjectionState(ejected, returnedAtTicks);
    }

    private static boolean isRecentReturn(List<String> words, long nowTicks) {
        return words.size() == 3
                && words.get(0).equals(RETURNED_KEYWORD)
                && Decimals.isUnsigned(words.get(2))
                && nowTicks - Long.parseLong(words.get(2)) < RETURN_RETENTION_TICKS;
    }

    /** The state as lines to store. */
    List<String> toLines() {
        List<String> lines = new ArrayList<>();
        ejected.forEach(id -> lines.add(ejectedLine(id)));
        returnedAtTicks.forEach((id, returnTicks) -> lines.add(returnedLine(id, returnTicks)));
        return lines;
    }

    /** Stored lines with one backend ejected; lines of other backends are unchanged. */
    static List<String> withEjected(List<String> lines, String id) {
        List<String> changed = withoutBackend(lines, id);
        changed.add(ejectedLine(id));
        return changed;
    }

    /** Stored lines with one backend returned; lines of other backends are unchanged. */
    static List<String> withReturned(List<String> lines, String id, long nowTicks) {
        List<String> changed = withoutBackend(lines, id);
        changed.add(returnedLine(id, nowTicks));
        return changed;
    }

    private static List<String> withoutBackend(List<String> lines, String id) {
        List<String> others = new ArrayList<>(lines);
        String returned = RETURNED_KEYWORD + SEPARATOR + id + SEPARATOR;
        others.removeIf(line -> line.equals(ejectedLine(id)) || line.startsWith(returned));
        return others;
    }

    private static String ejectedLine(String id) {
        return EJECTED_KEYWORD + SEPARATOR + id;
    }

    private static String returnedLine(String id, long returnTicks) {
        return RETURNED_KEYWORD + SEPARATOR + id + SEPARATOR + returnTicks;
    }
}

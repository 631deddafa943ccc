package cottonlock.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads the fields of one table, and keeps account of what is wrong and of what was never asked
 * for. All tables of a file share one list of faults, which {@link #end} throws at once. A field
 * that is at fault reads as its default, so that reading goes on and finds the next fault too.
 */
public final class Fields {
    /** The most edits at which a known key is named as the one that was probably meant. */
    private static final int NEAR = 3;

    private static final String BYTE = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
    private static final String ADDRESS =
            "(" + BYTE + "(\\." + BYTE + "){3}|\\[[0-9a-fA-F:.]+\\]):[0-9]{1,5}";
    private static final int LAST_PORT = 0xffff;

    /** What an address looks like, in words. */
    public static final String ADDRESS_WORDS =
            "an address of digits with a port, such as 127.0.0.1:5000";

    /** One fault and the line that it is told of. */
    private record Fault(int line, String text) {}

    private final ConfigurationDocument doc;
    private final String path;
    private final List<Fault> faults;
    private final Set<String> asked = new LinkedHashSet<>();
    private final List<Fields> inner;
    private boolean open;

    private Fields(ConfigurationDocument doc, String path, List<Fault> faults, List<Fields> all) {
        this.doc = doc;
        this.path = path;
        this.faults = faults;
        this.inner = all;
        all.add(this);
    }

    /** The top of a file. */
    public static Fields of(ConfigurationDocument doc) throws InvalidConfigurationException {
        if (!doc.isMap()) {
            throw InvalidConfigurationException.of(
                    doc.file, doc.line, "", "expected a table, found " + doc.kind());
        }
        return new Fields(doc, "", new ArrayList<>(), new ArrayList<>());
    }

    /** Throws what has been found wrong, unknown keys among it. */
    public void end() throws InvalidConfigurationException {
        for (Fields table : inner) {
            if (!table.open) {
                table.doc
                        .map()
                        .forEach(
                                (key, value) -> {
                                    if (!table.asked.contains(key)) {
                                        table.fault(
                                                key,
                                                value,
                                                "unknown key" + nearest(key, table.asked));
                                    }
                                });
            }
        }
        if (!faults.isEmpty()) {
            faults.sort(Comparator.comparingInt(Fault::line));
            throw new InvalidConfigurationException(faults.stream().map(Fault::text).toList());
        }
    }

    /** Keys that nobody asks for are fine in this table: others read them. */
    public void mayHoldMore() {
        open = true;
    }

    private static String nearest(String key, Set<String> known) {
        return known.stream()
                .filter(k -> edits(key, k) <= Math.min(NEAR, k.length() - 1))
                .min(Comparator.comparingInt((String k) -> edits(key, k)))
                .map(k -> "; did you mean " + k + "?")
                .orElse("; known here: " + String.join(", ", known));
    }

    /** The fewest letters to add, drop or change (Levenshtein). */
    static int edits(String one, String other) {
        int[] row = new int[other.length() + 1];
        for (int j = 0; j < row.length; j++) {
            row[j] = j;
        }
        for (int i = 1; i <= one.length(); i++) {
            int corner = row[0];
            row[0] = i;
            for (int j = 1; j < row.length; j++) {
                int change = corner + (one.charAt(i - 1) == other.charAt(j - 1) ? 0 : 1);
                corner = row[j];
                row[j] = Math.min(change, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[other.length()];
    }

    /** A fault at one of the keys, found by whoever knows what the values mean together. */
    public void fault(String key, String expected) {
        fault(key, doc.map().getOrDefault(key, doc), expected);
    }

    private void fault(String key, ConfigurationDocument at, String text) {
        faults.add(
                new Fault(
                        at.line,
                        InvalidConfigurationException.line(at.file, at.line, path + key, text)));
    }

    /** Whether the key is there. */
    public boolean has(String key) {
        asked.add(key);
        return doc.map().containsKey(key);
    }

    private ConfigurationDocument get(String key) {
        asked.add(key);
        return doc.map().get(key);
    }

    /** A text; a default of null makes the key one that must be there. */
    public String text(String key, String otherwise) {
        ConfigurationDocument at = get(key);
        if (at == null) {
            if (otherwise == null) {
                fault(key, doc, "expected a text, but the key is not there");
            }
            return otherwise == null ? "" : otherwise;
        }
        if (at.plain() instanceof String text) {
            return text;
        }
        fault(key, at, "expected a text, found " + at.kind());
        return otherwise == null ? "" : otherwise;
    }

    /** One of a few words. */
    public String word(String key, String otherwise, String... words) {
        String text = text(key, otherwise);
        if (List.of(words).contains(text)) {
            return text;
        }
        if (doc.map().containsKey(key)) {
            ConfigurationDocument at = doc.map().get(key);
            fault(key, at, "expected one of " + String.join(", ", words) + ", found " + at.kind());
        }
        return otherwise == null ? words[0] : otherwise;
    }

    /**
     * The same, where words have been renamed: an old one is read as its new one, with one warning.
     */
    public String word(String key, String otherwise, Map<String, String> renamed, String... words) {
        ConfigurationDocument at = doc.map().get(key);
        String now = at == null ? null : renamed.get(String.valueOf(at.plain()));
        if (now == null) {
            return word(key, otherwise, words);
        }
        asked.add(key);
        System.getLogger("cottonlock")
                .log(
                        System.Logger.Level.WARNING,
                        InvalidConfigurationException.line(
                                at.file,
                                at.line,
                                path + key,
                                "\"" + at.plain() + "\" is called \"" + now + "\" now"));
        return now;
    }

    /** A text of the given form, which the words describe. */
    public String formed(String key, String otherwise, String form, String words) {
        String text = text(key, otherwise);
        if (has(key) && doc.map().get(key).plain() instanceof String && !text.matches(form)) {
            fault(key, "expected " + words + ", found \"" + text + "\"");
        }
        return text;
    }

    /** Whether a text is an address of digits with a port. */
    public static boolean isAddress(String text) {
        return text.matches(ADDRESS)
                && Integer.parseInt(text.substring(text.lastIndexOf(':') + 1)) <= LAST_PORT;
    }

    /** An address of digits with a port; a default of "" makes it one that may be left empty. */
    public String address(String key, String otherwise) {
        String text = text(key, otherwise);
        if (has(key)
                && doc.map().get(key).plain() instanceof String
                && !isAddress(text)
                && !(text.isEmpty() && otherwise != null)) {
            fault(key, "expected " + ADDRESS_WORDS + ", found \"" + text + "\"");
        }
        return text;
    }

    public boolean flag(String key, boolean otherwise) {
        ConfigurationDocument at = get(key);
        if (at == null) {
            return otherwise;
        }
        if (at.plain() instanceof Boolean value) {
            return value;
        }
        fault(key, at, "expected true or false, found " + at.kind());
        return otherwise;
    }

    /**
     * A number within bounds, both allowed; a default of NaN makes the key one that must be there.
     */
    public double number(String key, double otherwise, double least, double most) {
        ConfigurationDocument at = get(key);
        if (at == null) {
            if (Double.isNaN(otherwise)) {
                fault(key, doc, "expected a number, but the key is not there");
                return least;
            }
            return otherwise;
        }
        double usable = Double.isNaN(otherwise) ? least : otherwise;
        if (!(at.plain() instanceof Number number)) {
            fault(key, at, "expected a number, found " + at.kind());
            return usable;
        }
        double value = number.doubleValue();
        if (!(value >= least && value <= most)) {
            fault(key, at, "expected " + range(least, most) + ", found " + at.kind());
            return usable;
        }
        return value;
    }

    /** A whole number within bounds, both allowed. */
    public int whole(String key, int otherwise, int least, int most) {
        double value = number(key, otherwise, least, most);
        if (value != Math.rint(value)) {
            fault(key, "expected a whole number, found " + doc.map().get(key).kind());
            return otherwise;
        }
        return (int) value;
    }

    private static String range(double least, double most) {
        return most == Double.MAX_VALUE
                ? "a number of " + plain(least) + " or more"
                : "a number from " + plain(least) + " to " + plain(most);
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    /** A list of texts. */
    public List<String> texts(String key, List<String> otherwise) {
        ConfigurationDocument at = get(key);
        if (at == null) {
            return otherwise;
        }
        List<String> texts = new ArrayList<>();
        if (at.isList()) {
            for (ConfigurationDocument item : at.list()) {
                if (item.plain() instanceof String text) {
                    texts.add(text);
                } else {
                    fault(key, item, "expected texts in the list, found " + item.kind());
                }
            }
            return texts;
        }
        fault(key, at, "expected a list of texts, found " + at.kind());
        return otherwise;
    }

    /** A table; an empty one where the key is missing. */
    public Fields table(String key) {
        ConfigurationDocument at = get(key);
        if (at != null && !at.isMap()) {
            fault(key, at, "expected a table, found " + at.kind());
        }
        return new Fields(
                at == null || !at.isMap() ? empty() : at, path + key + ".", faults, inner);
    }

    /** A list of tables. */
    public List<Fields> tables(String key) {
        ConfigurationDocument at = get(key);
        List<Fields> tables = new ArrayList<>();
        if (at == null) {
            return tables;
        }
        if (!at.isList()) {
            fault(key, at, "expected a list of tables, found " + at.kind());
            return tables;
        }
        for (int i = 0; i < at.list().size(); i++) {
            ConfigurationDocument item = at.list().get(i);
            if (item.isMap()) {
                tables.add(new Fields(item, path + key + "." + i + ".", faults, inner));
            } else {
                fault(key, item, "expected tables in the list, found " + item.kind());
            }
        }
        return tables;
    }

    private ConfigurationDocument empty() {
        return doc.emptyTable();
    }

    /** The names of the fields, in the order of the file. */
    public Set<String> keys() {
        return Set.copyOf(doc.map().keySet());
    }

    /** Where the table stands. */
    public String file() {
        return doc.file;
    }

    /** The table's plain values as lines of TOML, for a file made of it, but for some. */
    public String toml(Set<String> without) {
        StringBuilder lines = new StringBuilder();
        doc.map()
                .forEach(
                        (key, value) -> {
                            if (!without.contains(key)) {
                                lines.append(key).append(" = ").append(value.toml()).append('\n');
                            }
                        });
        return lines.toString();
    }

    /** A plain value in words, for messages and reports; empty where there is none. */
    public String shown(String key) {
        Map<String, ConfigurationDocument> map = doc.map();
        return map.containsKey(key) ? String.valueOf(map.get(key).plain()) : "";
    }
}

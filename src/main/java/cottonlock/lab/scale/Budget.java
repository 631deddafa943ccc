package cottonlock.lab.scale;

import cottonlock.config.ConfigurationDocument;
import cottonlock.config.Fields;
import cottonlock.config.InvalidConfigurationException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The contents of {@code budget.toml}: the operators' requirements and limits, assumptions about
 * what they leave open, the program's constants that other quantities are derived from, and the
 * needs that the capacity page compares with all these. None of the values is repeated in code.
 */
final class Budget {
    /** The required keys of the operators' quantities, all above 0. */
    private static final List<String> OPERATOR_KEYS =
            List.of(
                    "backends",
                    "services",
                    "calls_s",
                    "depth",
                    "added_ms",
                    "regions",
                    "zones",
                    "changes_day",
                    "in_force_s",
                    "failures_day",
                    "restarts_day",
                    "proxy_cpu_share",
                    "proxy_memory_mb",
                    "proxy_bytes_s",
                    "control_machines");

    /** The required keys of the assumed quantities, all above 0. */
    private static final List<String> ASSUMPTION_KEYS =
            List.of(
                    "due_ms",
                    "conn_idle_s",
                    "sockets",
                    "cold_share",
                    "fall_multiple",
                    "fall_s",
                    "beat_s",
                    "streak",
                    "list_changes");

    private static final double MAX_VALUE = 1e15;
    private static final double MIN_VALUE = 1e-9;
    private static final String SOURCE_PATTERN =
            "(scale|members|rollout|proxy|latency):[a-z0-9_.]+" + "|worked:[a-z0-9_]+|none:";
    private static final String NAME_PATTERN = "(operators|assumed|constant|worked)\\.[a-z0-9_]+";
    private static final String DEFAULT_SIZE_NAME = "operators.backends";

    /** A constant of the program: its source file, the field's name there, and its value. */
    record Constant(String name, String file, String field, double value) {}

    /**
     * A figure that the design needs, which the capacity page compares with its budget.
     *
     * @param part the role, event or mechanism
     * @param source the origin of the figure: KIND:PATH of a result file or worked:NAME of {@link
     *     DerivedQuantities}; "none:" if it is neither measured nor derived
     * @param sizeName the name of the size that the figure is extrapolated to
     * @param extrapolated whether the figure is extrapolated over sizes; otherwise it is only shown
     *     for each measured size
     * @param budgetName the name of the figure's limit; empty if it has none
     * @param carriedBy the class that implements the need; "nothing" and the reason if none does
     */
    record Need(
            String part,
            String figure,
            String source,
            String sizeName,
            boolean extrapolated,
            String unit,
            String budgetName,
            String carriedBy) {
        boolean isUncarried() {
            return carriedBy.startsWith("nothing");
        }

        String kind() {
            return source.substring(0, source.indexOf(':'));
        }

        String path() {
            return source.substring(source.indexOf(':') + 1);
        }
    }

    /**
     * All quantities by name, such as {@code operators.backends}, {@code assumed.due_ms} and {@code
     * constant.retire}.
     */
    final Map<String, Double> quantities = new LinkedHashMap<>();

    final List<Constant> constants = new ArrayList<>();
    final List<Need> needs = new ArrayList<>();

    private Budget() {}

    /** Reads a budget; the exception lists all faults of the file. */
    static Budget read(Path file) throws InvalidConfigurationException {
        Budget budget = new Budget();
        Fields top = Fields.of(ConfigurationDocument.toml(file));
        Fields operators = top.table("operators");
        OPERATOR_KEYS.forEach(
                key ->
                        budget.quantities.put(
                                "operators." + key,
                                operators.number(key, Double.NaN, MIN_VALUE, MAX_VALUE)));
        Fields assumed = top.table("assumed");
        ASSUMPTION_KEYS.forEach(
                key ->
                        budget.quantities.put(
                                "assumed." + key,
                                assumed.number(key, Double.NaN, MIN_VALUE, MAX_VALUE)));
        Set<String> seen = new HashSet<>();
        for (Fields f : top.tables("constant")) {
            Constant c =
                    new Constant(
                            f.matching("name", null, "[a-z0-9_]+", "a short name"),
                            f.text("file", null),
                            f.text("field", null),
                            f.number("value", Double.NaN, 0, MAX_VALUE));
            if (!seen.add(c.name)) {
                f.addFault("name", "duplicate name of a constant");
            }
            budget.constants.add(c);
            budget.quantities.put("constant." + c.name, c.value);
        }
        for (Fields f : top.tables("need")) {
            String key =
                    f.matching("budget", "", NAME_PATTERN, "a name such as operators.backends");
            String sizeName =
                    f.matching(
                            "at",
                            DEFAULT_SIZE_NAME,
                            NAME_PATTERN,
                            "a name such as operators.backends");
            budget.needs.add(
                    new Need(
                            f.text("part", null),
                            f.text("figure", null),
                            f.matching(
                                    "source",
                                    null,
                                    SOURCE_PATTERN,
                                    "KIND:PATH, worked:NAME or none:"),
                            sizeName,
                            f.bool("slope", true),
                            f.text("unit", ""),
                            key,
                            f.text("carried", null)));
            for (String name : List.of(key, sizeName)) {
                if (!name.isEmpty()
                        && !name.startsWith("worked.")
                        && !budget.quantities.containsKey(name)) {
                    f.addFault(name.equals(key) ? "budget" : "at", "there is no figure " + name);
                }
            }
            if (!seen.add(f.text("part", "") + "/" + f.text("figure", ""))) {
                f.addFault("figure", "duplicate figure of its part");
            }
        }
        top.throwIfInvalid();
        return budget;
    }

    /** The distinct parts of the needs in the order of the file. */
    List<String> parts() {
        return needs.stream().map(Need::part).distinct().toList();
    }
}

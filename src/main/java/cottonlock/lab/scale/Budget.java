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
 * What the operators' design asks and allows, what it leaves open and is assumed, the program's
 * constants that figures are worked out with, and the needs that the page holds against all that;
 * read from {@code budget.toml}. No figure of it stands in code.
 */
final class Budget {
    /** The operators' figures that must be there, all above 0. */
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

    /** A constant of the program: its file, its name there, its value. */
    record Constant(String name, String file, String field, double value) {}

    /**
     * One figure that is needed.
     *
     * @param part the role, event or mechanism
     * @param source where the figure comes from: KIND:PATH or worked:NAME; "none:" where nothing
     *     tells it
     * @param at the size that a slope is worked out to, by name
     * @param slope whether a slope over sizes says something of it; else it is shown by size alone
     * @param budget what it may be, by name; empty where nothing is said
     * @param carried the class that carries it; "nothing" and why where none does
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
     * All figures by name: {@code operators.backends}, {@code assumed.due_ms}, {@code
     * constant.retire}.
     */
    final Map<String, Double> quantities = new LinkedHashMap<>();

    final List<Constant> constants = new ArrayList<>();
    final List<Need> needs = new ArrayList<>();

    private Budget() {}

    /** Reads it; every fault is told at once. */
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
                f.addFault("name", "stands twice");
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
                f.addFault("figure", "stands twice in its part");
            }
        }
        top.throwIfInvalid();
        return budget;
    }

    /** The parts in the order of the file. */
    List<String> parts() {
        return needs.stream().map(Need::part).distinct().toList();
    }
}

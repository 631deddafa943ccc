package cottonlock.lab.scale;

import cottonlock.config.InvalidConfigurationException;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.MathContext;
import java.math.RoundingMode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Generates docs/CAPACITY.md from a folder: the template {@code page.md}, in which {@code {{NAME}}}
 * is replaced by a figure or a table, the results of runs, and {@code budget.toml}. A digit in the
 * template outside inline code is a fault, so that each figure of the page comes from a file. A
 * figure that no run has measured is printed as "not measured".
 */
final class CapacityPage {
    private static final String NOT_MEASURED = "not measured";

    /** The prefix of folders with results of earlier states of the program. */
    private static final String EARLIER_STATE_PREFIX = "before-";

    /** The text of a ratio to a budget of 0. */
    private static final String WITHOUT_BOUND = "without bound";

    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^{}]*)}}");
    private static final Pattern INLINE_CODE = Pattern.compile("`[^`]*`");

    /** The lab has at most three tiers (docs/lab.md), so a slope over tiers needs only three. */
    private static final int MIN_TIERS = 3;

    /** A need with its value and budget, each NaN if unknown, and how the value was obtained. */
    private record Row(Budget.Need need, double value, String basis, double budget) {
        double ratio() {
            return value / budget;
        }
    }

    private final Path folder;
    private final Budget budget;
    private final List<ResultFile> results;

    /**
     * Results of earlier states of the program, by the change made since; they are shown but in no
     * slope.
     */
    private final Map<String, List<ResultFile>> earlierResults = new TreeMap<>();

    private final DerivedQuantities derived;
    private final List<Row> rows = new ArrayList<>();

    private CapacityPage(Path folder) throws InvalidConfigurationException {
        this.folder = folder;
        budget = Budget.read(folder.resolve("budget.toml"));
        results = ResultFile.readAll(folder);
        for (Path earlierFolder : earlierFolders(folder)) {
            earlierResults.put(
                    earlierFolder.getFileName().toString().substring(EARLIER_STATE_PREFIX.length()),
                    ResultFile.readAll(earlierFolder));
        }
        Slope listBytes = fitSlope("proxy", "figures.list_bytes");
        derived =
                new DerivedQuantities(
                        budget.quantities,
                        listBytes == null
                                ? Double.NaN
                                : listBytes.valueAt(budget.quantities.get("operators.backends")));
        for (Budget.Need need : budget.needs) {
            rows.add(createRow(need));
        }
    }

    private static List<Path> earlierFolders(Path folder) throws InvalidConfigurationException {
        try (Stream<Path> entries = Files.list(folder)) {
            return entries.filter(f -> f.getFileName().toString().startsWith(EARLIER_STATE_PREFIX))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            throw new InvalidConfigurationException(
                    List.of(folder + ": cannot be read: " + e.getMessage()));
        }
    }

    /** Generates the page; the exception lists all faults of a file or folder of results. */
    static String generate(Path folder) throws InvalidConfigurationException, IOException {
        return new CapacityPage(folder).render();
    }

    private String render() throws InvalidConfigurationException, IOException {
        Path template = folder.resolve("page.md");
        List<String> lines = Files.readAllLines(template);
        List<String> faults = new ArrayList<>();
        StringBuilder page = new StringBuilder();
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            String location = template + ":" + (i + 1) + ": ";
            String prose =
                    INLINE_CODE.matcher(PLACEHOLDER.matcher(line).replaceAll("")).replaceAll("");
            if (prose.chars().anyMatch(Character::isDigit)) {
                faults.add(
                        location
                                + "a figure in the prose, where only {{NAME}} may stand: "
                                + line.strip());
            }
            Matcher placeholder = PLACEHOLDER.matcher(line);
            StringBuilder filled = new StringBuilder();
            while (placeholder.find()) {
                String text = textFor(placeholder.group(1).strip());
                if (text == null) {
                    faults.add(location + "there is no " + placeholder.group(1));
                }
                placeholder.appendReplacement(
                        filled, Matcher.quoteReplacement(text == null ? "" : text));
            }
            page.append(placeholder.appendTail(filled)).append('\n');
        }
        if (!faults.isEmpty()) {
            throw new InvalidConfigurationException(faults);
        }
        return page.toString();
    }

    /** The text that replaces a placeholder; null if the name is unknown. */
    private String textFor(String name) {
        if (budget.quantities.containsKey(name)) {
            return formatExact(budget.quantities.get(name));
        }
        if (name.startsWith("worked.")) {
            Double value = derived.figures().get(name.substring("worked.".length()));
            return value == null ? null : formatRounded(value);
        }
        if (name.startsWith("part ") && budget.parts().contains(name.substring("part ".length()))) {
            return partTable(name.substring("part ".length()));
        }
        if (name.startsWith("measured ")) {
            return measuredTable(results, name.substring("measured ".length()));
        }
        String[] words = name.split(" ", 0);
        if (words.length == 3
                && words[0].equals("before")
                && earlierResults.containsKey(words[1])) {
            return measuredTable(earlierResults.get(words[1]), words[2]);
        }
        if (name.startsWith("without verdict ")) {
            String kind = name.substring("without verdict ".length());
            return results.stream()
                            .filter(r -> r.kind().equals(kind) && !r.hasUsableFigures())
                            .count()
                    + " of "
                    + results.stream().filter(r -> r.kind().equals(kind)).count();
        }
        return switch (name) {
            case "runs" -> runTable();
            case "ratios" -> ratioTable();
            case "largest" -> largestUncarriedNeed();
            case "missing" -> missingFigures();
            case "latency" -> latencyTable();
            default -> null;
        };
    }

    /**
     * Whether a figure about calls comes from a process that fell behind the calls' rate; such a
     * figure doesn't show the cost of that rate.
     */
    private boolean fellBehind(ResultFile r, String path) {
        return path.startsWith("calls.")
                && !(r.number("calls.served") > 0
                        && r.number("calls.p50_ms") <= budget.quantities.get("assumed.due_ms"));
    }

    private boolean usable(ResultFile r, String kind, String path) {
        return r.kind().equals(kind)
                && r.hasUsableFigures()
                && !Double.isNaN(r.number(path))
                && !fellBehind(r, path);
    }

    private Slope fitSlope(String kind, String path) {
        List<Slope.Point> points =
                results.stream()
                        .filter(r -> usable(r, kind, path))
                        .map(r -> new Slope.Point(r.size(), r.number(path)))
                        .toList();
        return Slope.fit(points, kind.equals("latency") ? MIN_TIERS : Slope.MIN_SIZES);
    }

    private double quantity(String name) {
        return name.startsWith("worked.")
                ? derived.figures().getOrDefault(name.substring("worked.".length()), Double.NaN)
                : budget.quantities.getOrDefault(name, Double.NaN);
    }

    private Row createRow(Budget.Need need) {
        double allowed = need.budgetName().isEmpty() ? Double.NaN : quantity(need.budgetName());
        if (need.kind().equals("none")) {
            return new Row(need, Double.NaN, NOT_MEASURED, allowed);
        }
        if (need.kind().equals("worked")) {
            double value = quantity("worked." + need.path());
            return new Row(need, value, Double.isNaN(value) ? NOT_MEASURED : "worked out", allowed);
        }
        if (!need.extrapolated()) {
            return new Row(need, Double.NaN, "by size, below", allowed);
        }
        double size = quantity(need.sizeName());
        Slope slope = fitSlope(need.kind(), need.path());
        String sizesNeverReached =
                results.stream()
                        .filter(r -> r.kind().equals(need.kind()) && r.neverReached(need.path()))
                        .map(r -> formatExact(r.size()))
                        .distinct()
                        .collect(Collectors.joining(", "));
        String sizesFallenBehind =
                results.stream()
                        .filter(
                                r ->
                                        r.kind().equals(need.kind())
                                                && r.hasUsableFigures()
                                                && !Double.isNaN(r.number(need.path()))
                                                && fellBehind(r, need.path()))
                        .map(r -> formatExact(r.size()))
                        .distinct()
                        .collect(Collectors.joining(", "));
        String note =
                (sizesNeverReached.isEmpty() ? "" : "; never came at " + sizesNeverReached)
                        + (sizesFallenBehind.isEmpty()
                                ? ""
                                : "; fell behind at " + sizesFallenBehind);
        if (slope == null) {
            long sizes =
                    results.stream()
                            .filter(r -> usable(r, need.kind(), need.path()))
                            .map(ResultFile::size)
                            .distinct()
                            .count();
            int minSizes = need.kind().equals("latency") ? MIN_TIERS : Slope.MIN_SIZES;
            return new Row(
                    need,
                    Double.NaN,
                    NOT_MEASURED
                            + (sizes == 0
                                    ? ""
                                    : ": "
                                            + sizes
                                            + " of the "
                                            + minSizes
                                            + " sizes that a slope needs")
                            + note,
                    allowed);
        }
        String basis =
                slope.law()
                        + ", "
                        + slope.sizeCount()
                        + " sizes to "
                        + formatExact(slope.largestSize())
                        + "; spread "
                        + formatPercent(slope.spread())
                        + ", "
                        + (Double.isNaN(slope.seedSpread())
                                ? "one seed"
                                : "seeds " + formatPercent(slope.seedSpread()))
                        + (slope.extrapolationFactor(size) > 1
                                ? "; "
                                        + formatRounded(slope.extrapolationFactor(size))
                                        + " times beyond"
                                : "")
                        + (slope.alternative() == null
                                ? ""
                                : "; "
                                        + slope.alternative().law()
                                        + ": "
                                        + formatRounded(slope.alternative().valueAt(size)))
                        + note;
        return new Row(need, slope.valueAt(size), basis, allowed);
    }

    private String partTable(String name) {
        StringBuilder table =
                new StringBuilder(
                        "| figure | from | at the operators' size | budget | ratio "
                                + "| carried by |\n| --- | --- | --- | --- | --- | --- |");
        for (Row row : rows) {
            if (row.need.part().equals(name)) {
                table.append("\n| ")
                        .append(row.need.figure())
                        .append(" | ")
                        .append(row.basis)
                        .append(" | ")
                        .append(
                                row.need.extrapolated()
                                        ? formatWithUnit(row.value, row.need.unit())
                                        : "-")
                        .append(" | ")
                        .append(Double.isNaN(row.budget) ? "-" : formatExact(row.budget))
                        .append(" | ")
                        .append(Double.isNaN(row.ratio()) ? "-" : formatRounded(row.ratio()))
                        .append(" | ")
                        .append(row.need.carriedBy())
                        .append(" |");
            }
        }
        return table.toString();
    }

    private List<Row> rowsByRatio() {
        return rows.stream()
                .filter(r -> !Double.isNaN(r.ratio()))
                .sorted(Comparator.comparingDouble(Row::ratio).reversed())
                .toList();
    }

    private String ratioTable() {
        StringBuilder table =
                new StringBuilder(
                        "| ratio | what | need | budget | carried by |\n"
                                + "| --- | --- | --- | --- | --- |");
        for (Row row : rowsByRatio()) {
            table.append("\n| ")
                    .append(formatRounded(row.ratio()))
                    .append(" | ")
                    .append(row.need.part())
                    .append(": ")
                    .append(row.need.figure())
                    .append(" | ")
                    .append(formatWithUnit(row.value, row.need.unit()))
                    .append(" | ")
                    .append(formatExact(row.budget))
                    .append(" | ")
                    .append(row.need.carriedBy())
                    .append(" |");
        }
        return table.toString();
    }

    /** The need with the highest ratio above 1 that no class carries today. */
    private String largestUncarriedNeed() {
        return rowsByRatio().stream()
                .filter(r -> r.need.isUncarried() && r.ratio() > 1)
                .findFirst()
                .map(
                        r ->
                                "**"
                                        + r.need.part()
                                        + ": "
                                        + r.need.figure()
                                        + "**, "
                                        + (Double.isInfinite(r.ratio())
                                                ? WITHOUT_BOUND
                                                : formatRounded(r.ratio()) + " times its budget"))
                .orElse("none that has a figure");
    }

    private String missingFigures() {
        return rows.stream()
                .filter(r -> Double.isNaN(r.value) && r.need.extrapolated())
                .map(r -> "- " + r.need.part() + ": " + r.need.figure() + " (" + r.basis + ")")
                .collect(Collectors.joining("\n"));
    }

    private String runTable() {
        StringBuilder table =
                new StringBuilder(
                        "| result | verdict | machine late, 99.9"
                                + '%'
                                + " and worst, ms "
                                + "| commit | in the slopes |\n| --- | --- | --- | --- | --- |");
        List<ResultFile> all = new ArrayList<>(results);
        earlierResults.values().forEach(all::addAll);
        for (ResultFile r : all) {
            double late = r.number("machine.late_ms_p999");
            table.append("\n| `")
                    .append(r.name)
                    .append("` | ")
                    .append(r.verdict())
                    .append(" | ")
                    .append(
                            Double.isNaN(late)
                                    ? "virtual time"
                                    : formatRounded(late)
                                            + ", "
                                            + formatRounded(r.number("machine.late_ms_worst")))
                    .append(" | ")
                    .append(r.text("commit"))
                    .append(" | ")
                    .append(
                            !results.contains(r)
                                    ? "no: before"
                                    : r.hasUsableFigures() ? "yes" : "no")
                    .append(" |");
        }
        return results.isEmpty() ? NOT_MEASURED : table.toString();
    }

    /** The measured figures of the needs of a kind by size, each the mean over usable runs. */
    private String measuredTable(List<ResultFile> from, String kind) {
        List<ResultFile> selected =
                from.stream().filter(r -> r.kind().equals(kind) && r.hasUsableFigures()).toList();
        TreeSet<Integer> sizes =
                selected.stream()
                        .map(ResultFile::size)
                        .collect(Collectors.toCollection(TreeSet::new));
        if (sizes.isEmpty()) {
            return NOT_MEASURED;
        }
        StringBuilder table = new StringBuilder("| figure |");
        sizes.forEach(size -> table.append(' ').append(formatExact(size)).append(" |"));
        table.append("\n| --- |").append(" --- |".repeat(sizes.size()));
        List<String> paths =
                budget.needs.stream()
                        .filter(n -> n.kind().equals(kind))
                        .map(Budget.Need::path)
                        .distinct()
                        .filter(
                                path ->
                                        selected.stream()
                                                .anyMatch(
                                                        r ->
                                                                r.neverReached(path)
                                                                        || !Double.isNaN(
                                                                                r.number(path))))
                        .toList();
        for (String path : paths) {
            table.append("\n| `").append(path).append("` |");
            for (int size : sizes) {
                List<Double> values =
                        selected.stream()
                                .filter(r -> r.size() == size)
                                .map(r -> r.number(path))
                                .filter(v -> !Double.isNaN(v))
                                .toList();
                boolean never =
                        selected.stream().anyMatch(r -> r.size() == size && r.neverReached(path));
                table.append(' ')
                        .append(
                                values.isEmpty()
                                        ? never ? "never" : NOT_MEASURED
                                        : formatRounded(
                                                        values.stream()
                                                                .mapToDouble(v -> v)
                                                                .average()
                                                                .orElse(0))
                                                + (never ? ", never in some" : ""))
                        .append(" |");
            }
        }
        table.append("\n| runs |");
        sizes.forEach(
                size ->
                        table.append(' ')
                                .append(selected.stream().filter(r -> r.size() == size).count())
                                .append(" |"));
        return table.toString();
    }

    private String latencyTable() {
        List<ResultFile> selected =
                results.stream().filter(r -> r.kind().equals("latency")).toList();
        if (selected.isEmpty()) {
            return NOT_MEASURED;
        }
        StringBuilder table =
                new StringBuilder(
                        "| tiers | seed | verdict | no proxy: p50, p99 | relay: p50, p99 | proxy:"
                                + " p50, p99 | added to the relay: p50, p99 |\n"
                                + "| --- | --- | --- | --- | --- | --- | --- |");
        for (ResultFile r : selected) {
            Function<String, String> pair =
                    path ->
                            r.hasUsableFigures()
                                    ? formatRounded(r.number(path + "p50_ms"))
                                            + ", "
                                            + formatRounded(r.number(path + "p99_ms"))
                                    : "-";
            table.append("\n| ")
                    .append(r.size())
                    .append(" | ")
                    .append(r.seed())
                    .append(" | ")
                    .append(r.verdict())
                    .append(" | ")
                    .append(pair.apply("runs.none.steady_"))
                    .append(" | ")
                    .append(pair.apply("runs.relay.steady_"))
                    .append(" | ")
                    .append(pair.apply("runs.proxy.steady_"))
                    .append(" | ")
                    .append(pair.apply("added.to_relay_"))
                    .append(" |");
        }
        return table.toString();
    }

    private static String formatWithUnit(double value, String unit) {
        return Double.isNaN(value)
                ? NOT_MEASURED
                : unit.isEmpty() ? formatRounded(value) : formatRounded(value) + " " + unit;
    }

    private static String formatPercent(double part) {
        return formatRounded(100 * part) + "%";
    }

    /** Formats a given figure without rounding. */
    private static String formatExact(double value) {
        return formatGrouped(BigDecimal.valueOf(value).stripTrailingZeros());
    }

    /**
     * Formats a measured or derived figure with three digits, which is already more than its spread
     * justifies.
     */
    private static String formatRounded(double value) {
        if (!Double.isFinite(value)) {
            return value > 0 ? WITHOUT_BOUND : NOT_MEASURED;
        }
        return formatGrouped(new BigDecimal(value).round(new MathContext(3, RoundingMode.HALF_UP)));
    }

    private static String formatGrouped(BigDecimal value) {
        BigDecimal plain = value.signum() == 0 ? BigDecimal.ZERO : value.stripTrailingZeros();
        int places = Math.max(0, plain.scale());
        return String.format(Locale.ROOT, "%,." + places + "f", plain);
    }
}

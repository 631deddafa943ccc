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
 * Makes docs/CAPACITY.md of a folder: the prose of {@code page.md}, in which {@code {{NAME}}}
 * stands for a figure or a table, the results of runs, and {@code budget.toml}. The prose itself
 * holds no figure: a digit in it outside of code is a fault, so that each figure of the page has a
 * file. What no run has measured prints as "not measured".
 */
final class CapacityPage {
    private static final String MISSING = "not measured";

    /** What a folder of an earlier state's results begins with. */
    private static final String BEFORE = "before-";

    /** A ratio to a budget of nothing. */
    private static final String UNBOUND = "without bound";

    private static final Pattern PLACE = Pattern.compile("\\{\\{([^{}]*)}}");
    private static final Pattern CODE = Pattern.compile("`[^`]*`");

    /** Tiers are three at most in the lab (docs/lab.md), so a slope over them rests on three. */
    private static final int LEAST_TIERS = 3;

    /** A need with what came of it; NaN where not measured. */
    private record Row(Budget.Need need, double value, String how, double budget) {
        double ratio() {
            return value / budget;
        }
    }

    private final Path folder;
    private final Budget budget;
    private final List<ResultFile> results;

    /**
     * Results of earlier states of the program, by what changed since; they are shown and in no
     * slope.
     */
    private final Map<String, List<ResultFile>> before = new TreeMap<>();

    private final WorkedOut worked;
    private final List<Row> rows = new ArrayList<>();

    private CapacityPage(Path folder) throws InvalidConfigurationException {
        this.folder = folder;
        budget = Budget.read(folder.resolve("budget.toml"));
        results = ResultFile.all(folder);
        for (Path earlier : earlier(folder)) {
            before.put(
                    earlier.getFileName().toString().substring(BEFORE.length()),
                    ResultFile.all(earlier));
        }
        Slope list = slope("proxy", "figures.list_bytes");
        worked =
                new WorkedOut(
                        budget.given,
                        list == null
                                ? Double.NaN
                                : list.at(budget.given.get("operators.backends")));
        for (Budget.Need need : budget.needs) {
            rows.add(row(need));
        }
    }

    private static List<Path> earlier(Path folder) throws InvalidConfigurationException {
        try (Stream<Path> there = Files.list(folder)) {
            return there.filter(f -> f.getFileName().toString().startsWith(BEFORE))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            throw new InvalidConfigurationException(
                    List.of(folder + ": cannot be read: " + e.getMessage()));
        }
    }

    /** The page; faults of any file are told at once. */
    static String of(Path folder) throws InvalidConfigurationException, IOException {
        return new CapacityPage(folder).page();
    }

    private String page() throws InvalidConfigurationException, IOException {
        Path template = folder.resolve("page.md");
        List<String> lines = Files.readAllLines(template);
        List<String> faults = new ArrayList<>();
        StringBuilder page = new StringBuilder();
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            String where = template + ":" + (i + 1) + ": ";
            String prose = CODE.matcher(PLACE.matcher(line).replaceAll("")).replaceAll("");
            if (prose.chars().anyMatch(Character::isDigit)) {
                faults.add(
                        where
                                + "a figure in the prose, where only {{NAME}} may stand: "
                                + line.strip());
            }
            Matcher place = PLACE.matcher(line);
            StringBuilder filled = new StringBuilder();
            while (place.find()) {
                String text = fill(place.group(1).strip());
                if (text == null) {
                    faults.add(where + "there is no " + place.group(1));
                }
                place.appendReplacement(filled, Matcher.quoteReplacement(text == null ? "" : text));
            }
            page.append(place.appendTail(filled)).append('\n');
        }
        if (!faults.isEmpty()) {
            throw new InvalidConfigurationException(faults);
        }
        return page.toString();
    }

    /** What stands at a place of the template; null where there is nothing of that name. */
    private String fill(String name) {
        if (budget.given.containsKey(name)) {
            return exact(budget.given.get(name));
        }
        if (name.startsWith("worked.")) {
            Double value = worked.figures().get(name.substring("worked.".length()));
            return value == null ? null : shown(value);
        }
        if (name.startsWith("part ") && budget.parts().contains(name.substring("part ".length()))) {
            return part(name.substring("part ".length()));
        }
        if (name.startsWith("measured ")) {
            return measured(results, name.substring("measured ".length()));
        }
        String[] words = name.split(" ", 0);
        if (words.length == 3 && words[0].equals("before") && before.containsKey(words[1])) {
            return measured(before.get(words[1]), words[2]);
        }
        if (name.startsWith("without verdict ")) {
            String kind = name.substring("without verdict ".length());
            return results.stream().filter(r -> r.kind().equals(kind) && !r.counts()).count()
                    + " of "
                    + results.stream().filter(r -> r.kind().equals(kind)).count();
        }
        return switch (name) {
            case "runs" -> runs();
            case "ratios" -> ratios();
            case "largest" -> largest();
            case "missing" -> missing();
            case "latency" -> latency();
            default -> null;
        };
    }

    /**
     * Whether a figure of calls is of a process that fell behind them: it shows no cost of that
     * rate.
     */
    private boolean behind(ResultFile r, String path) {
        return path.startsWith("calls.")
                && !(r.number("calls.served") > 0
                        && r.number("calls.p50_ms") <= budget.given.get("assumed.due_ms"));
    }

    private boolean usable(ResultFile r, String kind, String path) {
        return r.kind().equals(kind)
                && r.counts()
                && !Double.isNaN(r.number(path))
                && !behind(r, path);
    }

    private Slope slope(String kind, String path) {
        List<Slope.Point> points =
                results.stream()
                        .filter(r -> usable(r, kind, path))
                        .map(r -> new Slope.Point(r.size(), r.number(path)))
                        .toList();
        return Slope.fit(points, kind.equals("latency") ? LEAST_TIERS : Slope.LEAST);
    }

    private double named(String name) {
        return name.startsWith("worked.")
                ? worked.figures().getOrDefault(name.substring("worked.".length()), Double.NaN)
                : budget.given.getOrDefault(name, Double.NaN);
    }

    private Row row(Budget.Need need) {
        double allowed = need.budget().isEmpty() ? Double.NaN : named(need.budget());
        if (need.kind().equals("none")) {
            return new Row(need, Double.NaN, MISSING, allowed);
        }
        if (need.kind().equals("worked")) {
            double value = named("worked." + need.path());
            return new Row(need, value, Double.isNaN(value) ? MISSING : "worked out", allowed);
        }
        if (!need.slope()) {
            return new Row(need, Double.NaN, "by size, below", allowed);
        }
        double size = named(need.at());
        Slope slope = slope(need.kind(), need.path());
        String never =
                results.stream()
                        .filter(r -> r.kind().equals(need.kind()) && r.never(need.path()))
                        .map(r -> exact(r.size()))
                        .distinct()
                        .collect(Collectors.joining(", "));
        String late =
                results.stream()
                        .filter(
                                r ->
                                        r.kind().equals(need.kind())
                                                && r.counts()
                                                && !Double.isNaN(r.number(need.path()))
                                                && behind(r, need.path()))
                        .map(r -> exact(r.size()))
                        .distinct()
                        .collect(Collectors.joining(", "));
        String note =
                (never.isEmpty() ? "" : "; never came at " + never)
                        + (late.isEmpty() ? "" : "; fell behind at " + late);
        if (slope == null) {
            long sizes =
                    results.stream()
                            .filter(r -> usable(r, need.kind(), need.path()))
                            .map(ResultFile::size)
                            .distinct()
                            .count();
            int least = need.kind().equals("latency") ? LEAST_TIERS : Slope.LEAST;
            return new Row(
                    need,
                    Double.NaN,
                    MISSING
                            + (sizes == 0
                                    ? ""
                                    : ": "
                                            + sizes
                                            + " of the "
                                            + least
                                            + " sizes that a slope needs")
                            + note,
                    allowed);
        }
        String how =
                slope.law()
                        + ", "
                        + slope.sizes()
                        + " sizes to "
                        + exact(slope.largest())
                        + "; spread "
                        + percent(slope.spread())
                        + ", "
                        + (Double.isNaN(slope.seeds())
                                ? "one seed"
                                : "seeds " + percent(slope.seeds()))
                        + (slope.beyond(size) > 1
                                ? "; " + shown(slope.beyond(size)) + " times beyond"
                                : "")
                        + (slope.other() == null
                                ? ""
                                : "; " + slope.other().law() + ": " + shown(slope.other().at(size)))
                        + note;
        return new Row(need, slope.at(size), how, allowed);
    }

    private String part(String name) {
        StringBuilder table =
                new StringBuilder(
                        "| figure | from | at the operators' size | budget | ratio "
                                + "| carried by |\n| --- | --- | --- | --- | --- | --- |");
        for (Row row : rows) {
            if (row.need.part().equals(name)) {
                table.append("\n| ")
                        .append(row.need.figure())
                        .append(" | ")
                        .append(row.how)
                        .append(" | ")
                        .append(row.need.slope() ? withUnit(row.value, row.need.unit()) : "-")
                        .append(" | ")
                        .append(Double.isNaN(row.budget) ? "-" : exact(row.budget))
                        .append(" | ")
                        .append(Double.isNaN(row.ratio()) ? "-" : shown(row.ratio()))
                        .append(" | ")
                        .append(row.need.carried())
                        .append(" |");
            }
        }
        return table.toString();
    }

    private List<Row> byRatio() {
        return rows.stream()
                .filter(r -> !Double.isNaN(r.ratio()))
                .sorted(Comparator.comparingDouble(Row::ratio).reversed())
                .toList();
    }

    private String ratios() {
        StringBuilder table =
                new StringBuilder(
                        "| ratio | what | need | budget | carried by |\n"
                                + "| --- | --- | --- | --- | --- |");
        for (Row row : byRatio()) {
            table.append("\n| ")
                    .append(shown(row.ratio()))
                    .append(" | ")
                    .append(row.need.part())
                    .append(": ")
                    .append(row.need.figure())
                    .append(" | ")
                    .append(withUnit(row.value, row.need.unit()))
                    .append(" | ")
                    .append(exact(row.budget))
                    .append(" | ")
                    .append(row.need.carried())
                    .append(" |");
        }
        return table.toString();
    }

    /** The largest need that nothing carries today. */
    private String largest() {
        return byRatio().stream()
                .filter(r -> r.need.uncarried() && r.ratio() > 1)
                .findFirst()
                .map(
                        r ->
                                "**"
                                        + r.need.part()
                                        + ": "
                                        + r.need.figure()
                                        + "**, "
                                        + (Double.isInfinite(r.ratio())
                                                ? UNBOUND
                                                : shown(r.ratio()) + " times its budget"))
                .orElse("none that has a figure");
    }

    private String missing() {
        return rows.stream()
                .filter(r -> Double.isNaN(r.value) && r.need.slope())
                .map(r -> "- " + r.need.part() + ": " + r.need.figure() + " (" + r.how + ")")
                .collect(Collectors.joining("\n"));
    }

    private String runs() {
        StringBuilder table =
                new StringBuilder(
                        "| result | verdict | machine late, 99.9"
                                + '%'
                                + " and worst, ms "
                                + "| commit | in the slopes |\n| --- | --- | --- | --- | --- |");
        List<ResultFile> all = new ArrayList<>(results);
        before.values().forEach(all::addAll);
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
                                    : shown(late) + ", " + shown(r.number("machine.late_ms_worst")))
                    .append(" | ")
                    .append(r.text("commit"))
                    .append(" | ")
                    .append(!results.contains(r) ? "no: before" : r.counts() ? "yes" : "no")
                    .append(" |");
        }
        return results.isEmpty() ? MISSING : table.toString();
    }

    /** Every figure that a need rests on, by size: the mean over the seeds that gave a verdict. */
    private String measured(List<ResultFile> from, String kind) {
        List<ResultFile> some =
                from.stream().filter(r -> r.kind().equals(kind) && r.counts()).toList();
        TreeSet<Integer> sizes =
                some.stream().map(ResultFile::size).collect(Collectors.toCollection(TreeSet::new));
        if (sizes.isEmpty()) {
            return MISSING;
        }
        StringBuilder table = new StringBuilder("| figure |");
        sizes.forEach(size -> table.append(' ').append(exact(size)).append(" |"));
        table.append("\n| --- |").append(" --- |".repeat(sizes.size()));
        List<String> paths =
                budget.needs.stream()
                        .filter(n -> n.kind().equals(kind))
                        .map(Budget.Need::path)
                        .distinct()
                        .filter(
                                path ->
                                        some.stream()
                                                .anyMatch(
                                                        r ->
                                                                r.never(path)
                                                                        || !Double.isNaN(
                                                                                r.number(path))))
                        .toList();
        for (String path : paths) {
            table.append("\n| `").append(path).append("` |");
            for (int size : sizes) {
                List<Double> values =
                        some.stream()
                                .filter(r -> r.size() == size)
                                .map(r -> r.number(path))
                                .filter(v -> !Double.isNaN(v))
                                .toList();
                boolean never = some.stream().anyMatch(r -> r.size() == size && r.never(path));
                table.append(' ')
                        .append(
                                values.isEmpty()
                                        ? never ? "never" : MISSING
                                        : shown(
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
                                .append(some.stream().filter(r -> r.size() == size).count())
                                .append(" |"));
        return table.toString();
    }

    private String latency() {
        List<ResultFile> some = results.stream().filter(r -> r.kind().equals("latency")).toList();
        if (some.isEmpty()) {
            return MISSING;
        }
        StringBuilder table =
                new StringBuilder(
                        "| tiers | seed | verdict | no proxy: p50, p99 | relay: p50, p99 | proxy:"
                                + " p50, p99 | added to the relay: p50, p99 |\n"
                                + "| --- | --- | --- | --- | --- | --- | --- |");
        for (ResultFile r : some) {
            Function<String, String> pair =
                    path ->
                            r.counts()
                                    ? shown(r.number(path + "p50_ms"))
                                            + ", "
                                            + shown(r.number(path + "p99_ms"))
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

    private static String withUnit(double value, String unit) {
        return Double.isNaN(value)
                ? MISSING
                : unit.isEmpty() ? shown(value) : shown(value) + " " + unit;
    }

    private static String percent(double part) {
        return shown(100 * part) + "%";
    }

    /** A figure that was given, as it was. */
    private static String exact(double value) {
        return grouped(BigDecimal.valueOf(value).stripTrailingZeros());
    }

    /**
     * A figure that was measured or worked out: three digits of it tell more than the spread
     * allows.
     */
    private static String shown(double value) {
        if (!Double.isFinite(value)) {
            return value > 0 ? UNBOUND : MISSING;
        }
        return grouped(new BigDecimal(value).round(new MathContext(3, RoundingMode.HALF_UP)));
    }

    private static String grouped(BigDecimal value) {
        BigDecimal plain = value.signum() == 0 ? BigDecimal.ZERO : value.stripTrailingZeros();
        int places = Math.max(0, plain.scale());
        return String.format(Locale.ROOT, "%,." + places + "f", plain);
    }
}

package cottonlock.lab.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import cottonlock.config.InvalidConfigurationException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The results of one run, read from its file {@code KIND-SIZE-SEED.json}. Scalar values are found
 * by their path with dots ({@code roles.control.rss_mb}); arrays are skipped.
 * docs/capacity/README.md describes the contents of each kind.
 */
final class ResultFile {
    /** The value of a time if the run never reached the event that is timed. */
    private static final double NEVER = -1;

    /** A result holds some hundred values; a much larger file can't be one. */
    private static final long MAX_BYTES = 1 << 20;

    private static final int MAX_DEPTH = 8;

    /** The required fields of each kind beside kind, size and seed. */
    private static final Map<String, List<String>> REQUIRED_FIELDS =
            Map.of(
                    "scale", List.of("command", "commit", "verdict", "machine.late_ms_p999"),
                    "members", List.of("command", "commit", "seconds_virtual"),
                    "rollout", List.of("command", "commit"),
                    "latency", List.of("command", "commit", "verdict", "machine.late_ms_p999"),
                    "proxy", List.of("command", "commit", "verdict", "machine.late_ms_p999"));

    private static final List<String> VERDICTS = List.of("pass", "none", "fail");

    final String name;
    private final Map<String, Double> numbers = new TreeMap<>();
    private final Map<String, String> texts = new TreeMap<>();

    private ResultFile(String name) {
        this.name = name;
    }

    /** Reads one file; the exception lists all faults found in its values. */
    static ResultFile read(Path file) throws InvalidConfigurationException {
        ResultFile result = new ResultFile(file.getFileName().toString());
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new InvalidConfigurationException(
                        List.of(file + ": is longer than the result of a run can be"));
            }
            JsonFactory factory =
                    JsonFactory.builder()
                            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                            .build();
            try (JsonParser json = factory.createParser(Files.readString(file))) {
                if (json.nextToken() != JsonToken.START_OBJECT) {
                    throw new InvalidConfigurationException(
                            List.of(file + ": expected a JSON object"));
                }
                result.readObject(file, json, "", 0);
                if (json.nextToken() != null) {
                    throw new InvalidConfigurationException(
                            List.of(file + ": unexpected content after the JSON object"));
                }
            }
        } catch (JsonProcessingException e) {
            throw new InvalidConfigurationException(
                    List.of(
                            file
                                    + ":"
                                    + e.getLocation().getLineNr()
                                    + ": "
                                    + e.getOriginalMessage()));
        } catch (IOException e) {
            throw new InvalidConfigurationException(
                    List.of(file + ": cannot be read: " + e.getMessage()));
        }
        result.validate(file);
        return result;
    }

    /** Reads all results of a folder, sorted by kind, size and seed; other files are ignored. */
    static List<ResultFile> readAll(Path folder) throws InvalidConfigurationException {
        List<Path> files;
        try (Stream<Path> entries = Files.list(folder)) {
            files =
                    entries.filter(f -> f.getFileName().toString().endsWith(".json"))
                            .sorted()
                            .toList();
        } catch (IOException e) {
            throw new InvalidConfigurationException(
                    List.of(folder + ": cannot be read: " + e.getMessage()));
        }
        List<ResultFile> results = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        for (Path file : files) {
            try {
                results.add(read(file));
            } catch (InvalidConfigurationException e) {
                faults.addAll(e.faults());
            }
        }
        if (!faults.isEmpty()) {
            throw new InvalidConfigurationException(faults);
        }
        results.sort(
                Comparator.comparing(ResultFile::kind)
                        .thenComparing(ResultFile::size)
                        .thenComparing(ResultFile::seed));
        return results;
    }

    private void readObject(Path file, JsonParser json, String path, int depth)
            throws IOException, InvalidConfigurationException {
        if (depth > MAX_DEPTH) {
            throw new InvalidConfigurationException(
                    List.of(file + ": objects are nested too deeply"));
        }
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String key = path + json.currentName();
            switch (json.nextToken()) {
                case START_OBJECT -> readObject(file, json, key + ".", depth + 1);
                case START_ARRAY -> json.skipChildren();
                case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT ->
                        numbers.put(key, json.getDoubleValue());
                case VALUE_STRING, VALUE_TRUE, VALUE_FALSE -> texts.put(key, json.getText());
                default -> texts.remove(key);
            }
        }
    }

    private void validate(Path file) throws InvalidConfigurationException {
        List<String> faults = new ArrayList<>();
        String kind = texts.getOrDefault("kind", "");
        if (!REQUIRED_FIELDS.containsKey(kind)) {
            throw new InvalidConfigurationException(
                    List.of(
                            file
                                    + ": kind: expected one of "
                                    + String.join(", ", new TreeMap<>(REQUIRED_FIELDS).keySet())
                                    + ", found \""
                                    + kind
                                    + "\""));
        }
        for (String key : List.of("size", "seed")) {
            double value = numbers.getOrDefault(key, Double.NaN);
            if (!(value >= 0 && value == Math.rint(value) && value < 1L << 53)) {
                faults.add(
                        file
                                + ": "
                                + key
                                + ": expected a whole number, found "
                                + (Double.isNaN(value) ? "none" : value));
            }
        }
        for (String key : REQUIRED_FIELDS.get(kind)) {
            if (!numbers.containsKey(key) && !texts.containsKey(key)) {
                faults.add(file + ": " + key + ": is not there");
            }
        }
        if (texts.containsKey("verdict") && !VERDICTS.contains(texts.get("verdict"))) {
            faults.add(
                    file
                            + ": verdict: expected pass, none or fail, found \""
                            + texts.get("verdict")
                            + "\"");
        }
        if (faults.isEmpty() && !name.equals(kind + "-" + size() + "-" + seed() + ".json")) {
            faults.add(
                    file + ": expected the name " + kind + "-" + size() + "-" + seed() + ".json");
        }
        numbers.forEach(
                (key, value) -> {
                    if (!Double.isFinite(value) || (value < NEVER && !key.startsWith("added."))) {
                        faults.add(
                                file
                                        + ": "
                                        + key
                                        + ": expected a number from -1 (never), found "
                                        + value);
                    }
                });
        if (!faults.isEmpty()) {
            throw new InvalidConfigurationException(faults);
        }
    }

    String kind() {
        return texts.get("kind");
    }

    int size() {
        return numbers.get("size").intValue();
    }

    long seed() {
        return numbers.get("seed").longValue();
    }

    /** The verdict; always pass for a run in virtual time, which a slow machine can't distort. */
    String verdict() {
        return texts.getOrDefault("verdict", "pass");
    }

    /**
     * Whether the run's figures may be used: not those of a run on a machine that ran late, nor
     * those of a proxy that served no call, since it shows no cost of serving. A fleet that
     * exceeded a bound still has valid figures.
     */
    boolean hasUsableFigures() {
        return !verdict().equals("none") && !(kind().equals("proxy") && verdict().equals("fail"));
    }

    String text(String path) {
        return texts.getOrDefault(path, "");
    }

    /** A number; NaN if the run has none or never reached the event that is timed. */
    double number(String path) {
        double value = numbers.getOrDefault(path, Double.NaN);
        return value == NEVER && !path.startsWith("added.") ? Double.NaN : value;
    }

    /** Whether the run reports that the event timed by this figure was never reached. */
    boolean neverReached(String path) {
        return !path.startsWith("added.") && numbers.getOrDefault(path, 0.0) == NEVER;
    }
}

package cottonlock;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/**
 * Names and comments of the production code use the field's terms (docs/glossary.md). Guards
 * against the return of the project's private words that these terms replaced. String literals are
 * not searched, since names on the wire, in settings and in metrics stay as they are.
 */
class WithdrawnWordsTest {
    private static final Path SOURCES = Path.of("src", "main", "java", "cottonlock");

    /** Patterns of files that still contain such words. Must only be shortened. */
    private static final List<String> UNFINISHED = List.of("lab/.*");

    private static final List<String> WORDS =
            List.of(
                    "anybody",
                    "come back",
                    "deed",
                    "doubt",
                    "doubted",
                    "doubtful",
                    "doubts",
                    "habits",
                    "let in",
                    "lets in",
                    "nobody",
                    "outlet",
                    "patience",
                    "somebody",
                    "spools",
                    "stands still",
                    "stood still",
                    "succession",
                    "told",
                    "turned away",
                    "whoever",
                    "written off");

    private static final Pattern WITHDRAWN =
            Pattern.compile("\\b(" + String.join("|", WORDS).replace(" ", "\\s+") + ")\\b");

    /** A string literal, a character literal or a text block. */
    private static final Pattern QUOTED =
            Pattern.compile(
                    "\"\"\".*?\"\"\"|\"(\\\\.|[^\"\\\\\n])*\"|'(\\\\.|[^'\\\\\n])'",
                    Pattern.DOTALL);

    @Example
    void finishedPackagesUseNoWithdrawnWord() throws IOException {
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(WithdrawnWordsTest::isFinished).sorted().toList()) {
                withdrawnWords(Files.readString(file))
                        .forEach(word -> found.add(file + ": " + word));
            }
        }
        assertEquals(List.of(), found);
    }

    @Example
    void namesAndCommentsAreSearchedButNotStringLiterals() {
        assertEquals(
                List.of("patience", "whoever", "stood still", "doubt"),
                withdrawnWords(
                        "int patienceMillis; /* Whoever has stood\n still. */ class SelfDoubt {}"
                                + " String wire = \"told \\\"nobody\"; char c = '\"';"));
    }

    private static boolean isFinished(Path file) {
        String name = SOURCES.relativize(file).toString().replace('\\', '/');
        return name.endsWith(".java") && UNFINISHED.stream().noneMatch(name::matches);
    }

    private static List<String> withdrawnWords(String source) {
        String separated =
                QUOTED.matcher(source)
                        .replaceAll("\"\"")
                        .replaceAll("(?m)^\\s*\\*", " ")
                        .replaceAll("([a-z0-9])([A-Z])", "$1 $2")
                        .replace('_', ' ')
                        .toLowerCase(Locale.ROOT);
        List<String> words = new ArrayList<>();
        Matcher matcher = WITHDRAWN.matcher(separated);
        while (matcher.find()) {
            words.add(matcher.group(1).replaceAll("\\s+", " "));
        }
        return words;
    }
}

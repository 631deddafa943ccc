package cottonlock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import org.tomlj.Toml;
import org.tomlj.TomlArray;

/** What deploy/balancer.toml names is there, and all that decides is named in it. */
class DeployFileTest {
    private static final Path DEPLOY_FILE = Path.of("deploy", "balancer.toml");

    private static Set<String> named(String key) throws IOException {
        TomlArray paths = Toml.parse(DEPLOY_FILE).getArrayOrEmpty(key);
        return paths.toList().stream()
                .map(Object::toString)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static Set<String> sourcesBelow(String folder) throws IOException {
        try (Stream<Path> files = Files.walk(Path.of(folder))) {
            return files.map(path -> path.toString().replace('\\', '/'))
                    .filter(path -> path.endsWith(".java"))
                    .filter(path -> !path.endsWith("package-info.java"))
                    .collect(Collectors.toCollection(TreeSet::new));
        }
    }

    @Example
    void policyNamesEachFileThatDecides() throws IOException {
        Set<String> deciding = sourcesBelow("src/main/java/cottonlock/decision");
        deciding.addAll(sourcesBelow("src/main/java/cottonlock/core"));
        assertEquals(deciding, named("policy"));
    }

    @Example
    void whatNodeNamesIsThere() throws IOException {
        assertTrue(!named("node").isEmpty());
        for (String path : named("node")) {
            assertTrue(Files.exists(Path.of(path)), path);
        }
    }
}

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

/** deploy/balancer.toml names only existing files, and all files of the load balancer. */
class DeployFileTest {
    private static final Path DEPLOY_FILE = Path.of("deploy", "balancer.toml");

    private static Set<String> pathsNamedAt(String key) throws IOException {
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
    void policyNamesEachFileOfTheLoadBalancer() throws IOException {
        Set<String> loadBalancerFiles = sourcesBelow("src/main/java/cottonlock/decision");
        loadBalancerFiles.addAll(sourcesBelow("src/main/java/cottonlock/core"));
        assertEquals(loadBalancerFiles, pathsNamedAt("policy"));
    }

    @Example
    void filesNamedByNodeExist() throws IOException {
        assertTrue(!pathsNamedAt("node").isEmpty());
        for (String path : pathsNamedAt("node")) {
            assertTrue(Files.exists(Path.of(path)), path);
        }
    }
}

package cottonlock.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.setup.RolloutConfig;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.StringLength;

/** Configuration files are read completely, or rejected with all their faults. */
class ConfigTest {
    private interface Reader {
        void read(Path file) throws InvalidConfigurationException;
    }

    private static List<String> faults(String suffix, String text, Reader reader) throws Exception {
        Path file = Files.createTempFile("config", suffix);
        Files.writeString(file, text);
        List<String> faults = new ArrayList<>();
        try {
            reader.read(file);
        } catch (InvalidConfigurationException e) {
            e.faults().forEach(f -> faults.add(f.replace(file.toString(), "F")));
        } finally {
            Files.delete(file);
        }
        return faults;
    }

    @Example
    void operatorFileIsReadWithDefaultsAndChecked() throws Exception {
        OperatorFile plain = new OperatorFile("text", "info", Map.of(), null);
        assertEquals(plain, OperatorFile.read(Files.createTempFile("empty", ".toml")));
        assertEquals(plain, OperatorFile.read(Path.of("deploy/operator.example.toml")));
        Path watch =
                Files.writeString(
                        Files.createTempFile("watch", ".toml"),
                        "[watch]\non = true\nconnection_fee = 0.05\nhandshake_fee = 0.01\n");
        assertEquals(
                Map.of("Workload", "mesh", "Fees.Connection", "0.05", "Fees.Handshake", "0.01"),
                OperatorFile.read(watch).shadowSettings());
        assertEquals(
                List.of("F:2: watch.connection_fee: expected a number from 0 to 1000000, found -1"),
                faults(".toml", "[watch]\nconnection_fee = -1\n", OperatorFile::read));
        assertEquals(
                List.of(
                        "F:2: log.format: expected one of text, json, found \"xml\"",
                        "F:3: log.levle: unknown key; did you mean level?",
                        "F:4: lgo: unknown key; did you mean log?"),
                faults(
                        ".toml",
                        "[log]\nformat = \"xml\"\nlevle = \"info\"\n[lgo]\n",
                        OperatorFile::read));
        assertEquals(
                List.of(
                        "F:3: rollout.service: expected up to 64 letters, digits, dots, dashes and "
                                + "underscores, found \"a b\"",
                        "F:4: rollout.control: expected a numeric address with a port, such as"
                                + " 127.0.0.1:5000, found \"there\"",
                        "F:5: rollout.call_ms: expected a number from 50 to 2000, found 10"),
                faults(
                        ".toml",
                        """
                        [rollout]
                        enabled = true
                        service = "a b"
                        control = ["there"]
                        call_ms = 10
                        """,
                        OperatorFile::read));
        assertEquals(
                List.of(
                        "F:1: rollout.service: expected the service whose settings are rolled out",
                        "F:1: rollout.control: expected at least one control server"),
                faults(".toml", "[rollout]\nenabled = true\n", OperatorFile::read));
        Path rollout =
                Files.writeString(
                        Files.createTempFile("rollout", ".toml"),
                        """
                        [rollout]
                        enabled = true
                        service = "s"
                        control = ["127.0.0.1:1"]
                        """);
        assertEquals(
                new RolloutConfig(
                        "s",
                        List.of("127.0.0.1:1"),
                        List.of(),
                        RolloutConfig.DEFAULT_CALL_TIMEOUT_TICKS,
                        RolloutConfig.DEFAULT_COMPARISON_INTERVAL_TICKS,
                        RolloutConfig.DEFAULT_MAX_RETRY_DELAY_TICKS),
                OperatorFile.read(rollout).rollout());
        assertEquals(1, faults(".toml", "[log\n", OperatorFile::read).size());
        InvalidConfigurationException missing =
                assertThrows(
                        InvalidConfigurationException.class,
                        () -> OperatorFile.read(Path.of("no/such.toml")));
        assertEquals(List.of("no/such.toml: there is no such file"), missing.faults());
    }

    @Example
    void platformFileIsCheckedCompletely() throws Exception {
        String good =
                """
                {"name": "n0", "listen": "127.0.0.1:5000", "discovery": "127.0.0.1:8500", "seed": "8c1f",
                 "limits": {"memory_mb": 192, "sockets": 1024},
                 "known": {"seq": 0, "whole": true, "hosts": [{"host": "b0",
                   "dial": "127.0.0.1:6000", "site": "a",
                   "health": "active", "share": 1.0, "born_ms": 0}]},
                 "settings": {"Categories": [{"Name": "c", "DueTime": 500000, "Expiry": 2000000, "More": 1}],
                   "Projects": [{"Name": "acme", "Share": 1.0, "QuotaRps": 100}], "FleetSize": 3}}
                """;
        assertEquals(List.of(), faults(".json", good, PlatformFile::check));
        assertEquals(
                List.of(
                        "F:1: listen: expected a numeric address with a port, such as "
                                + "127.0.0.1:5000, found \"localhost\"",
                        "F:2: limits.sockets: expected a number from 64 to 1048576, found 3",
                        "F:5: known.hosts.0.health: expected one of active, leaving, left, found"
                                + " \"green\"",
                        "F:6: settings.Categories.0.Expiry: expected no less than DueTime"),
                faults(
                        ".json",
                        good.replace("127.0.0.1:5000", "localhost")
                                .replace("1024", "3")
                                .replace("\"health\": \"active\"", "\"health\": \"green\"")
                                .replace("2000000", "2000"),
                        PlatformFile::check));
        assertTrue(
                faults(".json", good.replace("\"seed\"", "\"sed\""), PlatformFile::check)
                        .get(1)
                        .startsWith("F:1: sed: unknown key; did you mean seed?"));
        assertEquals(1, faults(".json", good + "{", PlatformFile::check).size());
        assertEquals(1, faults(".json", "", PlatformFile::check).size());
        assertEquals(1, faults(".json", "[1]", PlatformFile::check).size());
    }

    @Property(seed = "20261201", tries = 200)
    void editDistanceIsSymmetricAndBounded(
            @ForAll @AlphaChars @StringLength(max = 8) String one,
            @ForAll @AlphaChars @StringLength(max = 8) String other) {
        int distance = EditDistance.between(one, other);
        assertEquals(distance, EditDistance.between(other, one));
        assertEquals(one.equals(other), distance == 0);
        assertTrue(
                distance <= Math.max(one.length(), other.length())
                        && distance >= Math.abs(one.length() - other.length()));
        assertTrue(EditDistance.between(one, other + "x") <= distance + 1);
    }
}

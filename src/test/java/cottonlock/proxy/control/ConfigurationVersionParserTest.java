package cottonlock.proxy.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.lab.ControlServer;
import cottonlock.proxy.io.JsonReader;
import cottonlock.proxy.io.JsonValue.JsonObject;
import cottonlock.setup.InvalidSettingsException;
import cottonlock.setup.Settings;
import net.jqwik.api.Example;

/** What is a version, and which can be used: told apart by its bytes and the base alone. */
class ConfigurationVersionParserTest {
    static final String SETTINGS =
            "{\"Categories\":[{\"Name\":\"read\",\"DueTime\":800000,"
                    + "\"Expiry\":1500000,\"Repeat\":\"safe\"}],"
                    + "\"Zones\":[\"z\"],\"Limits\":{\"MaxHandOffs\":3}}";

    private static String base(String settings) {
        return ConfigurationVersionDigest.ofBase(settings(settings));
    }

    private static Settings validated(ConfigurationVersionMessage message, String base) {
        return ConfigurationVersionValidator.validate(message.content().orElseThrow(), base);
    }

    private static Settings settings(String json) {
        return ProxyConfiguration.settings((JsonObject) JsonReader.read(json));
    }

    static String line(long seq, String digest, String base, String settings) {
        return "{\"seq\":"
                + seq
                + ",\"whole\":true,\"digest\":\""
                + digest
                + "\",\"base\":\""
                + base
                + "\",\"settings\":\""
                + settings.replace("\"", "\\\"")
                + "\"}";
    }

    private static String line(String settings) {
        return line(43, ControlServer.digest(settings), base(SETTINGS), settings);
    }

    @Example
    void aWholeVersionIsRead() {
        ConfigurationVersionMessage line = ConfigurationVersionParser.parse(line(SETTINGS));
        assertEquals("43." + ControlServer.digest(SETTINGS), line.version().toString());
        assertEquals(3, validated(line, base(SETTINGS)).count("Limits.MaxHandOffs", 0));
        ConfigurationVersionMessage number =
                ConfigurationVersionParser.parse("{\"seq\":43,\"digest\":\"00000000000000ff\"}");
        assertTrue(number.content().isEmpty());
        assertEquals(255, number.version().digest());
        assertEquals(
                0x2cf24dba5fb0a30eL, ConfigurationVersionDigest.of("hello"), "as sha256sum has it");
    }

    @Example
    void whatIsNoWholeVersionIsTheFaultOfWhoTellsIt() {
        String whole = line(SETTINGS);
        for (String bad :
                new String[] {
                    "",
                    "[]",
                    "{}",
                    whole.substring(0, whole.length() / 2),
                    whole.replace("1500000", "2500000"),
                    whole.replace("\"seq\":43", "\"seq\":-1"),
                    whole.replace("\"seq\":43", "\"seq\":9007199254740993"),
                    whole.replace("\"base\"", "\"bas\""),
                    whole.replace("\"digest\":\"", "\"digest\":\"x"),
                    line(43, "0123456789abcdef", "x", SETTINGS),
                    "{\"seq\":43,\"digest\":\"0123456789abcdef\",\"settings\":{}}"
                }) {
            assertThrows(
                    InvalidSettingsException.class,
                    () -> ConfigurationVersionParser.parse(bad),
                    bad);
        }
    }

    @Example
    void aVersionThatCannotBeUsedIsRefusedWithItsFault() {
        String[][] bad = {
            {"{\"Categories\":[", "its settings are not JSON"},
            {"[]", "its settings are no object"},
            {
                SETTINGS.replace("\"Limits\"", "\"Me\":3,\"Limits\""),
                "settings.Me is each process's own"
            },
            {
                SETTINGS.replace("800000", "0"),
                "settings.Categories.0.DueTime must be over 0, found 0"
            },
            {SETTINGS.replace("\"Expiry\":1500000,", ""), "Expiry must be over 0, found nothing"},
            {
                SETTINGS.replace(",\"Repeat\":\"safe\"", ""),
                "settings.Categories.0.Repeat is missing"
            },
            {
                SETTINGS.replace("\"safe\"", "\"keyed\""),
                "settings.Categories.0.KeyScope is missing"
            },
            {
                SETTINGS.replace("\"MaxHandOffs\":3", ""),
                "settings.Limits.MaxHandOffs must be over 0"
            },
            {
                SETTINGS.replace("\"z\"", "\"z\",\"y\""),
                "but it names " + base(SETTINGS) + " as its base"
            },
        };
        for (String[] one : bad) {
            InvalidSettingsException fault =
                    assertThrows(
                            InvalidSettingsException.class,
                            () ->
                                    validated(
                                            ConfigurationVersionParser.parse(line(one[0])),
                                            base(SETTINGS)),
                            one[0]);
            assertTrue(fault.getMessage().contains(one[1]), fault.getMessage());
        }
        String others = SETTINGS.replace("\"z\"", "\"z\",\"y\"");
        ConfigurationVersionMessage onOthers =
                ConfigurationVersionParser.parse(
                        line(43, ControlServer.digest(others), base(others), others));
        InvalidSettingsException fault =
                assertThrows(
                        InvalidSettingsException.class, () -> validated(onOthers, base(SETTINGS)));
        assertTrue(
                fault.getMessage().contains("for which a new process is needed"),
                fault.getMessage());
        assertEquals(1, validated(onOthers, base(others)).count("Categories.count", 0));
    }

    @Example
    void theBaseIsAllThatAProcessCannotFollow() {
        assertEquals(
                base(SETTINGS), base(SETTINGS.replace("\"read\"", "\"look\"").replace(":3", ":5")));
        assertEquals(
                base(SETTINGS),
                base(SETTINGS.replace("\"Limits\"", "\"Me\":3,\"FleetSize\":9,\"Limits\"")),
                "a process's own are none of it");
        assertTrue(!base(SETTINGS).equals(base(SETTINGS.replace("MaxHandOffs", "MaxHandOff"))));
    }
}

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

/** Parsing and validation of versions, which depend only on the message and the base. */
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
    void completeVersionIsParsed() {
        ConfigurationVersionMessage complete = ConfigurationVersionParser.parse(line(SETTINGS));
        assertEquals("43." + ControlServer.digest(SETTINGS), complete.version().toString());
        assertEquals(3, validated(complete, base(SETTINGS)).count("Limits.MaxHandOffs", 0));
        ConfigurationVersionMessage announcement =
                ConfigurationVersionParser.parse("{\"seq\":43,\"digest\":\"00000000000000ff\"}");
        assertTrue(announcement.content().isEmpty());
        assertEquals(255, announcement.version().digest());
        assertEquals(
                0x2cf24dba5fb0a30eL,
                ConfigurationVersionDigest.of("hello"),
                "the first 8 bytes that sha256sum prints");
    }

    @Example
    void malformedOrDamagedMessagesAreRejected() {
        String complete = line(SETTINGS);
        for (String malformed :
                new String[] {
                    "",
                    "[]",
                    "{}",
                    complete.substring(0, complete.length() / 2),
                    complete.replace("1500000", "2500000"),
                    complete.replace("\"seq\":43", "\"seq\":-1"),
                    complete.replace("\"seq\":43", "\"seq\":9007199254740993"),
                    complete.replace("\"base\"", "\"bas\""),
                    complete.replace("\"digest\":\"", "\"digest\":\"x"),
                    line(43, "0123456789abcdef", "x", SETTINGS),
                    "{\"seq\":43,\"digest\":\"0123456789abcdef\",\"settings\":{}}"
                }) {
            assertThrows(
                    InvalidSettingsException.class,
                    () -> ConfigurationVersionParser.parse(malformed),
                    malformed);
        }
    }

    @Example
    void unusableVersionIsRejectedWithItsFault() {
        String[][] settingsAndFaults = {
            {"{\"Categories\":[", "its settings are not JSON"},
            {"[]", "its settings are not a JSON object"},
            {
                SETTINGS.replace("\"Limits\"", "\"Me\":3,\"Limits\""),
                "settings.Me is set for each process on its own"
            },
            {
                SETTINGS.replace("800000", "0"),
                "settings.Categories.0.DueTime must be greater than 0, found 0"
            },
            {
                SETTINGS.replace("\"Expiry\":1500000,", ""),
                "Expiry must be greater than 0, found none"
            },
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
                "settings.Limits.MaxHandOffs must be greater than 0"
            },
            {
                SETTINGS.replace("\"z\"", "\"z\",\"y\""),
                "but it names " + base(SETTINGS) + " as its base"
            },
        };
        for (String[] settingsAndFault : settingsAndFaults) {
            InvalidSettingsException fault =
                    assertThrows(
                            InvalidSettingsException.class,
                            () ->
                                    validated(
                                            ConfigurationVersionParser.parse(
                                                    line(settingsAndFault[0])),
                                            base(SETTINGS)),
                            settingsAndFault[0]);
            assertTrue(fault.getMessage().contains(settingsAndFault[1]), fault.getMessage());
        }
        String otherSettings = SETTINGS.replace("\"z\"", "\"z\",\"y\"");
        ConfigurationVersionMessage onOtherBase =
                ConfigurationVersionParser.parse(
                        line(
                                43,
                                ControlServer.digest(otherSettings),
                                base(otherSettings),
                                otherSettings));
        InvalidSettingsException fault =
                assertThrows(
                        InvalidSettingsException.class,
                        () -> validated(onOtherBase, base(SETTINGS)));
        assertTrue(
                fault.getMessage().contains("for which a new process is needed"),
                fault.getMessage());
        assertEquals(1, validated(onOtherBase, base(otherSettings)).count("Categories.count", 0));
    }

    @Example
    void baseIsTheSettingsThatARunningProcessCannotChange() {
        assertEquals(
                base(SETTINGS), base(SETTINGS.replace("\"read\"", "\"look\"").replace(":3", ":5")));
        assertEquals(
                base(SETTINGS),
                base(SETTINGS.replace("\"Limits\"", "\"Me\":3,\"FleetSize\":9,\"Limits\"")),
                "settings of a single process are not part of the base");
        assertTrue(!base(SETTINGS).equals(base(SETTINGS.replace("MaxHandOffs", "MaxHandOff"))));
    }
}

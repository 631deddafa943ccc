package cottonlock.lab.scale;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;

import cottonlock.lab.ServeCommand;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;

/** A process of simulated proxies that gets the orders of a scale run on its standard input. */
class SimulatedProxyHostTest {
    private static final int PROXIES = 4;
    private static final int RESTARTS = 400;

    /** Guards against "Address already in use" at a restart, which ended the process. */
    @Example
    void simulatedProxiesStartAgainAtTheirAddressesAtOnce() throws Exception {
        File log = Files.createTempFile("hollow", ".log").toFile();
        Process process =
                new ProcessBuilder(
                                ServeCommand.java(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                SimulatedProxyHost.class.getName(),
                                "1",
                                Path.of("deploy", "operator.example.toml").toString())
                        .redirectError(log)
                        .start();
        try (PrintStream orders = new PrintStream(process.getOutputStream(), true, ISO_8859_1);
                BufferedReader answers =
                        new BufferedReader(
                                new InputStreamReader(process.getInputStream(), ISO_8859_1))) {
            orders.println("zones a b c d");
            for (int i = 0; i < PROXIES; i++) {
                orders.printf("new %d hollow%d %s 127.0.0.1:1%n", i, i, freeAddress());
            }
            orders.println("start");
            for (int i = 0; i < RESTARTS; i++) {
                orders.println("kill");
                orders.println("start");
            }
            orders.println("held 1");
            assertEquals(
                    "held 1 " + PROXIES + " 0", firstHeld(answers), Files.readString(log.toPath()));
        } finally {
            process.destroyForcibly();
        }
    }

    private static String freeAddress() throws IOException {
        String ip = "127.10.0.1";
        try (DatagramSocket reserved = new DatagramSocket(new InetSocketAddress(ip, 0))) {
            return ip + ":" + reserved.getLocalPort();
        }
    }

    /** The first answer of that kind; null if the process ends before. */
    private static String firstHeld(BufferedReader answers) throws IOException {
        String line = answers.readLine();
        while (line != null && !line.startsWith("held ")) {
            line = answers.readLine();
        }
        return line;
    }
}

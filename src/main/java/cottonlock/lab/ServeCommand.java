package cottonlock.lab;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds the command by which the lab starts {@code serve}: as in deploy/balancer.toml, but with
 * the JVM and the code of the lab itself.
 */
public final class ServeCommand {
    private ServeCommand() {}

    /** Returns the path of the JVM that the lab itself runs on. */
    public static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    /**
     * Returns the command of a {@code serve} process.
     *
     * @param operators whether it reads an operator's file, for which it needs the libraries
     * @param options additional options of the JVM
     */
    public static List<String> of(boolean operators, List<String> options) throws IOException {
        List<String> command = new ArrayList<>(List.of(java()));
        Path deployed = Path.of("deploy", "jvm.options");
        if (Files.isRegularFile(deployed)) {
            command.add("@" + deployed);
        } else {
            command.addAll(
                    List.of(
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-XX:-UsePerfData",
                            "-Xms24m",
                            "-Xmx64m",
                            "-Xss192k"));
        }
        Path code = code();
        Path archive = code.resolveSibling("cottonlock.jsa");
        if (code.toString().endsWith(".jar") && Files.exists(archive)) {
            command.addAll(
                    List.of(
                            "-Xshare:auto",
                            "-XX:SharedArchiveFile=" + archive,
                            "-Xlog:cds=off",
                            "-Xlog:cds+dynamic=off"));
        }
        command.addAll(options);
        String path = operators ? System.getProperty("java.class.path") : code.toString();
        command.addAll(List.of("-cp", path, "cottonlock.Main", "serve"));
        return command;
    }

    /** Returns the jar or directory that the lab itself runs from. */
    public static Path code() throws IOException {
        try {
            return Path.of(
                    ServeCommand.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        } catch (URISyntaxException e) {
            throw new IOException(e);
        }
    }
}

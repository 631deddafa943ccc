package cottonlock.cli;

import cottonlock.lab.scale.ScaleLab;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Measures the control plane of a whole fleet on this machine. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Plays the control of a whole fleet: real proxies beside hollow ones.",
        footer = {
            "",
            "The last line on standard output is the verdict.",
            "Exit status: 0 pass; 1 a bound broke; 2 the file can't be used, or takes too"
                    + " much of this machine; 3 the machine ran late, so there is no verdict."
        })
final class LabScaleCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Option(names = "--seed", description = "In place of the file's.", paramLabel = "<arg1>")
    private Long seed;

    @Option(
            names = "--set",
            paramLabel = "PATH=VALUE",
            description =
                    "Sets a value of the " + "file: --set fleet.size=300. May be given again.")
    private List<String> overrides;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "Where scale-SIZE-SEED.json and .html go.")
    private Path out;

    @Override
    public Integer call() {
        return new ScaleLab(System.out, System.err)
                .run(file, seed, overrides == null ? List.of() : overrides, out);
    }
}

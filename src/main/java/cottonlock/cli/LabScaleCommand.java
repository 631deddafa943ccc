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
        description = "Runs the control plane of a whole fleet with real and hollow proxies.",
        footer = {
            "",
            "The last line on standard output is the verdict.",
            "Exit status: 0 pass; 1 a bound was exceeded; 2 the file is invalid or needs more than"
                    + " this machine has; 3 no verdict, since tasks ran late on this machine."
        })
final class LabScaleCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Option(names = "--seed", description = "Replaces the file's seed.", paramLabel = "<arg1>")
    private Long seed;

    @Option(
            names = "--set",
            paramLabel = "PATH=VALUE",
            description = "Sets a value of the file: --set fleet.size=300. Can be repeated.")
    private List<String> overrides;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "Folder for scale-SIZE-SEED.json and .html.")
    private Path out;

    @Override
    public Integer call() {
        return new ScaleLab(System.out, System.err)
                .run(file, seed, overrides == null ? List.of() : overrides, out);
    }
}

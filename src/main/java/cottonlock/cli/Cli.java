package cottonlock.cli;

import cottonlock.config.InvalidConfigurationException;
import cottonlock.config.OperatorFile;
import cottonlock.config.PlatformFile;
import cottonlock.lab.Lab;
import cottonlock.lab.scale.Capacity;
import cottonlock.lab.scale.ScaleLab;
import cottonlock.setup.OperatorConfig;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.IntSupplier;
import java.util.function.ToIntFunction;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * All commands with their help. Exit status: 0 done, 2 an argument or file that can't be used; more
 * by command.
 */
@Command(
        name = "cottonlock",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description = "A load balancer for services that call services.",
        subcommands = {
            Cli.Serve.class,
            Cli.WireHost.class,
            Cli.Check.class,
            Cli.LabCommand.class,
            Cli.Completion.class
        },
        footer = {
            "",
            "Exit status: 0 done; 2 an argument or a file can't be used, told in one line each."
        })
public final class Cli implements Callable<Integer> {
    /** The status of what can't be used, as picocli has it too. */
    static final int UNUSABLE = 2;

    @Spec private CommandSpec spec;
    private final ToIntFunction<OperatorConfig> serve;
    private final IntSupplier wireHost;

    private Cli(ToIntFunction<OperatorConfig> serve, IntSupplier wireHost) {
        this.serve = serve;
        this.wireHost = wireHost;
    }

    /**
     * Runs the command that the arguments name, and returns the exit status. {@code serve} is given
     * what the operator's file asks for.
     */
    public static int run(
            String[] args, ToIntFunction<OperatorConfig> serve, IntSupplier wireHost) {
        return new CommandLine(new Cli(serve, wireHost)).setUsageHelpAutoWidth(true).execute(args);
    }

    @Override
    public Integer call() {
        spec.commandLine().getErr().println("cottonlock: expected a command; --help lists them");
        return UNUSABLE;
    }

    /** The version as the jar's manifest has it. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Cli.class.getPackage().getImplementationVersion();
            return new String[] {"cottonlock " + (version == null ? "(from classes)" : version)};
        }
    }

    /** Serves requests. */
    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description = "Serves requests until SIGTERM.",
            footer = {
                "",
                "EDGE_CONFIG names the platform's configuration (JSON).",
                "Exit status: 143 after SIGTERM; " + "2 a configuration that can't be used."
            })
    static final class Serve implements Callable<Integer> {
        @CommandLine.ParentCommand private Cli parent;
        @Spec private CommandSpec spec;

        @Option(
                names = "--operator",
                paramLabel = "FILE",
                defaultValue = "${env:COTTONLOCK_OPERATOR}",
                description =
                        "The operator's file (TOML); else COTTONLOCK_OPERATOR names one, else there"
                                + " is none.")
        private Path operator;

        @Override
        public Integer call() {
            OperatorConfig asked = OperatorConfig.NONE;
            try {
                if (operator != null && !operator.toString().isEmpty()) {
                    OperatorFile file = OperatorFile.read(operator);
                    LogLines.install(file.logFormat(), file.logLevel());
                    asked = new OperatorConfig(file.watched(), file.membership(), file.rollout());
                }
            } catch (InvalidConfigurationException e) {
                return tell(spec, e);
            }
            return parent.serve.applyAsInt(asked);
        }
    }

    /** Serves the bench's wire. */
    @Command(
            name = "wirehost",
            mixinStandardHelpOptions = true,
            description = "Serves the bench's wire on standard input and output.",
            footer = {
                "",
                "Exit status: 0 the input has ended; 1 input that does not keep to the wire's form."
            })
    static final class WireHost implements Callable<Integer> {
        @CommandLine.ParentCommand private Cli parent;

        @Override
        public Integer call() {
            return parent.wireHost.getAsInt();
        }
    }

    /** Checks files. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Checks the platform's configuration (.json), an operator's file or a scenario "
                            + "(.toml).",
            footer = {
                "",
                "Every fault is told at once: file, line, key, what was expected.",
                "Exit status: 0 all can be used; 2 some can't."
            })
    static final class Check implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(arity = "1..*", paramLabel = "FILE", description = "What to check.")
        private List<Path> files;

        @Override
        public Integer call() {
            int status = 0;
            for (Path file : files) {
                try {
                    if (file.toString().endsWith(".json")) {
                        PlatformFile.check(file);
                    } else if (ScaleLab.isScaleFile(file)) {
                        ScaleLab.check(file);
                    } else if (Lab.isScenario(file)) {
                        Lab.check(file);
                    } else {
                        OperatorFile.read(file);
                    }
                    spec.commandLine().getOut().println(file + ": can be used");
                } catch (InvalidConfigurationException e) {
                    status = tell(spec, e);
                }
            }
            return status;
        }
    }

    /** The lab's commands. */
    @Command(
            name = "lab",
            mixinStandardHelpOptions = true,
            synopsisSubcommandLabel = "COMMAND",
            description = "Plays scenarios with real proxies on loopback (docs/lab.md).")
    static final class LabCommand implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Override
        public Integer call() {
            spec.commandLine()
                    .getErr()
                    .println(
                            "cottonlock lab: expected run, compare, members, scale or "
                                    + "sweep; --help tells more");
            return UNUSABLE;
        }

        private static Lab lab() {
            @SuppressWarnings("SystemConsoleNull") // The program runs on Java 17.
            boolean interactive = System.console() != null;
            return new Lab(System.out, System.err, interactive);
        }

        @Command(
                name = "run",
                mixinStandardHelpOptions = true,
                description = "Plays one scenario.",
                footer = {
                    "",
                    "The last line on standard output is the verdict.",
                    "Exit status: 0 pass; 1 a rule or an expectation broke; 2 the scenario or an"
                        + " argument can't be used; 3 the machine ran late, so there is no verdict."
                })
        int run(
                @Parameters(paramLabel = "SCENARIO") Path file,
                @Option(names = "--seed", description = "In place of the scenario's.") Long seed,
                @Option(
                                names = "--set",
                                paramLabel = "PATH=VALUE",
                                description =
                                        "Sets a value of the scenario: --set proxy.count=4, --set"
                                                + " fault.0.at=2. May be given again.")
                        List<String> sets,
                @Option(
                                names = "--out",
                                paramLabel = "DIR",
                                description =
                                        "Where report.json, report.html, "
                                                + "schedule.tsv and ledger.txt go.")
                        Path out,
                @Option(names = "--processes", description = "Each proxy in a process of its own.")
                        boolean processes)
                throws InterruptedException {
            return lab().run(file, seed, sets == null ? List.of() : sets, out, processes);
        }

        @Command(
                name = "compare",
                mixinStandardHelpOptions = true,
                description = "Puts two reports side by side.")
        int compare(
                @Parameters(paramLabel = "A", description = "A report.json, or its folder.")
                        Path one,
                @Parameters(paramLabel = "B") Path other) {
            return lab().compare(one, other);
        }

        @Command(
                name = "capacity",
                mixinStandardHelpOptions = true,
                description = "Works out docs/CAPACITY.md from the results in a folder.",
                footer = {
                    "",
                    "Exit status: 0 done; 1 a measured run broke a rule; 2 a file can't be used; 3"
                            + " the machine ran late, so a measured run shows nothing."
                })
        int capacity(
                @Parameters(paramLabel = "DIR", description = "docs/capacity.") Path folder,
                @Option(
                                names = "--write",
                                paramLabel = "PAGE",
                                description = "Writes the page there; else it is printed.")
                        Path page,
                @Option(
                                names = "--measure",
                                paramLabel = "WHAT",
                                description =
                                        "Measures instead, into DIR/WHAT.json: proxy-ENTRIES-SEED, "
                                                + "latency-TIERS-SEED.")
                        String measure)
                throws InterruptedException {
            Capacity capacity = new Capacity(System.out, System.err);
            return measure == null
                    ? capacity.page(folder, page)
                    : capacity.measure(folder, measure);
        }

        @Command(
                name = "members",
                mixinStandardHelpOptions = true,
                description =
                        "Plays fleets that know one another in virtual time: what it costs and"
                                + " brings.",
                footer = {"", "One seed gives the same figures on any machine."})
        int members(
                @Option(
                                names = "--sizes",
                                split = ",",
                                defaultValue = "10,50,200",
                                description = "Members; default ${DEFAULT-VALUE}.")
                        List<Integer> sizes,
                @Option(
                                names = "--losses",
                                split = ",",
                                defaultValue = "0,0.1,0.3",
                                description = "Parts of datagrams that are lost.")
                        List<Double> losses,
                @Option(names = "--seed", defaultValue = "1") long seed,
                @Option(
                                names = "--deaths",
                                defaultValue = "9",
                                description = "Members killed, one after the other.")
                        int deaths,
                @Option(
                                names = "--quiet",
                                defaultValue = "600",
                                paramLabel = "SECONDS",
                                description = "Without a fault, for false failures and bytes.")
                        int quiet,
                @Option(
                                names = "--operator",
                                paramLabel = "FILE",
                                description = "An operator's file whose [membership] is played.")
                        Path operator,
                @Option(
                                names = "--out",
                                paramLabel = "DIR",
                                description =
                                        "Where members.html goes; with --regions or --zones "
                                                + "members-SIZE-SEED.json.")
                        Path out,
                @Option(
                                names = "--regions",
                                defaultValue = "1",
                                description =
                                        "Regions with zones: racks, zones and regions fail in place"
                                                + " of single members.")
                        int regions,
                @Option(names = "--zones", defaultValue = "1", description = "Over all regions.")
                        int zones,
                @Option(
                                names = "--apart",
                                defaultValue = "3600",
                                paramLabel = "SECONDS",
                                description =
                                        "For which regions are cut off; a zone a tenth of it.")
                        int apart,
                @Option(
                                names = "--seeds",
                                split = ",",
                                description = "With zones, in place of --seed.")
                        List<Long> seeds,
                @Option(
                                names = "--known",
                                defaultValue = "0",
                                paramLabel = "N",
                                description =
                                        "With zones: addresses that each member is told; 0: all.")
                        int known) {
            if (zones != 1 || regions != 1) {
                if (regions < 1
                        || zones < 2
                        || regions > zones
                        || zones > 64
                        || quiet < 1
                        || apart < 1
                        || known < 0
                        || sizes.stream().anyMatch(n -> n < zones || n > 4_096)) {
                    spec.commandLine()
                            .getErr()
                            .println(
                                    "cottonlock lab members: expected 2 to 64 zones, no more"
                                        + " regions than zones, sizes from the zones to 4096, and"
                                        + " one second or more");
                    return UNUSABLE;
                }
                return lab().membersOver(
                                regions,
                                zones,
                                sizes,
                                seeds == null ? List.of(seed) : seeds,
                                quiet,
                                apart,
                                known,
                                operator,
                                out);
            }
            if (sizes.stream().anyMatch(n -> n < 2 || n > 4_096)
                    || deaths < 1
                    || quiet < 1
                    || losses.stream().anyMatch(l -> l < 0 || l > 0.9)) {
                spec.commandLine()
                        .getErr()
                        .println(
                                "cottonlock lab members: expected sizes of 2 to 4096, losses of 0"
                                        + " to 0.9, and one death and one second or more");
                return UNUSABLE;
            }
            return lab().members(sizes, losses, seed, deaths, quiet, operator, out);
        }

        @Command(
                name = "scale",
                mixinStandardHelpOptions = true,
                description =
                        "Plays the control of a whole fleet: real proxies beside hollow ones.",
                footer = {
                    "",
                    "The last line on standard output is the verdict.",
                    "Exit status: 0 pass; 1 a bound broke; 2 the file can't be used, or takes too"
                        + " much of this machine; 3 the machine ran late, so there is no verdict."
                })
        int scale(
                @Parameters(paramLabel = "FILE") Path file,
                @Option(names = "--seed", description = "In place of the file's.") Long seed,
                @Option(
                                names = "--set",
                                paramLabel = "PATH=VALUE",
                                description =
                                        "Sets a value of the "
                                                + "file: --set fleet.size=300. May be given again.")
                        List<String> sets,
                @Option(
                                names = "--out",
                                paramLabel = "DIR",
                                description = "Where scale-SIZE-SEED.json and .html go.")
                        Path out) {
            return new ScaleLab(System.out, System.err)
                    .run(file, seed, sets == null ? List.of() : sets, out);
        }

        @Command(
                name = "rollout",
                mixinStandardHelpOptions = true,
                description =
                        "Plays how a change of the settings comes into force, in virtual time.",
                footer = {
                    "",
                    "One seed gives the same figures on any machine.",
                    "Exit status: 0 played; 1 a change was not in force in time, or a version went"
                            + " back; 2 an argument can't be used."
                })
        int rollout(
                @Option(
                                names = "--sizes",
                                split = ",",
                                defaultValue = "100,300,1000,3000",
                                description = "Proxies; default ${DEFAULT-VALUE}.")
                        List<Integer> sizes,
                @Option(
                                names = "--seeds",
                                split = ",",
                                defaultValue = "1,2,3",
                                description = "Default: ${DEFAULT-VALUE}.")
                        List<Long> seeds,
                @Option(
                                names = "--commit",
                                defaultValue = "",
                                paramLabel = "NAME",
                                description = "Of what is played, for the files.")
                        String commit,
                @Option(
                                names = "--out",
                                paramLabel = "DIR",
                                description = "Where rollout-SIZE-SEED.json go.")
                        Path out) {
            if (sizes.stream().anyMatch(n -> n < 7 || n > 10_000)) {
                spec.commandLine()
                        .getErr()
                        .println("cottonlock lab rollout: expected sizes of 7 to 10000");
                return UNUSABLE;
            }
            return lab().rollout(sizes, seeds, commit, out);
        }

        @Command(
                name = "sweep",
                mixinStandardHelpOptions = true,
                description = "Plays a scenario for each of several values of one setting.")
        int sweep(
                @Parameters(paramLabel = "SCENARIO") Path file,
                @Option(
                                names = "--set",
                                paramLabel = "PATH=V1,V2,...",
                                required = true,
                                description =
                                        "The one with commas is swept; others, with one value each,"
                                                + " are set in all runs.")
                        List<String> sets,
                @Option(
                                names = "--seeds",
                                split = ",",
                                defaultValue = "1",
                                description = "Default: 1.")
                        List<Long> seeds,
                @Option(names = "--out", paramLabel = "DIR", description = "Where sweep.html goes.")
                        Path out)
                throws InterruptedException {
            List<String> fixed = new ArrayList<>();
            String swept = null;
            for (String set : sets) {
                if (swept == null && set.contains(",") && !set.contains("[")) {
                    swept = set;
                } else {
                    fixed.add(set);
                }
            }
            if (swept == null || swept.indexOf('=') <= 0) {
                spec.commandLine()
                        .getErr()
                        .println("cottonlock lab sweep: expected one --set " + "PATH=V1,V2,...");
                return UNUSABLE;
            }
            int equals = swept.indexOf('=');
            return lab().sweep(
                            file,
                            swept.substring(0, equals),
                            List.of(swept.substring(equals + 1).split(",")),
                            seeds,
                            fixed,
                            out);
        }
    }

    /** Prints a script for the shell. */
    @Command(
            name = "completion",
            mixinStandardHelpOptions = true,
            description = "Prints a script for bash and zsh that completes commands and options.",
            footer = {"", "source <(java -jar target/cottonlock.jar completion)"})
    static final class Completion implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            out.print(AutoComplete.bash("cottonlock", spec.root().commandLine()));
            out.flush();
            return 0;
        }
    }

    private static int tell(CommandSpec spec, InvalidConfigurationException e) {
        e.faults().forEach(spec.commandLine().getErr()::println);
        return UNUSABLE;
    }
}

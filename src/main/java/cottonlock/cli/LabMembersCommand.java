package cottonlock.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Simulates member lists of whole fleets in virtual time. */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        description =
                "Plays fleets that know one another in virtual time: what it costs and"
                        + " brings.",
        footer = {"", "One seed gives the same figures on any machine."})
final class LabMembersCommand implements Callable<Integer> {
    private static final int MAX_ZONES = 64;
    private static final int MAX_MEMBERS = 4_096;
    private static final double MAX_LOSS = 0.9;

    @Spec private CommandSpec spec;

    @Option(
            names = "--sizes",
            split = ",",
            defaultValue = "10,50,200",
            description = "Members; default ${DEFAULT-VALUE}.",
            paramLabel = "<arg0>")
    private List<Integer> sizes;

    @Option(
            names = "--losses",
            split = ",",
            defaultValue = "0,0.1,0.3",
            description = "Parts of datagrams that are lost.",
            paramLabel = "<arg1>")
    private List<Double> lossRates;

    @Option(names = "--seed", defaultValue = "1", paramLabel = "<arg2>")
    private long seed;

    @Option(
            names = "--deaths",
            defaultValue = "9",
            description = "Members killed, one after the other.",
            paramLabel = "<arg3>")
    private int killCount;

    @Option(
            names = "--quiet",
            defaultValue = "600",
            paramLabel = "SECONDS",
            description = "Without a fault, for false failures and bytes.")
    private int quietSeconds;

    @Option(
            names = "--operator",
            paramLabel = "FILE",
            description = "An operator's file whose [membership] is played.")
    private Path operatorFile;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description =
                    "Where members.html goes; with --regions or --zones "
                            + "members-SIZE-SEED.json.")
    private Path out;

    @Option(
            names = "--regions",
            defaultValue = "1",
            description =
                    "Regions with zones: racks, zones and regions fail in place"
                            + " of single members.",
            paramLabel = "<arg7>")
    private int regions;

    @Option(
            names = "--zones",
            defaultValue = "1",
            description = "Over all regions.",
            paramLabel = "<arg8>")
    private int zones;

    @Option(
            names = "--apart",
            defaultValue = "3600",
            paramLabel = "SECONDS",
            description = "For which regions are cut off; a zone a tenth of it.")
    private int partitionSeconds;

    @Option(
            names = "--seeds",
            split = ",",
            description = "With zones, in place of --seed.",
            paramLabel = "<arg10>")
    private List<Long> seeds;

    @Option(
            names = "--known",
            defaultValue = "0",
            paramLabel = "N",
            description = "With zones: addresses that each member is told; 0: all.")
    private int knownAddressCount;

    @Override
    public Integer call() {
        return zones != 1 || regions != 1 ? simulateRegions() : simulateFleet();
    }

    private int simulateRegions() {
        if (!areRegionArgumentsUsable()) {
            return reject(
                    "expected 2 to 64 zones, no more regions than zones, sizes from the zones to"
                            + " 4096, and one second or more");
        }
        return LabCommand.lab()
                .membersOver(
                        regions,
                        zones,
                        sizes,
                        seeds == null ? List.of(seed) : seeds,
                        quietSeconds,
                        partitionSeconds,
                        knownAddressCount,
                        operatorFile,
                        out);
    }

    private boolean areRegionArgumentsUsable() {
        return regions >= 1
                && zones >= 2
                && regions <= zones
                && zones <= MAX_ZONES
                && quietSeconds >= 1
                && partitionSeconds >= 1
                && knownAddressCount >= 0
                && sizes.stream().allMatch(size -> size >= zones && size <= MAX_MEMBERS);
    }

    private int simulateFleet() {
        if (!areFleetArgumentsUsable()) {
            return reject(
                    "expected sizes of 2 to 4096, losses of 0 to 0.9, and one death and one second"
                            + " or more");
        }
        return LabCommand.lab().members(sizes, lossRates, seed, killCount, quietSeconds, operatorFile, out);
    }

    private boolean areFleetArgumentsUsable() {
        return sizes.stream().allMatch(size -> size >= 2 && size <= MAX_MEMBERS)
                && killCount >= 1
                && quietSeconds >= 1
                && lossRates.stream().noneMatch(loss -> loss < 0 || loss > MAX_LOSS);
    }

    private int reject(String expected) {
        spec.commandLine().getErr().println("cottonlock lab members: " + expected);
        return Cli.EXIT_UNUSABLE_INPUT;
    }
}

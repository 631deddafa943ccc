package cottonlock.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Simulates the membership of whole fleets in virtual time. */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        description =
                "Simulates the membership of whole fleets in virtual time: its cost and its"
                        + " detection of failures.",
        footer = {"", "The same seed gives the same results on any machine."})
final class LabMembersCommand implements Callable<Integer> {
    private static final int MAX_ZONES = 64;
    private static final int MAX_MEMBERS = 4_096;
    private static final double MAX_LOSS = 0.9;

    @Spec private CommandSpec spec;

    @Option(
            names = "--sizes",
            split = ",",
            defaultValue = "10,50,200",
            description = "Numbers of members; default: ${DEFAULT-VALUE}.",
            paramLabel = "<arg0>")
    private List<Integer> sizes;

    @Option(
            names = "--losses",
            split = ",",
            defaultValue = "0,0.1,0.3",
            description = "Fractions of datagrams that are lost.",
            paramLabel = "<arg1>")
    private List<Double> lossRates;

    @Option(names = "--seed", defaultValue = "1", paramLabel = "<arg2>")
    private long seed;

    @Option(
            names = "--deaths",
            defaultValue = "9",
            description = "Number of members that are killed one after another.",
            paramLabel = "<arg3>")
    private int killCount;

    @Option(
            names = "--quiet",
            defaultValue = "600",
            paramLabel = "SECONDS",
            description = "Time without faults, in which false failures and bytes are counted.")
    private int quietSeconds;

    @Option(
            names = "--operator",
            paramLabel = "FILE",
            description = "An operator's file with the [membership] table to simulate.")
    private Path operatorFile;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description =
                    "Folder for members.html; with --regions or --zones, for "
                            + "members-SIZE-SEED.json.")
    private Path out;

    @Option(
            names = "--regions",
            defaultValue = "1",
            description =
                    "Number of regions. With more than one region or zone, racks, zones and"
                            + " regions fail instead of single members.",
            paramLabel = "<arg7>")
    private int regions;

    @Option(
            names = "--zones",
            defaultValue = "1",
            description = "Number of zones in all regions together.",
            paramLabel = "<arg8>")
    private int zones;

    @Option(
            names = "--apart",
            defaultValue = "3600",
            paramLabel = "SECONDS",
            description = "Time for which regions are cut off; zones are for a tenth of it.")
    private int partitionSeconds;

    @Option(
            names = "--seeds",
            split = ",",
            description = "Seeds to use with zones instead of --seed.",
            paramLabel = "<arg10>")
    private List<Long> seeds;

    @Option(
            names = "--known",
            defaultValue = "0",
            paramLabel = "N",
            description = "With zones: number of addresses given to each member; 0 means all.")
    private int knownAddressCount;

    @Override
    public Integer call() {
        return zones != 1 || regions != 1 ? simulateRegions() : simulateFleet();
    }

    private int simulateRegions() {
        if (!areRegionArgumentsUsable()) {
            return reject(
                    "expected 2 to 64 zones, no more regions than zones, sizes from the number of"
                            + " zones to 4096, and times of one second or more");
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
                    "expected sizes of 2 to 4096, losses of 0 to 0.9, one death or more, and one"
                            + " quiet second or more");
        }
        return LabCommand.lab()
                .members(sizes, lossRates, seed, killCount, quietSeconds, operatorFile, out);
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

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The configuration of one small deployment's proxy, in the form of the deployment page. */
final class Deployment {
    final int port = Rig.freePort();
    final int management = Rig.freePort();
    int memoryMb = 192;
    int sockets = 1024;
    String list = "{\"seq\":0,\"whole\":true,\"hosts\":[]}";
    int discovery;

    Deployment() throws IOException {}

    /** What the proxy draws from: the environment's seed, or 1. */
    private static String seed() {
        String seed = System.getenv().getOrDefault("seed", "1");
        return String.format(Locale.ROOT, "%016x", Long.parseLong(seed));
    }

    private static String category(
            String name, long due, long expiry, String repeat, String scope) {
        return "{\"Name\":\""
                + name
                + "\",\"Credit\":1.0,\"LateCredit\":0.0,\"DueTime\":"
                + due * 1_000
                + ",\"Expiry\":"
                + expiry * 1_000
                + ",\"Repeat\":\""
                + repeat
                + "\",\"KeyScope\":\""
                + scope
                + "\",\"RepeatWindow\":10000000,\"Stream\":false}";
    }

    /** Writes the configuration to a file. */
    Path write(Path file) throws IOException {
        return write(file, management);
    }

    /** The same, for a process with another management address. */
    Path write(Path file, int managementPort) throws IOException {
        String text =
                "{\"name\":\"n0\",\"listen\":\"127.0.0.1:"
                        + port
                        + "\",\"mgmt\":\"127.0.0.1:"
                        + managementPort
                        + "\",\"discovery\":\"127.0.0.1:"
                        + discovery
                        + "\",\"seed\":\""
                        + seed()
                        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                        + memoryMb
                        + ",\"sockets\":"
                        + sockets
                        + "},\"known\":"
                        + list
                        + ",\"settings\":{\"Categories\":["
                        + category("rate-quote", 750, 2_000, "safe", "all")
                        + ","
                        + category("limit-check", 1_500, 4_000, "safe", "all")
                        + ","
                        + category("exchange-record", 2_500, 6_000, "keyed", "zone")
                        + "],\"Projects\":[{\"Name\":\"malopolska\",\"Share\":0.6,\"QuotaRps\":300.0},"
                        + "{\"Name\":\"slask\",\"Share\":0.4,\"QuotaRps\":200.0}],"
                        + "\"Zones\":[\"krakow-a\",\"krakow-b\",\"katowice\"],\"Flavors\":[\"std\"],"
                        + "\"FleetSize\":1,\"Me\":0,\"Zone\":0,\"Stage\":0,\"Tiers\":[\"till-gateway\"],"
                        + "\"Workload\":\"chain\",\"MembershipMode\":\"subscribe\","
                        + "\"Limits\":{\"MaxHandOffs\":4,\"Cancel\":true,\"RetryAfter\":true,"
                        + "\"MaxRetryAfter\":2000000,\"ConnectTimeout\":150000,\"ConnIdle\":60000000,"
                        + "\"PeerMessages\":false,\"Probes\":false,\"SecondCopies\":true,\"Multiplex\":1},"
                        + "\"Obligations\":{\"AnswerSlack\":20000,\"AskWithin\":10000000,"
                        + "\"Cold\":8700000,\"ColdShare\":0.35,\"DrainGrace\":1500000,"
                        + "\"Fall\":3000000,\"FallMultiple\":3.0}}}";
        Files.writeString(file, text);
        return file;
    }
}

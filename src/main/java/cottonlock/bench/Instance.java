package cottonlock.bench;

import cottonlock.decision.Balancer;
import cottonlock.decision.Category;
import cottonlock.decision.Outlet;
import cottonlock.decision.Tenant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.SplittableRandom;

/** One balancer of the bench: built from its settings, answering through the wire's messages. */
final class Instance implements Outlet {
    private final String name;
    private final Reply reply;
    final Balancer balancer;
    final int categories;
    final int tenants;
    final int telemetryFields;

    Instance(String name, Reply reply, long seed, Settings s) {
        this.name = name;
        this.reply = reply;
        List<Category> categoryList = categories(s);
        List<Tenant> tenantList = tenants(s);
        this.categories = categoryList.size();
        this.tenants = tenantList.size();
        String fields = s.text("Telemetry.Fields", "");
        this.telemetryFields = fields.isEmpty() ? 0 : fields.split(",").length;

        SplittableRandom random = new SplittableRandom(seed);
        int balancers = s.count("FleetSize", 1);
        boolean first = s.count("Stage", 0) == 0;
        long longestComeBack = s.flag("Limits.RetryAfter", false) ? s.timeDown("Limits.MaxRetryAfter") : 0;
        Balancer.Fleet fleet = new Balancer.Fleet(this, random.split(), tenantList, balancers,
            s.flag("Limits.PeerMessages", false), s.choice("MembershipMode", "automatic", "subscribe") == 1,
            s.timeDown("Obligations.AskWithin"),
            s.number("Obligations.ColdShare", 1), s.timeUp("Obligations.Cold"),
            s.number("Obligations.FallMultiple", 1), s.timeUp("Obligations.Fall"));
        Balancer.Line line = new Balancer.Line(fleet, random.split(), tenants, balancers, first);
        this.balancer = new Balancer(this,
            new Balancer.Intake(this, categoryList, tenantList, first, balancers, longestComeBack),
            line,
            new Balancer.Lane(line, fleet),
            new Balancer.Pick(fleet, random.split()),
            new Balancer.HandOffs(this, line, fleet, s.count("Limits.MaxHandOffs", 1),
                s.flag("Limits.Cancel", false)),
            fleet);
    }

    private static List<Category> categories(Settings s) {
        List<Category> list = new ArrayList<>();
        int n = s.count("Categories.count", 0);
        for (int i = 0; i < n; i++) {
            String at = "Categories." + i + ".";
            list.add(new Category(i, s.timeDown(at + "DueTime"), s.number(at + "Credit", 1),
                s.number(at + "LateCredit", 0),
                Category.Repeat.values()[s.choice(at + "Repeat", "safe", "keyed", "unsafe")],
                Category.Scope.values()[s.choice(at + "KeyScope", "all", "zone", "cell")],
                s.timeDown(at + "RepeatWindow")));
        }
        return list;
    }

    private static List<Tenant> tenants(Settings s) {
        List<Tenant> list = new ArrayList<>();
        int n = s.count("Projects.count", 0);
        for (int i = 0; i < n; i++) {
            String at = "Projects." + i + ".";
            list.add(new Tenant(s.number(at + "Share", 0), s.number(at + "QuotaRps", 0)));
        }
        return list;
    }

    @Override
    public void handOff(long wi, String backend, long timeOut) {
        reply.start("dispatch", name).field(wi).field(backend).field(timeOut * WireHost.MICROS).end();
    }

    @Override
    public void recall(long wi, int handOff) {
        reply.start("retract", name).field(wi).field(handOff).end();
    }

    @Override
    public void defer(long wi, long comeBack) {
        reply.start("overload_reply", name).field(wi).field(comeBack * WireHost.MICROS).end();
    }

    @Override
    public void writeOff(long wi) {
        reply.start("give_up", name).field(wi).end();
    }

    @Override
    public void wakeMe(long at) {
        reply.start("set_timer", name).field(at * WireHost.MICROS).field(0).end();
    }

    @Override
    public void askList() {
        reply.start("listen", name).field(1).end();
    }

    @Override
    public void probe(String backend) {
        reply.start("probe", name).field(backend).end();
    }

    @Override
    public void tellPeers(byte[] message) {
        String coded = message.length == 0 ? "-" : Base64.getEncoder().encodeToString(message);
        reply.start("share", name).field("all").field(coded).end();
    }

    @Override
    public void note(String line) {
        reply.start("trace", name).field(line).end();
    }
}

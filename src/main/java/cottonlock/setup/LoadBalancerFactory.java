package cottonlock.setup;

import cottonlock.decision.LoadBalancer;
import cottonlock.decision.RequestIntake;
import cottonlock.decision.admission.AdmissionController;
import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.RequestClass;
import cottonlock.decision.api.SlowStartConfig;
import cottonlock.decision.api.Tenant;
import cottonlock.decision.backend.BackendRegistry;
import cottonlock.decision.retry.AttemptTracker;
import cottonlock.decision.routing.BackendPicker;
import cottonlock.decision.routing.LaneSelector;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Builds the decision module from the settings of one balancer, for the bench and the proxy alike.
 */
public final class LoadBalancerFactory {
    public final List<RequestClass> categories;
    public final List<Tenant> tenants;
    private final Settings settings;

    public LoadBalancerFactory(Settings settings) {
        this.settings = settings;
        this.categories = categories(settings);
        this.tenants = tenants(settings);
    }

    /** Whether changes of the list come only to those that ask for them. */
    public boolean mustAsk() {
        return settings.choice("MembershipMode", "automatic", "subscribe") == 1;
    }

    /** How the deployment is laid out. */
    private DeploymentTopology shape() {
        Settings s = settings;
        return new DeploymentTopology(
                s.count("FleetSize", 1),
                s.count("Me", 0),
                !s.text("Workload", "chain").equals("mesh"),
                restOfConnections(),
                s.flag("Limits.PeerMessages", false),
                mustAsk(),
                s.timeDown("Obligations.AskWithin"),
                !s.flag("Obligations.RemovalNotBinding", false),
                (long)
                        categories.stream()
                                .mapToLong(RequestClass::latencyObjectiveTicks)
                                .average()
                                .orElse(0));
    }

    /** A module that answers through the given outlet. */
    public LoadBalancer balancer(LoadBalancerActions outlet, long seed) {
        Settings s = settings;
        SplittableRandom random = new SplittableRandom(seed);
        boolean first = s.count("Stage", 0) == 0;
        long longestComeBack =
                s.flag("Limits.RetryAfter", false) ? s.timeDown("Limits.MaxRetryAfter") : 0;
        DeploymentTopology shape = shape();
        SlowStartConfig cold =
                new SlowStartConfig(
                        s.number("Obligations.ColdShare", 1),
                        s.timeUp("Obligations.Cold"),
                        s.number("Obligations.FallMultiple", 1),
                        s.timeUp("Obligations.Fall"));
        BackendRegistry fleet = new BackendRegistry(outlet, random.split(), tenants, shape, cold);
        AdmissionController line =
                new AdmissionController(fleet, random.split(), tenants, shape, first);
        return new LoadBalancer(
                outlet,
                new RequestIntake(outlet, categories, tenants, first, shape, longestComeBack),
                line,
                new LaneSelector(line, fleet),
                new BackendPicker(fleet, random.split()),
                new AttemptTracker(
                        outlet,
                        line,
                        fleet,
                        s.count("Limits.MaxHandOffs", 1),
                        s.flag("Limits.Cancel", false)),
                fleet);
    }

    /**
     * For each backend, the time after which a kept connection has cost as much as a new one by the
     * fees. The one counts for 100 backends, the other for each request. 0 where keeping costs
     * nothing.
     */
    private double restOfConnections() {
        double kept = fee("Fees.Connection");
        double quotas = tenants.stream().mapToDouble(Tenant::quotaPerSecond).sum();
        return kept <= 0 || quotas <= 0 ? 0 : 100 * fee("Fees.Handshake") / kept / quotas * 10_000;
    }

    private double fee(String path) {
        double fee = settings.number(path, 0);
        if (fee < 0) {
            throw new InvalidSettingsException("setting " + path + " is below 0: " + fee);
        }
        return fee;
    }

    private static List<RequestClass> categories(Settings s) {
        List<RequestClass> list = new ArrayList<>();
        int n = s.count("Categories.count", 0);
        for (int i = 0; i < n; i++) {
            String at = "Categories." + i + ".";
            list.add(
                    new RequestClass(
                            i,
                            s.timeDown(at + "DueTime"),
                            s.number(at + "Credit", 1),
                            s.number(at + "LateCredit", 0),
                            RequestClass.Idempotency.values()[
                                    s.choice(at + "Repeat", "safe", "keyed", "unsafe")],
                            RequestClass.DeduplicationScope.values()[
                                    s.choice(at + "KeyScope", "all", "zone", "cell")],
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
}

package cottonlock.setup;

import cottonlock.core.Ticks;
import cottonlock.decision.LoadBalancer;
import cottonlock.decision.RequestIntake;
import cottonlock.decision.admission.AdmissionController;
import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.RequestClass;
import cottonlock.decision.api.RequestClass.DeduplicationScope;
import cottonlock.decision.api.RequestClass.Idempotency;
import cottonlock.decision.api.SlowStartConfig;
import cottonlock.decision.api.Tenant;
import cottonlock.decision.backend.BackendRegistry;
import cottonlock.decision.retry.AttemptTracker;
import cottonlock.decision.routing.BackendPicker;
import cottonlock.decision.routing.LaneSelector;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Builds load balancers from settings, for both the simulator and the proxy. It is the only class
 * that knows the names of the settings on which decisions depend. Thread-safe only while its
 * settings do not change.
 */
public final class LoadBalancerFactory {
    /** The number of backends that the fee for open connections is quoted for. */
    private static final int BACKENDS_PER_CONNECTION_FEE = 100;

    private static final Map<String, Idempotency> IDEMPOTENCY_BY_SETTING =
            Map.of(
                    "safe", Idempotency.IDEMPOTENT,
                    "keyed", Idempotency.WITH_KEY,
                    "unsafe", Idempotency.NOT_IDEMPOTENT);

    private static final Map<String, DeduplicationScope> SCOPE_BY_SETTING =
            Map.of(
                    "all", DeduplicationScope.ALL,
                    "zone", DeduplicationScope.ZONE,
                    "cell", DeduplicationScope.CELL);

    /**
     * Whether this load balancer must subscribe to the endpoint list itself (MembershipMode
     * "subscribe"); with "automatic" its host keeps the list up to date.
     */
    private static final Map<String, Boolean> POLLED_BY_SETTING =
            Map.of("automatic", false, "subscribe", true);

    private final Settings settings;
    private final List<RequestClass> requestClasses;
    private final List<Tenant> tenants;
    private final int maxAttempts;

    /**
     * Reads request classes, tenants and the maximum number of attempts; the other settings are
     * read when a load balancer is created.
     *
     * @throws InvalidSettingsException if one of them is malformed
     */
    public LoadBalancerFactory(Settings settings) {
        this.settings = settings;
        this.requestClasses = readRequestClasses(settings);
        this.tenants = readTenants(settings);
        this.maxAttempts = settings.count("Limits.MaxHandOffs", 1);
    }

    /** The request classes, in the order of the settings. */
    public List<RequestClass> requestClasses() {
        return requestClasses;
    }

    /** The tenants, in the order of the settings. */
    public List<Tenant> tenants() {
        return tenants;
    }

    /** The maximum number of attempts of a request, 1 or more. */
    public int maxAttempts() {
        return maxAttempts;
    }

    /**
     * Whether this load balancer must subscribe to the endpoint list itself (MembershipMode
     * "subscribe"); with "automatic" its host keeps the list up to date.
     *
     * @throws InvalidSettingsException if the setting has an unknown value
     */
    public boolean isEndpointListPolled() {
        return settings.choice("MembershipMode", "automatic", POLLED_BY_SETTING);
    }

    /**
     * Creates a load balancer.
     *
     * @param actions receives the actions of the load balancer
     * @param seed the seed of all its random draws
     * @throws InvalidSettingsException if a setting is malformed
     */
    public LoadBalancer create(LoadBalancerActions actions, long seed) {
        // Each part has its own random generator, which the order of the splits determines.
        SplittableRandom random = new SplittableRandom(seed);
        boolean firstTier = settings.count("Stage", 0) == 0;
        boolean retryAfterAllowed = settings.flag("Limits.RetryAfter", false);
        long maxRetryAfterTicks =
                retryAfterAllowed ? settings.ticksRoundedDown("Limits.MaxRetryAfter") : 0;
        DeploymentTopology topology = readTopology();
        SlowStartConfig slowStart = readSlowStart();
        BackendRegistry registry =
                new BackendRegistry(actions, random.split(), tenants, topology, slowStart);
        AdmissionController admission =
                new AdmissionController(registry, random.split(), tenants, topology, firstTier);
        RequestIntake intake =
                new RequestIntake(actions, tenants, firstTier, topology, maxRetryAfterTicks);
        LaneSelector laneSelector = new LaneSelector(admission, registry);
        BackendPicker picker = new BackendPicker(registry, random.split());
        boolean cancellationAllowed = settings.flag("Limits.Cancel", false);
        AttemptTracker attempts =
                new AttemptTracker(actions, admission, registry, cancellationAllowed);
        return new LoadBalancer(
                actions, intake, admission, laneSelector, picker, attempts, registry);
    }

    private DeploymentTopology readTopology() {
        int loadBalancerCount = settings.count("FleetSize", 1);
        int ownIndex = settings.count("Me", 0);
        boolean evenlyLoaded = !settings.text("Workload", "chain").equals("mesh");
        double connectionBreakEvenTicks = readConnectionBreakEvenTicks();
        boolean peerMessagesAllowed = settings.flag("Limits.PeerMessages", false);
        boolean endpointListPolled = isEndpointListPolled();
        long maxPollIntervalTicks = settings.ticksRoundedDown("Obligations.AskWithin");
        boolean removalBinding = !settings.flag("Obligations.RemovalNotBinding", false);
        double meanLatencyObjectiveTicks =
                requestClasses.stream()
                        .mapToLong(RequestClass::latencyObjectiveTicks)
                        .average()
                        .orElse(0);
        return new DeploymentTopology(
                loadBalancerCount,
                ownIndex,
                evenlyLoaded,
                connectionBreakEvenTicks,
                peerMessagesAllowed,
                endpointListPolled,
                maxPollIntervalTicks,
                removalBinding,
                (long) meanLatencyObjectiveTicks);
    }

    private SlowStartConfig readSlowStart() {
        double initialFraction = settings.number("Obligations.ColdShare", 1);
        long warmUpTicks = settings.ticksRoundedUp("Obligations.Cold");
        double overloadMultiple = settings.number("Obligations.FallMultiple", 1);
        long overloadWindowTicks = settings.ticksRoundedUp("Obligations.Fall");
        return new SlowStartConfig(
                initialFraction, warmUpTicks, overloadMultiple, overloadWindowTicks);
    }

    /**
     * The idle time, per ready backend, after which a connection has cost as much as a new one. The
     * handshake fee applies to handshakes per request, so it is divided by the request rate, which
     * is assumed to be the sum of all quotas. 0 where idle connections cost nothing.
     */
    private double readConnectionBreakEvenTicks() {
        double connectionFee = readFee("Fees.Connection");
        double requestsPerSecond = tenants.stream().mapToDouble(Tenant::quotaPerSecond).sum();
        if (connectionFee <= 0 || requestsPerSecond <= 0) {
            return 0;
        }
        double handshakeFee = readFee("Fees.Handshake");
        return BACKENDS_PER_CONNECTION_FEE
                * handshakeFee
                / connectionFee
                / requestsPerSecond
                * Ticks.PER_SECOND;
    }

    private double readFee(String path) {
        double fee = settings.number(path, 0);
        if (fee < 0) {
            throw new InvalidSettingsException("setting " + path + " is below 0: " + fee);
        }
        return fee;
    }

    private static List<RequestClass> readRequestClasses(Settings settings) {
        List<RequestClass> requestClasses = new ArrayList<>();
        int count = settings.count("Categories.count", 0);
        for (int i = 0; i < count; i++) {
            requestClasses.add(readRequestClass(settings, i, "Categories." + i + "."));
        }
        return requestClasses;
    }

    private static RequestClass readRequestClass(Settings settings, int number, String prefix) {
        long latencyObjectiveTicks = settings.ticksRoundedDown(prefix + "DueTime");
        double credit = settings.number(prefix + "Credit", 1);
        double lateCredit = settings.number(prefix + "LateCredit", 0);
        Idempotency idempotency =
                settings.choice(prefix + "Repeat", "safe", IDEMPOTENCY_BY_SETTING);
        DeduplicationScope scope = settings.choice(prefix + "KeyScope", "all", SCOPE_BY_SETTING);
        long deduplicationWindowTicks = settings.ticksRoundedDown(prefix + "RepeatWindow");
        return new RequestClass(
                number,
                latencyObjectiveTicks,
                credit,
                lateCredit,
                idempotency,
                scope,
                deduplicationWindowTicks);
    }

    private static List<Tenant> readTenants(Settings settings) {
        List<Tenant> tenants = new ArrayList<>();
        int count = settings.count("Projects.count", 0);
        for (int i = 0; i < count; i++) {
            String prefix = "Projects." + i + ".";
            double capacityShare = settings.number(prefix + "Share", 0);
            double quotaPerSecond = settings.number(prefix + "QuotaRps", 0);
            tenants.add(new Tenant(capacityShare, quotaPerSecond));
        }
        return tenants;
    }
}

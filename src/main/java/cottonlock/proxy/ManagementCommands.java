package cottonlock.proxy;

import cottonlock.admin.ManagementOperations;
import cottonlock.admin.Metrics;
import cottonlock.proxy.control.ManualEjections;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Carries out the management commands on a proxy; run by the threads of the calls. */
final class ManagementCommands implements ManagementOperations {
    private final BooleanSupplier serving;
    private final Metrics metrics;
    private final Supplier<String> membersReport;
    private final LoadBalancerActor loadBalancer;
    private final ManualEjections manualEjections;

    /**
     * Commands for a proxy.
     *
     * @param serving whether it serves requests
     * @param membersReport the members as text; null if membership is not configured
     */
    ManagementCommands(
            BooleanSupplier serving,
            Metrics metrics,
            Supplier<String> membersReport,
            LoadBalancerActor loadBalancer,
            ManualEjections manualEjections) {
        this.serving = serving;
        this.metrics = metrics;
        this.membersReport = membersReport;
        this.loadBalancer = loadBalancer;
        this.manualEjections = manualEjections;
    }

    @Override
    public boolean isServing() {
        return serving.getAsBoolean();
    }

    @Override
    public String metricsJson() {
        return metrics.toJson();
    }

    @Override
    public String membersReport() {
        return membersReport.get();
    }

    @Override
    public String ejectBackend(String id) {
        return setEjected(id, true);
    }

    @Override
    public String restoreBackend(String id) {
        return setEjected(id, false);
    }

    /** Ejects a backend or restores it; the reason if that is refused, else null. */
    private String setEjected(String id, boolean ejected) {
        if (!loadBalancer.isListed(id) && !manualEjections.isEjected(id)) {
            return "no backend has that id";
        }
        if (!manualEjections.setEjected(id, ejected)) {
            return "too many backends are out";
        }
        manualEjections.awaitPropagation();
        return null;
    }
}

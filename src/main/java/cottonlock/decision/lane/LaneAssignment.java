package cottonlock.decision.lane;

import cottonlock.decision.api.Tenant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * The assignment of backends to the lanes of tenants. Every load balancer with the same list of
 * backends computes the same assignment, and a change of the list moves few backends between lanes.
 *
 * @param <T> the type that stands for a backend
 * @param lanes the lane of each tenant, in the order of the tenants
 * @param unassigned the backends that are in no lane, available to all tenants
 */
public record LaneAssignment<T>(List<List<T>> lanes, List<T> unassigned) {
    /** A deficit below this is a rounding error, in backends. */
    private static final double MIN_DEFICIT = 1e-9;

    /** A backend with its rank in a lane, which would take long to compute at each comparison. */
    private record Ranked<T>(T backend, long hash) {}

    /**
     * Assigns backends to lanes: in the order of the tenants, each gets those with its highest
     * rendezvous hashes among the backends that are still unassigned.
     *
     * @param backends the backends to assign; the list is not changed
     * @param id returns the unique id of a backend
     */
    public static <T> LaneAssignment<T> assign(
            List<Tenant> tenants, List<T> backends, Function<T, String> id) {
        int[] sizes = laneSizes(tenants, backends.size());
        List<T> free = new ArrayList<>(backends);
        List<List<T>> lanes = new ArrayList<>();
        for (int t = 0; t < tenants.size(); t++) {
            free = rankedFor(t, free, id);
            List<T> taken = free.subList(0, sizes[t]);
            lanes.add(new ArrayList<>(taken));
            taken.clear();
        }
        return new LaneAssignment<>(lanes, free);
    }

    /** Backends in the order of their rank for a tenant, the highest hash first. */
    private static <T> List<T> rankedFor(int tenant, List<T> backends, Function<T, String> id) {
        List<Ranked<T>> ranked = new ArrayList<>(backends.size());
        for (T backend : backends) {
            ranked.add(new Ranked<>(backend, RendezvousHash.of(tenant, id.apply(backend))));
        }
        ranked.sort(Comparator.comparingLong((Ranked<T> r) -> r.hash).reversed());
        List<T> sorted = new ArrayList<>(backends.size());
        for (Ranked<T> r : ranked) {
            sorted.add(r.backend);
        }
        return sorted;
    }

    /**
     * The number of backends in the lane of each tenant: its share of them, rounded, and at least
     * one if there are enough backends.
     */
    public static int[] laneSizes(List<Tenant> tenants, int backendCount) {
        int[] sizes = new int[tenants.size()];
        for (int assigned = 0; assigned < backendCount; assigned++) {
            int tenantToGrow = tenantWithLargestDeficit(tenants, sizes, backendCount);
            if (tenantToGrow < 0) {
                break;
            }
            sizes[tenantToGrow]++;
        }
        return sizes;
    }

    /** The tenant that is furthest below its share; -1 if none is below it. */
    private static int tenantWithLargestDeficit(
            List<Tenant> tenants, int[] sizes, int backendCount) {
        int tenantToGrow = -1;
        double largestDeficit = MIN_DEFICIT;
        for (int t = 0; t < sizes.length; t++) {
            // Tenants without any backend take precedence, in the order of the tenants.
            double deficit =
                    sizes[t] == 0
                            ? Integer.MAX_VALUE - t
                            : tenants.get(t).capacityShare() * backendCount - sizes[t];
            if (deficit > largestDeficit) {
                largestDeficit = deficit;
                tenantToGrow = t;
            }
        }
        return tenantToGrow;
    }
}

package cottonlock.proxy;

import cottonlock.decision.api.RequestClass;
import cottonlock.setup.LoadBalancerFactory;
import cottonlock.setup.Settings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What requests are taken in by: one immutable set, swapped whole when the settings change. A
 * category keeps its number as long as the process lives, and a name that comes again gets its old
 * one.
 */
final class RequestRules {
    /** The patience of categories without an expiry, in tenths of a millisecond: a minute. */
    private static final long DEFAULT_MAX_TIMEOUT_TICKS = 600_000;

    /** By number; those that are no longer in force among them. */
    final List<RequestClass> requestClasses;

    private final List<String> names;

    /** The numbers of those in force. */
    private final Map<String, Integer> numbersInForce = new HashMap<>();

    final List<String> tenantNames;

    /**
     * A longer patience is taken for this: it would keep what is remembered of a request for as
     * long.
     */
    private final long[] maxTimeoutTicks;

    /** The rules of the given settings, after the given ones (null at the start). */
    RequestRules(RequestRules previous, LoadBalancerFactory factory, Settings settings) {
        requestClasses = previous == null ? new ArrayList<>() : new ArrayList<>(previous.requestClasses);
        names = previous == null ? new ArrayList<>() : new ArrayList<>(previous.names);
        tenantNames = settings.fieldOfEach("Projects", "Name");
        List<String> configuredNames = settings.fieldOfEach("Categories", "Name");
        for (int i = 0; i < configuredNames.size(); i++) {
            int number = names.indexOf(configuredNames.get(i));
            if (number < 0) {
                number = names.size();
                names.add(configuredNames.get(i));
                requestClasses.add(null);
            }
            requestClasses.set(number, factory.requestClasses().get(i).withNumber(number));
            numbersInForce.put(configuredNames.get(i), number);
        }
        maxTimeoutTicks =
                previous == null
                        ? new long[names.size()]
                        : Arrays.copyOf(previous.maxTimeoutTicks, names.size());
        for (int i = 0; i < configuredNames.size(); i++) {
            long timeoutTicks = settings.ticksRoundedDown("Categories." + i + ".Expiry");
            maxTimeoutTicks[numbersInForce.get(configuredNames.get(i))] = timeoutTicks > 0 ? timeoutTicks : DEFAULT_MAX_TIMEOUT_TICKS;
        }
    }

    /** The number of a category in force, or -1. */
    int numberOf(String name) {
        return numbersInForce.getOrDefault(name, -1);
    }

    /** The names in force. */
    Iterable<String> namesInForce() {
        return numbersInForce.keySet();
    }

    /** The longest that a request of a category is waited for, in tenths of a millisecond. */
    long maxTimeoutTicks(int requestClass) {
        return maxTimeoutTicks[requestClass];
    }

    /** The longest that any is waited for, in tenths of a millisecond. */
    long maxTimeoutTicks() {
        return Arrays.stream(maxTimeoutTicks).max().orElse(0);
    }
}

package cottonlock.proxy;

import cottonlock.core.Ticks;
import cottonlock.decision.api.RequestClass;
import cottonlock.decision.api.RequestClass.Idempotency;
import cottonlock.setup.LoadBalancerFactory;
import cottonlock.setup.Settings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The rules that requests are validated by: an immutable set that is replaced as a whole when the
 * settings change. A request class keeps its number as long as the process lives, and a name that
 * is configured again gets its former number.
 */
final class RequestRules {
    /**
     * Ticks after a reload from which clients know the new rules. A request that has begun before
     * was sent under the old ones.
     */
    private static final long BINDING_DELAY_TICKS = 12 * Ticks.PER_SECOND / 10;

    /** Maximum timeout of request classes without an expiry, in ticks: a minute. */
    private static final long DEFAULT_MAX_TIMEOUT_TICKS = 60 * Ticks.PER_SECOND;

    /** By number, including those that are no longer in force. */
    private final List<RequestClass> requestClasses;

    private final List<String> names;

    /** The numbers of the request classes in force, by name. */
    private final Map<String, Integer> numbersInForce = new HashMap<>();

    final List<String> tenantNames;

    /** The maximum number of attempts of a request, 1 or more. */
    private final int maxAttempts;

    /** When these rules bind; the rules before them apply too until then. */
    private final long bindingTicks;

    /** By number: the rules before these; shorter, as later numbers are new. */
    private final List<RequestClass> replacedClasses = new ArrayList<>();

    private final int replacedMaxAttempts;

    /**
     * In ticks, by number: a longer client timeout is reduced to this, since the state of a request
     * would be kept as long.
     */
    private final long[] maxTimeoutTicks;

    /**
     * The rules of the given settings.
     *
     * @param previous the rules so far, which give known names their numbers; null at the start
     * @param nowTicks when they replace the previous ones; ignored at the start
     */
    RequestRules(
            RequestRules previous, LoadBalancerFactory factory, Settings settings, long nowTicks) {
        requestClasses =
                previous == null ? new ArrayList<>() : new ArrayList<>(previous.requestClasses);
        names = previous == null ? new ArrayList<>() : new ArrayList<>(previous.names);
        maxAttempts = factory.maxAttempts();
        bindingTicks = previous == null ? Long.MIN_VALUE : nowTicks + BINDING_DELAY_TICKS;
        replacedMaxAttempts = previous == null ? maxAttempts : previous.maxAttempts(nowTicks);
        for (int i = 0; previous != null && i < previous.names.size(); i++) {
            replacedClasses.add(previous.strictestClass(i, nowTicks));
        }
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
            maxTimeoutTicks[numbersInForce.get(configuredNames.get(i))] =
                    timeoutTicks > 0 ? timeoutTicks : DEFAULT_MAX_TIMEOUT_TICKS;
        }
    }

    /** The number of a request class in force, or -1. */
    int numberOf(String name) {
        return numbersInForce.getOrDefault(name, -1);
    }

    /**
     * The rules for a request of the class with a number. Before new rules bind, a request is
     * repeated only where the old ones permit it too, as its client may not know the new ones; one
     * without a key can't belong to a class that needs one.
     *
     * @param begunTicks when the request began to arrive
     */
    RequestClass requestClass(int number, boolean hasKey, long begunTicks) {
        RequestClass current = requestClasses.get(number);
        if (begunTicks >= bindingTicks || number >= replacedClasses.size()) {
            return current;
        }
        RequestClass replaced = replacedClasses.get(number);
        if (!hasKey && current.idempotency() == Idempotency.WITH_KEY) {
            return replaced;
        }
        if (!hasKey && replaced.idempotency() == Idempotency.WITH_KEY) {
            return current;
        }
        return current.withRepetitionLimitedBy(replaced);
    }

    /** The rules of a class that permit the fewest repetitions of those that apply now. */
    private RequestClass strictestClass(int number, long nowTicks) {
        RequestClass current = requestClasses.get(number);
        boolean bothApply = nowTicks < bindingTicks && number < replacedClasses.size();
        return bothApply ? current.withRepetitionLimitedBy(replacedClasses.get(number)) : current;
    }

    /**
     * The maximum number of attempts of a request, 1 or more.
     *
     * @param begunTicks when the request began to arrive
     */
    int maxAttempts(long begunTicks) {
        return begunTicks < bindingTicks ? Math.min(maxAttempts, replacedMaxAttempts) : maxAttempts;
    }

    /** The names of the request classes in force. */
    Iterable<String> namesInForce() {
        return numbersInForce.keySet();
    }

    /** The longest that a client may wait for a request of a class, in ticks. */
    long maxTimeoutTicks(int requestClass) {
        return maxTimeoutTicks[requestClass];
    }

    /** The longest that any client may wait, in ticks. */
    long maxTimeoutTicks() {
        return Arrays.stream(maxTimeoutTicks).max().orElse(0);
    }
}

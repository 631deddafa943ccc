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
    private static final long LONGEST = 600_000;

    /** By number; those that are no longer in force among them. */
    final List<RequestClass> categories;

    private final List<String> names;

    /** The numbers of those in force. */
    private final Map<String, Integer> inForce = new HashMap<>();

    final List<String> tenantNames;

    /**
     * A longer patience is taken for this: it would keep what is remembered of a request for as
     * long.
     */
    private final long[] longest;

    /** The rules of the given settings, after the given ones (null at the start). */
    RequestRules(RequestRules before, LoadBalancerFactory assembly, Settings settings) {
        categories = before == null ? new ArrayList<>() : new ArrayList<>(before.categories);
        names = before == null ? new ArrayList<>() : new ArrayList<>(before.names);
        tenantNames = settings.fieldOfEach("Projects", "Name");
        List<String> told = settings.fieldOfEach("Categories", "Name");
        for (int i = 0; i < told.size(); i++) {
            int number = names.indexOf(told.get(i));
            if (number < 0) {
                number = names.size();
                names.add(told.get(i));
                categories.add(null);
            }
            categories.set(number, assembly.requestClasses().get(i).withNumber(number));
            inForce.put(told.get(i), number);
        }
        longest =
                before == null
                        ? new long[names.size()]
                        : Arrays.copyOf(before.longest, names.size());
        for (int i = 0; i < told.size(); i++) {
            long expiry = settings.ticksRoundedDown("Categories." + i + ".Expiry");
            longest[inForce.get(told.get(i))] = expiry > 0 ? expiry : LONGEST;
        }
    }

    /** The number of a category in force, or -1. */
    int number(String name) {
        return inForce.getOrDefault(name, -1);
    }

    /** The names in force. */
    Iterable<String> names() {
        return inForce.keySet();
    }

    /** The longest that a request of a category is waited for, in tenths of a millisecond. */
    long longest(int category) {
        return longest[category];
    }

    /** The longest that any is waited for, in tenths of a millisecond. */
    long longest() {
        return Arrays.stream(longest).max().orElse(0);
    }
}

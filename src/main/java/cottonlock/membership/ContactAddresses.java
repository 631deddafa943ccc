package cottonlock.membership;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Addresses at which a member that is not known to be live may be found: contacts and addresses of
 * failed members, except those at which a live member is known. Maintained with each update.
 * Confined to the thread of its {@link Membership}.
 */
@Deterministic
final class ContactAddresses {
    private final Set<String> contacts;

    /** Number of live members by address. */
    private final Map<String, Integer> liveCountByAddress = new HashMap<>();

    /** Number of failed members by address. */
    private final Map<String, Integer> failedCountByAddress = new HashMap<>();

    private final TreeSet<String> candidates;

    ContactAddresses(Set<String> contacts) {
        this.contacts = contacts;
        this.candidates = new TreeSet<>(contacts);
    }

    /** Counts an update that was added to the table. */
    void add(MemberUpdate update) {
        adjustCount(update, 1);
    }

    /** Discounts an update that was removed from the table. */
    void remove(MemberUpdate update) {
        adjustCount(update, -1);
    }

    private void adjustCount(MemberUpdate update, int change) {
        if (update.state() == MemberState.LEFT) {
            return;
        }
        Map<String, Integer> counts =
                update.state().isLive() ? liveCountByAddress : failedCountByAddress;
        String address = update.address();
        counts.merge(address, change, (a, b) -> a + b == 0 ? null : a + b);
        if (!liveCountByAddress.containsKey(address)
                && (contacts.contains(address) || failedCountByAddress.containsKey(address))) {
            candidates.add(address);
        } else {
            candidates.remove(address);
        }
    }

    /**
     * The addresses, sorted, without the excluded one, as a new list that the caller may modify.
     */
    List<String> candidates(String excluded) {
        List<String> result = new ArrayList<>(candidates);
        result.remove(excluded);
        return result;
    }
}

package cottonlock.membership;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Addresses at which a member may be found that is not known to be live: contacts and addresses of
 * failed members at which no live member is known. Maintained with each update. For the thread of
 * its {@link Membership}.
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

    /** An update is in the table from now on. */
    void add(MemberUpdate update) {
        adjustCount(update, 1);
    }

    /** An update is no longer in the table. */
    void remove(MemberUpdate update) {
        adjustCount(update, -1);
    }

    private void adjustCount(MemberUpdate update, int change) {
        if (update.state() == MemberState.LEFT) {
            return;
        }
        Map<String, Integer> counts = update.state().isLive() ? liveCountByAddress : failedCountByAddress;
        String address = update.address();
        counts.merge(address, change, (a, b) -> a + b == 0 ? null : a + b);
        if (!liveCountByAddress.containsKey(address)
                && (contacts.contains(address) || failedCountByAddress.containsKey(address))) {
            candidates.add(address);
        } else {
            candidates.remove(address);
        }
    }

    /** The addresses, sorted, without the excluded one. The list is the caller's. */
    List<String> candidates(String excluded) {
        List<String> result = new ArrayList<>(candidates);
        result.remove(excluded);
        return result;
    }
}

package cottonlock.membership;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Where somebody may be found whom nobody here holds for alive: contacts and addresses of the
 * failed at which no living member is known. Kept with each word: looking through all members for
 * it cost more than all else.
 */
@Deterministic
final class ContactAddresses {
    private final Set<String> contacts;

    /** How many members that may live, and how many that have failed, have each address. */
    private final Map<String, Integer> living = new HashMap<>();

    private final Map<String, Integer> failed = new HashMap<>();
    private final TreeSet<String> open;

    ContactAddresses(Set<String> contacts) {
        this.contacts = contacts;
        this.open = new TreeSet<>(contacts);
    }

    /** A word counts from now on. */
    void add(MemberUpdate w) {
        count(w, 1);
    }

    /** A word no longer counts. */
    void remove(MemberUpdate w) {
        count(w, -1);
    }

    private void count(MemberUpdate w, int delta) {
        Map<String, Integer> which =
                w.state().isLive() ? living : w.state() == MemberState.FAILED ? failed : null;
        if (which == null) {
            return;
        }
        String address = w.address();
        which.merge(address, delta, (a, b) -> a + b == 0 ? null : a + b);
        if (!living.containsKey(address)
                && (contacts.contains(address) || failed.containsKey(address))) {
            open.add(address);
        } else {
            open.remove(address);
        }
    }

    /** They, in their order, without one. */
    List<String> candidates(String without) {
        List<String> some = new ArrayList<>(open);
        some.remove(without);
        return some;
    }
}

package cottonlock.membership;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** The order in which members are probed: each once in a round, and each round shuffled anew. */
@Deterministic
final class ProbeSchedule {
    private final SplittableRandom random;
    private final List<MemberRecord> order = new ArrayList<>();
    private int place;

    ProbeSchedule(SplittableRandom random) {
        this.random = random;
    }

    /**
     * A newcomer gets a random place in what is left of the round, so that rounds stay shuffled.
     */
    void add(MemberRecord k) {
        order.add(place + random.nextInt(order.size() - place + 1), k);
    }

    void remove(MemberRecord k) {
        int at = order.indexOf(k);
        if (at >= 0) {
            order.remove(at);
            place -= at < place ? 1 : 0;
        }
    }

    /** The next that may live; null: nobody. */
    MemberRecord next() {
        for (int left = order.size(); left > 0; left--) {
            if (place >= order.size()) {
                for (int j = order.size() - 1; j > 0; j--) {
                    Collections.swap(order, j, random.nextInt(j + 1));
                }
                place = 0;
            }
            MemberRecord k = order.get(place++);
            if (k.update.state().isLive()) {
                return k;
            }
        }
        return null;
    }

    /**
     * Some of those that are wanted, from a random place on: a stretch of what is shuffled is
     * random.
     */
    List<MemberRecord> sample(int most, Predicate<MemberRecord> wanted) {
        return sample(most, true, wanted);
    }

    /** The same; {@code any} false: there are none, and need not be looked for. */
    List<MemberRecord> sample(int most, boolean any, Predicate<MemberRecord> wanted) {
        List<MemberRecord> some = new ArrayList<>();
        int n = order.size();
        int from = n == 0 ? 0 : random.nextInt(n);
        for (int i = 0; i < n && any && some.size() < most; i++) {
            MemberRecord k = order.get((from + i) % n);
            if (wanted.test(k)) {
                some.add(k);
            }
        }
        return some;
    }

    @Override
    public String toString() {
        StringBuilder names = new StringBuilder().append(place);
        order.forEach(k -> names.append(' ').append(k.update.name()));
        return names.toString();
    }
}

package cottonlock.membership;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * The order in which members are probed: each once in a round, in an order that is shuffled for
 * each round. Confined to the thread of its {@link Membership}.
 */
@Deterministic
final class ProbeSchedule {
    private final SplittableRandom random;
    private final List<MemberRecord> order = new ArrayList<>();

    /** Index of the next member in the round. */
    private int position;

    ProbeSchedule(SplittableRandom random) {
        this.random = random;
    }

    /** Adds a member at a random index in the rest of the round, which thus stays shuffled. */
    void add(MemberRecord member) {
        order.add(position + random.nextInt(order.size() - position + 1), member);
    }

    void remove(MemberRecord member) {
        int index = order.indexOf(member);
        if (index >= 0) {
            order.remove(index);
            position -= index < position ? 1 : 0;
        }
    }

    /** The next live member; null if there is none. */
    MemberRecord next() {
        for (int left = order.size(); left > 0; left--) {
            if (position >= order.size()) {
                shuffle();
                position = 0;
            }
            MemberRecord member = order.get(position++);
            if (member.isLive()) {
                return member;
            }
        }
        return null;
    }

    private void shuffle() {
        for (int i = order.size() - 1; i > 0; i--) {
            Collections.swap(order, i, random.nextInt(i + 1));
        }
    }

    /** Up to {@code limit} members that match, in order from a random position on. */
    List<MemberRecord> sample(int limit, Predicate<MemberRecord> filter) {
        return sample(limit, true, filter);
    }

    /**
     * Like {@link #sample(int, Predicate)}, but without a search if no member can match. The random
     * position is drawn even then, so that the sequence of draws does not depend on it.
     *
     * @param anyMatches false if no member can match
     */
    List<MemberRecord> sample(int limit, boolean anyMatches, Predicate<MemberRecord> filter) {
        List<MemberRecord> sample = new ArrayList<>();
        int size = order.size();
        int start = size == 0 ? 0 : random.nextInt(size);
        for (int i = 0; i < size && anyMatches && sample.size() < limit; i++) {
            MemberRecord member = order.get((start + i) % size);
            if (filter.test(member)) {
                sample.add(member);
            }
        }
        return sample;
    }

    /** The state that determines future behavior, for tests that compare states. */
    @Override
    public String toString() {
        StringBuilder names = new StringBuilder().append(position);
        order.forEach(member -> names.append(' ').append(member.update.name()));
        return names.toString();
    }
}

package cottonlock.config;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Finds the known key that a misspelt one probably stands for. */
final class EditDistance {
    /** Edits beyond which two keys count as different words. */
    private static final int MAX_EDITS = 3;

    private EditDistance() {}

    /** Returns the nearest of the known keys, if one is near. */
    static Optional<String> nearest(String key, Collection<String> known) {
        return known.stream()
                .filter(candidate -> isNear(key, candidate))
                .min(Comparator.comparingInt((String candidate) -> between(key, candidate)));
    }

    private static boolean isNear(String key, String candidate) {
        return between(key, candidate) <= Math.min(MAX_EDITS, candidate.length() - 1);
    }

    /** Returns the least number of letters to add, drop or change (Levenshtein distance). */
    static int between(String one, String other) {
        int[] row = new int[other.length() + 1];
        for (int j = 0; j < row.length; j++) {
            row[j] = j;
        }
        for (int i = 1; i <= one.length(); i++) {
            int corner = row[0];
            row[0] = i;
            for (int j = 1; j < row.length; j++) {
                int change = corner + (one.charAt(i - 1) == other.charAt(j - 1) ? 0 : 1);
                corner = row[j];
                row[j] = Math.min(change, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[other.length()];
    }
}

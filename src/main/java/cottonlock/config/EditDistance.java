package cottonlock.config;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Finds the known key that a misspelt one probably means. */
final class EditDistance {
    /** Maximum edit distance at which a known key is suggested. */
    private static final int MAX_EDITS = 3;

    private EditDistance() {}

    /** Returns the known key with the least edit distance, if it is similar enough. */
    static Optional<String> nearest(String key, Collection<String> known) {
        return known.stream()
                .filter(candidate -> isSimilar(key, candidate))
                .min(Comparator.comparingInt((String candidate) -> between(key, candidate)));
    }

    private static boolean isSimilar(String key, String candidate) {
        return between(key, candidate) <= Math.min(MAX_EDITS, candidate.length() - 1);
    }

    /** Returns the least number of letters to insert, delete or replace (Levenshtein distance). */
    static int between(String first, String second) {
        int[] row = new int[second.length() + 1];
        for (int j = 0; j < row.length; j++) {
            row[j] = j;
        }
        for (int i = 1; i <= first.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j < row.length; j++) {
                int substitution = diagonal + (first.charAt(i - 1) == second.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(substitution, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[second.length()];
    }
}

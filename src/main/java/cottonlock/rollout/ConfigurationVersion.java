package cottonlock.rollout;

import cottonlock.core.Deterministic;

/**
 * Which configuration it is. Versions have one order, the same everywhere: by number, then by
 * digest, so that two changes which got one number on two sides of a split end as the same one on
 * both.
 *
 * @param number as control counts its changes; 0: none
 * @param digest the first eight bytes of the content's SHA-256, as one unsigned number
 */
@Deterministic
public record ConfigurationVersion(long number, long digest)
        implements Comparable<ConfigurationVersion> {
    /** Before any. */
    public static final ConfigurationVersion NONE = new ConfigurationVersion(0, 0);

    /** Above it a number is a slip: 2 to the 53rd, which every reader of JSON can hold. */
    public static final long HIGHEST = 1L << 53;

    @Override
    public int compareTo(ConfigurationVersion other) {
        return number != other.number
                ? Long.compare(number, other.number)
                : Long.compareUnsigned(digest, other.digest);
    }

    /** The digest as 16 hex digits. */
    public String hex() {
        String digits = Long.toHexString(digest);
        return "0".repeat(16 - digits.length()) + digits;
    }

    @Override
    public String toString() {
        return number + "." + hex();
    }
}

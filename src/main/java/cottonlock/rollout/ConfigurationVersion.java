package cottonlock.rollout;

import cottonlock.core.Deterministic;

/**
 * Identifies one version of the settings. Versions are totally ordered, by number and then by
 * unsigned digest: if two changes get the same number on two sides of a network partition, both
 * sides converge to the same one.
 *
 * @param number the change number assigned by control; 0 stands for no version
 * @param digest the first eight bytes of the content's SHA-256, as one unsigned number
 */
@Deterministic
public record ConfigurationVersion(long number, long digest)
        implements Comparable<ConfigurationVersion> {
    /** Lower than any published version. */
    public static final ConfigurationVersion NONE = new ConfigurationVersion(0, 0);

    /**
     * The highest valid number, 2<sup>53</sup>: JSON readers that use doubles represent it exactly.
     */
    public static final long MAX_NUMBER = 1L << 53;

    private static final int HEX_DIGITS = 16;

    @Override
    public int compareTo(ConfigurationVersion other) {
        return number != other.number
                ? Long.compare(number, other.number)
                : Long.compareUnsigned(digest, other.digest);
    }

    /** Returns the digest as 16 lower-case hex digits. */
    public String digestHex() {
        String digits = Long.toHexString(digest);
        return "0".repeat(HEX_DIGITS - digits.length()) + digits;
    }

    /**
     * Returns number and digest, such as {@code 43.0123456789abcdef}. Log lines and stored files
     * contain this form.
     */
    @Override
    public String toString() {
        return number + "." + digestHex();
    }
}

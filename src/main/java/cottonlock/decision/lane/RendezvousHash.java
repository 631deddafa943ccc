package cottonlock.decision.lane;

/**
 * The hash of a number and a name by which rendezvous hashing ranks. It is the same in every
 * process: FNV-1a over the UTF-16 code units of the name, then the finalizer of SplitMix64.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** Bits of a hash that a double's mantissa can hold. */
    private static final int MANTISSA_BITS = 53;

    private RendezvousHash() {}

    /** The hash as a fraction, above 0 and below 1. */
    public static double fractionOf(int number, String name) {
        return ((of(number, name) >>> (Long.SIZE - MANTISSA_BITS)) + 0.5) / (1L << MANTISSA_BITS);
    }

    /** The hash of a number, such as a tenant's, and a name, such as a backend's. */
    public static long of(int number, String name) {
        long hash = FNV_OFFSET_BASIS ^ number;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return hash ^ (hash >>> 31);
    }
}

package cottonlock.decision;

/** The hash of a tenant and a backend, the same on every balancer: FNV-1a, then mixed well. */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** The same as a number above 0 and below 1. */
    static double part(int tenant, String id) {
        return ((of(tenant, id) >>> 11) + 0.5) / (1L << 53);
    }

    public static long of(int tenant, String id) {
        long h = 0xcbf29ce484222325L ^ tenant;
        for (int i = 0; i < id.length(); i++) {
            h = (h ^ id.charAt(i)) * 0x100000001b3L;
        }
        h = (h ^ (h >>> 30)) * 0xbf58476d1ce4e5b9L;
        h = (h ^ (h >>> 27)) * 0x94d049bb133111ebL;
        return h ^ (h >>> 31);
    }
}

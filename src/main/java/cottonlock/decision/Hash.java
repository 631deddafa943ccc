package cottonlock.decision;

/** The hash of a tenant and a backend, the same on every balancer: FNV-1a, then mixed well. */
final class Hash {
    private Hash() { }

    static long of(int tenant, String id) {
        long h = 0xcbf29ce484222325L ^ tenant;
        for (int i = 0; i < id.length(); i++) {
            h = (h ^ id.charAt(i)) * 0x100000001b3L;
        }
        h = (h ^ (h >>> 30)) * 0xbf58476d1ce4e5b9L;
        h = (h ^ (h >>> 27)) * 0x94d049bb133111ebL;
        return h ^ (h >>> 31);
    }
}

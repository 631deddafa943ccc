package cottonlock.setup;

import java.util.List;

/**
 * Where a proxy finds the others of its tier, and how closely they watch one another.
 *
 * @param listen where its datagrams come; empty: the platform's {@code peer_listen}
 * @param advertise where others reach that; empty: its place among the platform's {@code peers},
 *     else listen
 * @param seeds addresses at which others may be found, beside the platform's {@code peers}; with
 *     any, others may have addresses that no file names
 * @param key a file with the key that tags are made with; empty: there are none
 * @param nextKey a file with a key whose tags count too; empty: there is none
 */
public record MembershipConfig(
        String listen,
        String advertise,
        List<String> seeds,
        String key,
        String nextKey,
        MembershipProtocolConfig rules) {}

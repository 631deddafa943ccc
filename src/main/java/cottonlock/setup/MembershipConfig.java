package cottonlock.setup;

import java.util.List;

/**
 * Where a proxy finds the other proxies of its tier, and the protocol by which they watch each
 * other.
 *
 * @param listenAddress where its datagrams arrive; empty: the platform's {@code peer_listen}
 * @param advertisedAddress where other members reach it; empty: its place among the platform's
 *     {@code peers}, else the listen address
 * @param seedAddresses addresses at which members may be found, beside the platform's {@code
 *     peers}; with any, members may have addresses that no file names
 * @param keyFile a file with the key that authenticates datagrams; empty: they are not
 *     authenticated
 * @param nextKeyFile a file with a second key that is accepted too, for key rotation; empty: there
 *     is none
 * @param protocol timing and limits of the protocol
 */
public record MembershipConfig(
        String listenAddress,
        String advertisedAddress,
        List<String> seedAddresses,
        String keyFile,
        String nextKeyFile,
        MembershipProtocolConfig protocol) {}

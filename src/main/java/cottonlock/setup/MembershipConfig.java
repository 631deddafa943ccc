package cottonlock.setup;

import java.util.List;

/**
 * Where a proxy finds the other proxies of its tier, and the protocol by which they detect each
 * other's failures.
 *
 * @param listenAddress the address on which it receives datagrams; if empty, the platform's {@code
 *     peer_listen}
 * @param advertisedAddress the address at which other members reach it; if empty, its own entry in
 *     the platform's {@code peers} if the listen address is empty too, and otherwise the listen
 *     address
 * @param seedAddresses addresses at which members may be found, in addition to the platform's
 *     {@code peers}; if there are any, members may have addresses that no file names
 * @param keyFile a file with the key that authenticates datagrams; if empty, they are not
 *     authenticated
 * @param nextKeyFile a file with a second key that is also accepted, for key rotation; if empty,
 *     there is none
 * @param protocol timing and limits of the protocol
 */
public record MembershipConfig(
        String listenAddress,
        String advertisedAddress,
        List<String> seedAddresses,
        String keyFile,
        String nextKeyFile,
        MembershipProtocolConfig protocol) {}

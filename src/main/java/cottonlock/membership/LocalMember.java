package cottonlock.membership;

import java.util.List;

/**
 * A process as the other members know it, and the addresses at which it finds them.
 *
 * @param name name of the proxy, the same over its restarts
 * @param address address at which others reach this process, an IP address and a port
 * @param contacts addresses at which others may be found; may include its own
 * @param membersAreFixed whether only the contacts may be addresses of members
 * @param generation milliseconds since 1970 at the process's start by this machine's clock, which
 *     may be wrong
 */
public record LocalMember(
        String name,
        String address,
        List<String> contacts,
        boolean membersAreFixed,
        long generation) {}

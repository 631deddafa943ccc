package cottonlock.membership;

import java.util.List;

/**
 * What a process is to the other members, and where it finds them.
 *
 * @param name of the proxy, the same over its restarts
 * @param address where others reach this process, an IP address and a port
 * @param contacts addresses at which others may be found; its own may be among them
 * @param membersAreFixed whether no address besides the contacts may be a member's
 * @param generation milliseconds since 1970 at the process's start, by this machine's clock; it may
 *     be wrong
 */
public record LocalMember(
        String name,
        String address,
        List<String> contacts,
        boolean membersAreFixed,
        long generation) {}

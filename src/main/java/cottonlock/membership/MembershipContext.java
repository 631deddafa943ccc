package cottonlock.membership;

import cottonlock.setup.MembershipProtocolConfig;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * What the parts of one {@link Membership} share.
 *
 * @param config of the protocol
 * @param variants rules that tests replace
 * @param actions where datagrams and notifications go
 * @param random for all choices; the order of its draws is part of a replay
 * @param contacts addresses at which members may be found, without the process's own
 * @param membersAreFixed whether no address besides the contacts may be a member's
 * @param metrics the counters
 * @param table all members
 * @param sender of datagrams
 * @param schedule order in which members are probed
 */
record MembershipContext(
        MembershipProtocolConfig config,
        ProtocolVariants variants,
        MembershipActions actions,
        SplittableRandom random,
        Set<String> contacts,
        boolean membersAreFixed,
        MembershipMetrics metrics,
        MemberTable table,
        DatagramSender sender,
        ProbeSchedule schedule) {

    /**
     * Creates the parts of a process that has just started.
     *
     * @throws IllegalArgumentException for a name that can't be a member's
     */
    static MembershipContext create(
            MembershipProtocolConfig config,
            MembershipActions actions,
            LocalMember self,
            int reservedBytes,
            SplittableRandom random,
            ProtocolVariants variants) {
        if (!DatagramCodec.isValidName(self.name())) {
            throw new IllegalArgumentException(
                    "expected a name of 1 to "
                            + DatagramCodec.MAX_NAME_LENGTH
                            + " letters, digits and marks, found \""
                            + self.name()
                            + "\"");
        }
        Set<String> contacts = new TreeSet<>(self.contacts());
        contacts.remove(self.address());
        MemberTable table =
                new MemberTable(
                        initialClaim(self), config.maxMembers(), new ContactAddresses(contacts));
        MembershipMetrics metrics = new MembershipMetrics();
        return new MembershipContext(
                config,
                variants,
                actions,
                random,
                contacts,
                self.membersAreFixed(),
                metrics,
                table,
                new DatagramSender(config, variants, table, actions, metrics, reservedBytes),
                new ProbeSchedule(random));
    }

    private static MemberUpdate initialClaim(LocalMember self) {
        // Half of the range is left to raise the generation.
        long generation =
                Math.max(1, Math.min(self.generation(), DatagramCodec.MAX_GENERATION / 2));
        return new MemberUpdate(self.name(), self.address(), generation, 0, MemberState.JOINING, 0);
    }

    /** Whether an address can be another member's. */
    boolean mayBeMember(String address) {
        return !membersAreFixed || contacts.contains(address);
    }
}

package cottonlock.membership;

import cottonlock.setup.MembershipProtocolConfig;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * The objects shared by the parts of one {@link Membership}.
 *
 * @param config configuration of the protocol
 * @param variants rules that tests may override
 * @param actions outputs for datagrams and notifications
 * @param random source of all random choices; replays depend on the order of its draws
 * @param contacts addresses at which members may be found, except the process's own
 * @param membersAreFixed whether only the contacts may be addresses of members
 * @param metrics the counters
 * @param table all members
 * @param sender sends datagrams
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
     * @throws IllegalArgumentException if the name is not valid for a member
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

    /** Whether an address may be that of another member. */
    boolean mayBeMember(String address) {
        return !membersAreFixed || contacts.contains(address);
    }
}

package cottonlock.membership;

import static cottonlock.membership.MembershipFleets.SECOND;
import static cottonlock.membership.MembershipFleets.defended;
import static cottonlock.membership.MembershipFleets.fleet;
import static cottonlock.membership.MembershipFleets.number;
import static cottonlock.membership.MembershipFleets.pass;
import static cottonlock.membership.MembershipFleets.rules;
import static cottonlock.membership.MembershipFleets.usual;

import cottonlock.lab.world.Fleet;
import cottonlock.lab.world.World;
import cottonlock.setup.MembershipProtocolConfig;
import net.jqwik.api.Example;

/** Members that are cut off from one another, one way or both, in virtual time. */
class NetworkPartitionTest {
    /**
     * Both halves call each other failed; calls at addresses of the failed are what finds them
     * again.
     */
    @Example
    void halvesAndThirdsFindEachOtherAgain() {
        for (int groups : new int[] {2, 3}) {
            defended(
                    seed -> healed(seed, groups, usual()),
                    seed ->
                            healed(
                                    seed,
                                    groups,
                                    rules(3, 3, 20_000, 1_024, 6_000_000, 3, 1_000_000)));
        }
    }

    private static boolean healed(long seed, int groups, MembershipProtocolConfig rules) {
        Fleet fleet = fleet(seed, 9, rules, new ProtocolVariants());
        fleet.split(groups);
        pass(fleet, 6);
        fleet.split(1);
        pass(fleet, 0.7);
        fleet.split(groups + 1);
        pass(fleet, 20);
        if (!fleet.agree()) {
            return false;
        }
        fleet.split(1);
        return fleet.untilAgreed(6 * SECOND) >= 0 && fleet.falseFailures.isEmpty();
    }

    /**
     * Without being looked at first, whom the other half has called failed is called so by its own.
     */
    @Example
    void aHealedPartitionCausesNoFailureOnTheOwnSide() {
        defended(
                seed -> ownFailures(seed, new ProtocolVariants()) == 0,
                seed ->
                        ownFailures(
                                        seed,
                                        new ProtocolVariants() {
                                            @Override
                                            boolean acceptsFailureReport(
                                                    MemberRecord k, MemberUpdate failed, long now) {
                                                return true;
                                            }
                                        })
                                == 0);
    }

    private static int ownFailures(long seed, ProtocolVariants variants) {
        int[] own = {0};
        Fleet[] at = new Fleet[1];
        at[0] =
                new Fleet(
                        new World(seed),
                        12,
                        usual(),
                        (config, out, self, tag, random) ->
                                new Membership(
                                        config,
                                        new MembershipActions() {
                                            @Override
                                            public void send(String to, byte[] datagram) {
                                                out.send(to, datagram);
                                            }

                                            @Override
                                            public void memberStateChanged(
                                                    String who, MemberState state, String reason) {
                                                boolean same =
                                                        (number(who) + number(self.name())) % 2
                                                                == 0;
                                                own[0] +=
                                                        state == MemberState.FAILED
                                                                        && same
                                                                        && at[0].world.now()
                                                                                > 30 * SECOND
                                                                ? 1
                                                                : 0;
                                            }
                                        },
                                        self,
                                        tag,
                                        random,
                                        variants));
        at[0].startAll(SECOND);
        at[0].world.until(6 * SECOND);
        at[0].split(2);
        at[0].world.until(30 * SECOND);
        at[0].split(1);
        at[0].world.until(40 * SECOND);
        return own[0];
    }

    /**
     * One hears another and is not heard by it: others' probes show that both live, and which way
     * is cut.
     */
    @Example
    void aOneWayCutCausesNoFailure() {
        defended(
                seed -> oneWay(seed, usual()),
                seed -> oneWay(seed, rules(0, 3, 20_000, 1_024, 6_000_000, 3, 2)));
    }

    private static boolean oneWay(long seed, MembershipProtocolConfig rules) {
        Fleet fleet = fleet(seed, 6, rules, new ProtocolVariants());
        fleet.world.cut((from, to) -> from == 0 && to == 1);
        pass(fleet, 60);
        return fleet.falseFailures.isEmpty()
                && reach(fleet, 0, "n1") == MembershipView.Reach.INBOUND_ONLY
                && reach(fleet, 1, "n0") == MembershipView.Reach.OUTBOUND_ONLY;
    }

    private static MembershipView.Reach reach(Fleet fleet, int viewer, String name) {
        return fleet.nodes.get(viewer).view().members().stream()
                .filter(l -> l.name().equals(name))
                .findFirst()
                .orElseThrow()
                .reach();
    }
}

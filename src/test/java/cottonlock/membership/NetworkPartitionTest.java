package cottonlock.membership;

import static cottonlock.membership.MembershipFleets.SECOND;
import static cottonlock.membership.MembershipFleets.advance;
import static cottonlock.membership.MembershipFleets.assertDefended;
import static cottonlock.membership.MembershipFleets.config;
import static cottonlock.membership.MembershipFleets.fleet;
import static cottonlock.membership.MembershipFleets.nodeNumber;
import static cottonlock.membership.MembershipFleets.testConfig;

import cottonlock.lab.world.Fleet;
import cottonlock.lab.world.World;
import cottonlock.setup.MembershipProtocolConfig;
import net.jqwik.api.Example;

/** Network partitions in one or both directions, in virtual time. */
class NetworkPartitionTest {
    /**
     * The groups declare each other failed. They find each other again only by pinging the
     * addresses of failed members.
     */
    @Example
    void separatedGroupsReuniteAfterHealing() {
        for (int groups : new int[] {2, 3}) {
            assertDefended(
                    seed -> viewsAgreeAfterHealing(seed, groups, testConfig()),
                    seed ->
                            viewsAgreeAfterHealing(
                                    seed,
                                    groups,
                                    config(3, 3, 20_000, 1_024, 6_000_000, 3, 1_000_000)));
        }
    }

    private static boolean viewsAgreeAfterHealing(
            long seed, int groups, MembershipProtocolConfig config) {
        Fleet fleet = fleet(seed, 9, config, new ProtocolVariants());
        fleet.split(groups);
        advance(fleet, 6);
        fleet.split(1);
        advance(fleet, 0.7);
        fleet.split(groups + 1);
        advance(fleet, 20);
        if (!fleet.agree()) {
            return false;
        }
        fleet.split(1);
        return fleet.untilAgreed(6 * SECOND) >= 0 && fleet.falseFailures.isEmpty();
    }

    /**
     * After healing, each side receives the other side's outdated reports of failures. Without a
     * probe first, a member would be declared failed by its own side.
     */
    @Example
    void aHealedPartitionCausesNoFailureOnTheOwnSide() {
        assertDefended(
                seed -> sameSideFailures(seed, new ProtocolVariants()) == 0,
                seed ->
                        sameSideFailures(
                                        seed,
                                        new ProtocolVariants() {
                                            @Override
                                            boolean acceptsFailureReport(
                                                    MemberRecord member,
                                                    MemberUpdate failed,
                                                    long now) {
                                                return true;
                                            }
                                        })
                                == 0);
    }

    private static int sameSideFailures(long seed, ProtocolVariants variants) {
        int[] failures = {0};
        Fleet[] fleetHolder = new Fleet[1];
        fleetHolder[0] =
                new Fleet(
                        new World(seed),
                        12,
                        testConfig(),
                        (config, out, self, reservedBytes, random) ->
                                new Membership(
                                        config,
                                        new MembershipActions() {
                                            @Override
                                            public void send(String to, byte[] datagram) {
                                                out.send(to, datagram);
                                            }

                                            @Override
                                            public void memberStateChanged(
                                                    String name, MemberState state, String reason) {
                                                boolean sameSide =
                                                        (nodeNumber(name) + nodeNumber(self.name()))
                                                                        % 2
                                                                == 0;
                                                failures[0] +=
                                                        state == MemberState.FAILED
                                                                        && sameSide
                                                                        && fleetHolder[0].world
                                                                                        .now()
                                                                                > 30 * SECOND
                                                                ? 1
                                                                : 0;
                                            }
                                        },
                                        self,
                                        reservedBytes,
                                        random,
                                        variants));
        fleetHolder[0].startAll(SECOND);
        fleetHolder[0].world.until(6 * SECOND);
        fleetHolder[0].split(2);
        fleetHolder[0].world.until(30 * SECOND);
        fleetHolder[0].split(1);
        fleetHolder[0].world.until(40 * SECOND);
        return failures[0];
    }

    /**
     * Datagrams between two members pass in one direction only. Indirect probes show that both are
     * live and which direction is cut.
     */
    @Example
    void aOneWayCutCausesNoFailure() {
        assertDefended(
                seed -> oneWayCutIsTolerated(seed, testConfig()),
                seed -> oneWayCutIsTolerated(seed, config(0, 3, 20_000, 1_024, 6_000_000, 3, 2)));
    }

    private static boolean oneWayCutIsTolerated(long seed, MembershipProtocolConfig config) {
        Fleet fleet = fleet(seed, 6, config, new ProtocolVariants());
        fleet.world.cut((from, to) -> from == 0 && to == 1);
        advance(fleet, 60);
        return fleet.falseFailures.isEmpty()
                && reach(fleet, 0, "n1") == MembershipView.Reach.INBOUND_ONLY
                && reach(fleet, 1, "n0") == MembershipView.Reach.OUTBOUND_ONLY;
    }

    private static MembershipView.Reach reach(Fleet fleet, int viewer, String name) {
        return fleet.nodes.get(viewer).view().members().stream()
                .filter(member -> member.name().equals(name))
                .findFirst()
                .orElseThrow()
                .reach();
    }
}

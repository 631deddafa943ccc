package cottonlock.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.Consumer;
import net.jqwik.api.Example;

/** Checks that all load balancers of a fleet together do not overload a cold backend. */
class ColdFleetTest {
    /**
     * Runs a scenario with two seeds and checks that no cold backend is overloaded. Returns the
     * mean work sent in the first window of a cold start, relative to the work that overloads it.
     */
    private static double assertNotOverloaded(
            String name, int proxies, Consumer<ColdFleet.Scenario> change) {
        double firstWindowUse = 0;
        int seeds = 2;
        for (int seed = 1; seed <= seeds; seed++) {
            ColdFleet.Scenario scenario =
                    new ColdFleet.Scenario(name + ", " + proxies + " proxies");
            scenario.proxyCount = proxies;
            scenario.burstFactor = 1.5;
            change.accept(scenario);
            ColdFleet.Result result = ColdFleet.run(scenario, seed);
            String description = scenario.name + ", seed " + seed + ": " + result;
            assertTrue(
                    result.maxOverloadRatio() > 0 && result.completedFraction() > 0.2, description);
            assertTrue(result.maxOverloadRatio() <= 1, description);
            assertEquals(0, result.overloadedCount(), description);
            firstWindowUse += result.firstWindowUse() / seeds;
        }
        return firstWindowUse;
    }

    @Example
    void coldBackendsGetRequestsInCalmAndInABurst() {
        assertTrue(assertNotOverloaded("calm", 20, scenario -> scenario.burstFactor = 1) > 0.1);
        assertTrue(assertNotOverloaded("burst", 30, scenario -> scenario.burstFactor = 1.5) > 0.15);
        assertTrue(
                assertNotOverloaded("three times", 30, scenario -> scenario.burstFactor = 3)
                        > 0.15);
    }

    @Example
    void unevenTrafficDoesNotOverload() {
        assertTrue(
                assertNotOverloaded(
                                "uneven",
                                30,
                                scenario -> {
                                    scenario.busyProxyWeight = 5;
                                    scenario.firstTier = false;
                                })
                        > 0.1);
        assertNotOverloaded("uneven", 100, scenario -> scenario.busyProxyWeight = 5);
    }

    @Example
    void trafficThatMovesBetweenProxiesAtTheJoinDoesNotOverload() {
        assertTrue(
                assertNotOverloaded(
                                "moves",
                                30,
                                scenario -> {
                                    scenario.trafficMoves = true;
                                    scenario.firstTier = false;
                                })
                        > 0.1);
        assertNotOverloaded(
                "moves, nearly all backends new",
                30,
                scenario -> {
                    scenario.trafficMoves = true;
                    scenario.firstTier = false;
                    scenario.replacedFraction = 0.9;
                    scenario.replacementTicks = 70_000;
                    scenario.burstFactor = 3;
                    scenario.capacityPerBackend = 5;
                    scenario.loadFraction = 0.8;
                });
    }

    @Example
    void proxiesThatRestartAtTheJoinDoNotOverload() {
        assertNotOverloaded("restarts", 20, scenario -> scenario.restartedFraction = 0.5);
        assertNotOverloaded(
                "restarts, small backends",
                30,
                scenario -> {
                    scenario.restartedFraction = 0.5;
                    scenario.firstTier = false;
                    scenario.capacityPerBackend = 5;
                });
    }

    @Example
    void wrongConfiguredNumberOfProxiesDoesNotOverload() {
        assertNotOverloaded("half", 30, scenario -> scenario.configuredProxyCount = 15);
        assertNotOverloaded("twice", 30, scenario -> scenario.configuredProxyCount = 60);
        assertNotOverloaded("late lists", 20, scenario -> scenario.maxListDelayTicks = 10_000);
    }

    /**
     * Guards against counting rejected and retried attempts as completions: where few warm backends
     * were left, all attempts sent to them counted as what a backend can complete, and cold
     * backends were sent twice the work that overloads them.
     */
    @Example
    void rejectedAttemptsDoNotCountAsCapacityOfWarmBackends() {
        assertNotOverloaded(
                "nearly all backends new",
                30,
                scenario -> {
                    scenario.replacedFraction = 0.9;
                    scenario.replacementTicks = 70_000;
                    scenario.firstTier = false;
                    scenario.capacityPerBackend = 5;
                    scenario.loadFraction = 0.8;
                    scenario.burstFactor = 3;
                });
        assertNotOverloaded(
                "most new, some dead",
                100,
                scenario -> {
                    scenario.replacedFraction = 0.6;
                    scenario.deadFraction = 0.25;
                    scenario.firstTier = false;
                    scenario.capacityPerBackend = 5;
                    scenario.loadFraction = 0.8;
                    scenario.burstFactor = 3;
                });
    }
}

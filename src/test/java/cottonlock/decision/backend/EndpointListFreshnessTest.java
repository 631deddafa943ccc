package cottonlock.decision.backend;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.LoadBalancerActions;
import java.lang.reflect.Proxy;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/** When a load balancer asks discovery again after calls that failed. */
class EndpointListFreshnessTest {
    private static final long SECOND_TICKS = 10_000;
    private static final long TICK_TICKS = 50;

    /** A change counts as known so long after discovery had it and could be reached. */
    private static final long KNOWN_AFTER_TICKS = 6 * SECOND_TICKS;

    /** How long discovery lets a call wait before it refuses it. */
    private static final long QUEUE_WAIT_TICKS = 2 * SECOND_TICKS;

    /** A call that says nothing is given up then. */
    private static final long SILENCE_TICKS = 4 * SECOND_TICKS;

    /** The pause with which a fleet of 120 kept discovery overloaded for a whole day. */
    private static final long OVERLOADING_PAUSE_TICKS = 8_000;

    private static final long MAX_POLL_INTERVAL_TICKS = 10 * SECOND_TICKS;

    private int calls;
    private long nowTicks = SECOND_TICKS;

    private EndpointListFreshness freshness(long seed) {
        DeploymentTopology topology =
                new DeploymentTopology(
                        120, 0, true, 0, false, true, MAX_POLL_INTERVAL_TICKS, true, 0);
        return new EndpointListFreshness(countingActions(), new SplittableRandom(seed), topology);
    }

    private LoadBalancerActions countingActions() {
        return (LoadBalancerActions)
                Proxy.newProxyInstance(
                        LoadBalancerActions.class.getClassLoader(),
                        new Class<?>[] {LoadBalancerActions.class},
                        (proxy, method, arguments) -> {
                            calls++;
                            return null;
                        });
    }

    /** Fails the call under way, and returns how long the next one is waited for. */
    private long pauseAfterFailure(EndpointListFreshness freshness) {
        long failedAtTicks = nowTicks;
        int callsBefore = calls;
        freshness.onFailure(failedAtTicks);
        while (calls == callsBefore) {
            nowTicks += TICK_TICKS;
            freshness.pollIfDue(nowTicks);
        }
        return nowTicks - failedAtTicks;
    }

    /** Guards against a fleet whose repeated calls keep discovery overloaded for good. */
    @Example
    void callsThatAreRefusedAgainAndAgainBecomeRarer() {
        for (int seed = 0; seed < 100; seed++) {
            EndpointListFreshness freshness = freshness(seed);
            long pauseTicks = pauseAfterFailure(freshness);
            for (int refusals = 0; refusals < 6; refusals++) {
                nowTicks += QUEUE_WAIT_TICKS;
                pauseTicks = pauseAfterFailure(freshness);
            }
            assertTrue(pauseTicks > OVERLOADING_PAUSE_TICKS, "a pause of " + pauseTicks);
        }
    }

    @Property(tries = 300)
    void afterAnyFailuresTheNextAnswerIsInTime(
            @ForAll @IntRange(min = 0, max = 20) int failures,
            @ForAll @LongRange(min = 0, max = SILENCE_TICKS) long callTicks,
            @ForAll long seed) {
        EndpointListFreshness freshness = freshness(seed);
        long pauseTicks = pauseAfterFailure(freshness);
        for (int i = 0; i < failures; i++) {
            nowTicks += callTicks;
            pauseTicks = pauseAfterFailure(freshness);
        }
        // A refused call has waited in discovery's queue, as the next one may; a silent one has
        // not.
        long answerTicks = callTicks <= QUEUE_WAIT_TICKS ? QUEUE_WAIT_TICKS : SECOND_TICKS;
        long sumTicks = callTicks + pauseTicks + answerTicks;
        assertTrue(sumTicks <= KNOWN_AFTER_TICKS, callTicks + " and a pause of " + pauseTicks);
    }
}

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

/** Tests when a load balancer calls discovery again after failed calls. */
class EndpointListFreshnessTest {
    private static final long SECOND_TICKS = 10_000;
    private static final long STEP_TICKS = 50;

    /** The time after which a change must be known, once discovery has it and can be reached. */
    private static final long MAX_UPDATE_DELAY_TICKS = 6 * SECOND_TICKS;

    /** How long discovery lets a call wait before it refuses it. */
    private static final long QUEUE_WAIT_TICKS = 2 * SECOND_TICKS;

    /** The timeout of a call without a response. */
    private static final long CALL_TIMEOUT_TICKS = 4 * SECOND_TICKS;

    /** The backoff with which 120 load balancers kept discovery overloaded for a whole day. */
    private static final long OVERLOADING_BACKOFF_TICKS = 8_000;

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

    /** Fails the call in progress, and returns the time until the next one. */
    private long backoffAfterFailure(EndpointListFreshness freshness) {
        long failedAtTicks = nowTicks;
        int callsBefore = calls;
        freshness.onFailure(failedAtTicks);
        while (calls == callsBefore) {
            nowTicks += STEP_TICKS;
            freshness.pollIfDue(nowTicks);
        }
        return nowTicks - failedAtTicks;
    }

    /** Guards against load balancers whose repeated calls keep discovery overloaded permanently. */
    @Example
    void repeatedlyRefusedCallsBecomeLessFrequent() {
        for (int seed = 0; seed < 100; seed++) {
            EndpointListFreshness freshness = freshness(seed);
            long backoffTicks = backoffAfterFailure(freshness);
            for (int refusals = 0; refusals < 6; refusals++) {
                nowTicks += QUEUE_WAIT_TICKS;
                backoffTicks = backoffAfterFailure(freshness);
            }
            assertTrue(backoffTicks > OVERLOADING_BACKOFF_TICKS, "a backoff of " + backoffTicks);
        }
    }

    @Property(tries = 300)
    void nextResponseIsInTimeAfterAnyFailures(
            @ForAll @IntRange(min = 0, max = 20) int failures,
            @ForAll @LongRange(min = 0, max = CALL_TIMEOUT_TICKS) long callTicks,
            @ForAll long seed) {
        EndpointListFreshness freshness = freshness(seed);
        long backoffTicks = backoffAfterFailure(freshness);
        for (int i = 0; i < failures; i++) {
            nowTicks += callTicks;
            backoffTicks = backoffAfterFailure(freshness);
        }
        // A refused call has waited in discovery's queue, as the next one may; a call that timed
        // out has not.
        long answerTicks = callTicks <= QUEUE_WAIT_TICKS ? QUEUE_WAIT_TICKS : SECOND_TICKS;
        long totalTicks = callTicks + backoffTicks + answerTicks;
        assertTrue(
                totalTicks <= MAX_UPDATE_DELAY_TICKS,
                callTicks + " and a backoff of " + backoffTicks);
    }
}

package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What the subset and an endpoint may have in flight before requests are dropped. */
class ConcurrencyGuardTest {
    private static final double NOW = 1000;

    private final ConcurrencyGuard guard = new ConcurrencyGuard(500);

    private EndpointState[] beginWalk(int... inFlight) {
        List<EndpointState> endpoints = PolicyStates.rankedEndpoints(inFlight.length);
        for (int i = 0; i < inFlight.length; i++) {
            PolicyStates.startAttempts(endpoints.get(i), inFlight[i]);
        }
        EndpointState[] candidates = endpoints.toArray(new EndpointState[0]);
        guard.beginWalk(NOW, candidates);
        return candidates;
    }

    private static double dropFraction(double ratio) {
        return 1 - Math.pow(ratio, 8);
    }

    @Test
    void subsetHasNoLimitBeforeFirstPeriod() {
        beginWalk(1000, 1000);
        assertEquals(0, guard.subsetDropFraction());
    }

    @Test
    void subsetLimitFollowsHealthyInFlight() {
        // 1.6 x 25 + 1.3 x 5.
        guard.endPeriod(25, 4, 1);
        beginWalk(23, 23);
        assertEquals(0, guard.subsetDropFraction());
        beginWalk(23, 24);
        assertEquals(dropFraction(47.0 / 47.5), guard.subsetDropFraction(), 1e-9);
        beginWalk(50, 43);
        assertEquals(dropFraction(47.0 / 93.5), guard.subsetDropFraction(), 1e-9);
    }

    @Test
    void subsetMayHaveThreeForEachEndpointAndPlace() {
        guard.endPeriod(0, 4, 1);
        beginWalk(3, 3, 3, 3);
        assertEquals(0, guard.subsetDropFraction());
        guard.endPeriod(0, 4, 0.25);
        beginWalk(1, 1, 1, 1);
        assertEquals(dropFraction(3.5 / 4.5), guard.subsetDropFraction(), 1e-9);
    }

    @Test
    void attemptsAtEjectedEndpointsDoNotCountForSubset() {
        guard.endPeriod(0, 1, 1);
        EndpointState[] candidates = beginWalk(3, 10);
        PolicyStates.eject(candidates[1]);
        guard.beginWalk(NOW, candidates);
        assertEquals(0, guard.subsetDropFraction());
    }

    @Test
    void endpointPassesOneAttemptAndDropsBeyondMean() {
        EndpointState[] level = beginWalk(1, 1, 1);
        assertEquals(0, guard.endpointDropFraction(NOW, level[0]));
        EndpointState[] uneven = beginWalk(1, 0, 0);
        assertEquals(0, guard.endpointDropFraction(NOW, uneven[1]));
        assertEquals(dropFraction((1.0 / 3 + 0.5) / 1.5), guard.endpointDropFraction(NOW, uneven[0]), 1e-9);
    }

    @Test
    void endpointDropsBeyondHealthyInFlight() {
        // As much as the mean, but 1 is healthy where nothing was answered.
        EndpointState[] level = beginWalk(4, 4);
        assertEquals(dropFraction(1.5 / 4.5), guard.endpointDropFraction(NOW, level[0]), 1e-9);
        // 20 ms of work a millisecond, a fifth of it after one period.
        level[0].traffic().recordSuccess(200);
        level[0].traffic().endPeriod(10);
        assertEquals(0, guard.endpointDropFraction(NOW, level[0]));
    }
}

package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which endpoints are in the subset, and how many. */
class SubsetSelectorTest {
    private static final double PERIOD_MILLIS = 50;

    private static ReadyEndpoints ready(List<EndpointState> endpoints) {
        ReadyEndpoints ready = new ReadyEndpoints();
        endpoints.forEach(ready::update);
        return ready;
    }

    private static SubsetSelector selector(int sidecars, List<EndpointState> endpoints) {
        SubsetSelector selector = new SubsetSelector(sidecars, PERIOD_MILLIS);
        selector.select(0, ready(endpoints));
        return selector;
    }

    private static List<String> ids(SubsetSelector selector) {
        return Arrays.stream(selector.ranked()).map(EndpointState::id).toList();
    }

    @Test
    void takesThreeLowestRanksInLargeFleet() {
        List<EndpointState> endpoints = new ArrayList<>(PolicyStates.rankedEndpoints(20));
        Collections.reverse(endpoints);
        SubsetSelector selector = selector(400, endpoints);
        assertEquals(List.of("s0", "s1", "s2"), ids(selector));
        assertEquals(20, selector.ready().length);
        assertEquals(20.0 / (3 * 400), selector.endpointsPerPlace(), 1e-9);
    }

    @Test
    void takesEightWhileConnectionsAreFree() {
        // Of 12 connections at each of 20 endpoints 4 sidecars have 60 each, at 8 endpoints 24 sidecars have 4.
        assertEquals(8, selector(4, PolicyStates.rankedEndpoints(20)).ranked().length);
        assertEquals(4, selector(24, PolicyStates.rankedEndpoints(8)).ranked().length);
        assertEquals(2, selector(4, PolicyStates.rankedEndpoints(2)).ranked().length);
    }

    @Test
    void growsWithHealthyInFlight() {
        List<EndpointState> endpoints = PolicyStates.rankedEndpoints(20);
        SubsetSelector selector = selector(400, endpoints);
        // A rise counts by a fifth in a period: 2, 3.6, 4.88.
        selector.endPeriod(10, 0);
        assertFalse(selector.sizeOutdated());
        selector.endPeriod(10, 0);
        assertTrue(selector.sizeOutdated());
        selector.endPeriod(10, 0);
        selector.select(0, ready(endpoints));
        assertEquals(5, selector.ranked().length);
    }

    @Test
    void shrinksOnlyByTwoOrMore() {
        SubsetSelector selector = selector(400, PolicyStates.rankedEndpoints(20));
        for (int i = 0; i < 3; i++) {
            selector.endPeriod(10, 0);
        }
        selector.select(0, ready(PolicyStates.rankedEndpoints(20)));
        // A fall counts by a hundredth in a period: 4.88 x 0.99 to the 48th is 3.01, to the 49th 2.98.
        for (int i = 0; i < 48; i++) {
            selector.endPeriod(0, 0);
            assertFalse(selector.sizeOutdated());
        }
        selector.endPeriod(0, 0);
        assertTrue(selector.sizeOutdated());
    }

    @Test
    void inFlightWidensOnlyWhileConnectionsAreFree() {
        SubsetSelector largeFleet = selector(400, PolicyStates.rankedEndpoints(20));
        SubsetSelector smallFleet = selector(4, PolicyStates.rankedEndpoints(20));
        for (int i = 0; i < 100; i++) {
            largeFleet.endPeriod(0, 100);
            smallFleet.endPeriod(0, 100);
        }
        assertFalse(largeFleet.sizeOutdated());
        assertTrue(smallFleet.sizeOutdated());
    }

    @Test
    void takesTwoForEachAttemptInFlightWhileConnectionsAreFree() {
        List<EndpointState> endpoints = PolicyStates.rankedEndpoints(30);
        SubsetSelector selector = selector(4, endpoints);
        // A rise counts by a fifth in a period.
        selector.endPeriod(0, 30);
        selector.select(0, ready(endpoints));
        assertEquals(12, selector.ranked().length);
    }

    @Test
    void comparesSizesWithLargestOfSubset() {
        List<EndpointState> endpoints = List.of(
                PolicyStates.endpoint(Endpoints.withCapacityWeight("s0", 1), 0, 0),
                PolicyStates.endpoint(Endpoints.withCapacityWeight("s1", 4), 1, 0),
                PolicyStates.readyEndpoint("s2"));
        endpoints.get(2).reportedLoad().record(new LoadReport(0, 0, 0.5, 1, 10, 0), 0);
        selector(400, endpoints);
        assertEquals(0.25, endpoints.get(0).relativeSize());
        assertEquals(1, endpoints.get(1).relativeSize());
        assertEquals(1, endpoints.get(2).relativeSize(), "the only one that reports its capacity");
    }

    @Test
    void returningEndpointRecoversForTimeAway() {
        List<EndpointState> endpoints = PolicyStates.rankedEndpoints(4);
        SubsetSelector selector = selector(400, endpoints);
        endpoints.get(0).drop().dropAll();
        selector.select(1000, ready(endpoints.subList(1, 4)));
        assertEquals(List.of("s1", "s2", "s3"), ids(selector));
        selector.select(1000 + 10 * PERIOD_MILLIS, ready(endpoints));
        assertEquals(List.of("s0", "s1", "s2"), ids(selector));
        // Ten idle periods; 1.08 to the 10th is 2.158924997.
        assertEquals(1 - (0.05 * 2.158924997 - 0.05), endpoints.get(0).drop().dropFraction(), 1e-6);
    }
}
